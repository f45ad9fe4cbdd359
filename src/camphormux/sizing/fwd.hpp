#ifndef CAMPHORMUX_SIZING_FWD_HPP_
#define CAMPHORMUX_SIZING_FWD_HPP_

namespace camphormux::sizing {

enum class SizeConstraint;
struct DemandSample;
struct StartedRate;
struct HeldSize;
struct ServiceMemory;
struct SizingState;
struct SizingInput;
struct SizeReason;
struct ZoneSize;
struct ServiceSize;
struct Sizes;

}  // namespace camphormux::sizing

#endif  // CAMPHORMUX_SIZING_FWD_HPP_
