#ifndef CAMPHORMUX_TELEMETRY_FWD_HPP_
#define CAMPHORMUX_TELEMETRY_FWD_HPP_

namespace camphormux::telemetry {

enum class Level;
struct Field;
struct TraceContext;
struct Span;

}  // namespace camphormux::telemetry

#endif  // CAMPHORMUX_TELEMETRY_FWD_HPP_
