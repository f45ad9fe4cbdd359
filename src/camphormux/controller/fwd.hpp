#ifndef CAMPHORMUX_CONTROLLER_FWD_HPP_
#define CAMPHORMUX_CONTROLLER_FWD_HPP_

namespace camphormux::controller {

enum class CallKind;
enum class IdleReason;
struct PlatformCall;
struct CallAnswer;
struct ListedHost;
struct HostReport;
struct GatewayView;
struct Observations;
struct SentCall;
struct StepMemory;
struct StepInput;
struct StepResult;
struct Settings;

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_FWD_HPP_
