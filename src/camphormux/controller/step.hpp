#ifndef CAMPHORMUX_CONTROLLER_STEP_HPP_
#define CAMPHORMUX_CONTROLLER_STEP_HPP_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "camphormux/controller/observation.hpp"
#include "camphormux/controller/plan_memory.hpp"
#include "camphormux/controller/platform_call.hpp"
#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/state/fleet_state.hpp"
#include "camphormux/state/records.hpp"

namespace camphormux::controller {

/// Maximum age of the view of the log at which decisions are made.
inline constexpr core::Millis kMaxLogViewAge = std::chrono::seconds(4);
/// Time after a pause of this process during which gateways do not count as
/// dead, because the pause may explain their silence. Equals 8 missed
/// heartbeats.
inline constexpr core::Millis kDeadGatewayGrace = std::chrono::seconds(8);
/// Age of a drain from which a gateway that did not apply it no longer sends to
/// hosts of other zones: a gateway whose view of the log is older than 10 s
/// uses only hosts of its own zone. The remaining 2 s allow for that check and
/// for requests in flight.
inline constexpr core::Millis kRemoteDrainTimeout = std::chrono::seconds(12);
/// Time since a gateway was found dead after which drains no longer wait for
/// it. Before that it may be alive behind a network partition and within the
/// 10 s of its view of the log.
inline constexpr core::Millis kDeadGatewayTimeout = kRemoteDrainTimeout;
/// Time between two steps above which this process counts as paused.
inline constexpr core::Millis kOwnPauseThreshold = std::chrono::seconds(2);
/// Delay before a call without visible effect is repeated.
inline constexpr core::Millis kCallRetryDelay = std::chrono::seconds(1);
/// Time after an accepted restart call within which the boot id changes.
inline constexpr core::Millis kRestartTimeout = std::chrono::seconds(60);
/// Maximum share of a zone's hosts that may be missing from the host list at
/// once for the list to be acted on.
inline constexpr double kMaxMissingShare = 0.2;

/// @brief Why a step made no decisions.
enum class IdleReason {
  kNone,
  kNoLease,
  kStaleLog,
  kNoText,
  kNoHostList,
  kDoubtfulHostList,
};

/// @brief Description of an idle reason.
/// @param reason The reason.
/// @return A short text; empty for `kNone`.
[[nodiscard]] const char* Describe(IdleReason reason);

/// @brief The last platform call sent for a host.
struct SentCall {
  PlatformCall call;
  core::MonotonicTime sent;
  /// When it was answered with status 200 or 204; none until then.
  std::optional<core::MonotonicTime> done;
};

/// @brief When this controller first saw the present drain of a host.
struct DrainStart {
  core::LogOffset offset;  ///< Log offset of the drain.
  core::MonotonicTime time;
};

/// @brief State that a controller keeps between steps. It may be lost without
/// harm: the next lease holder repeats the calls.
struct StepMemory {
  std::map<core::HostId, SentCall> calls;
  std::map<core::HostId, DrainStart> drain_starts;
  /// When a host's drain was first found acknowledged: no gateway may still
  /// send to it.
  std::map<core::HostId, core::MonotonicTime> drain_acknowledged_at;
  /// Boot ids of hosts before their maintenance restart.
  std::map<core::HostId, std::string> boot_id_before_restart;
  /// Hosts that became empty under this lease holder. The restart of any other
  /// empty host may have been requested by an earlier holder.
  std::set<core::HostId> emptied;
  /// When a host's restart call was first known to be accepted.
  std::map<core::HostId, core::MonotonicTime> restart_accepted_at;
  PlanMemory plan;
  /// Highest epoch that was refused with status 409.
  core::Epoch highest_refused_epoch;
  core::MonotonicTime last_step;
  /// Start of the present run of steps without a pause of this process. If a
  /// gateway fell silent earlier, the pause may explain it.
  core::MonotonicTime uninterrupted_since;
};

/// @brief Input of a control step.
struct StepInput {
  const state::FleetState& state;
  const Observations& observed;
  core::ZoneName zone;
  core::MonotonicTime now;
  core::WallTime wall;
};

/// @brief Result of a control step.
struct StepResult {
  IdleReason idle = IdleReason::kNone;
  std::vector<state::Record> records;  ///< One batch, in order.
  std::vector<PlatformCall> calls;
  /// Hosts of the zone that are missing from the host list.
  std::vector<core::HostId> missing;
  bool planned = false;  ///< Whether this step made a new plan.
};

/// @brief Decides the next records and platform calls of a zone's lease holder.
/// Pure function of its arguments.
/// @param input State, observations and time.
/// @param memory Memory of the previous step; updated.
/// @return Records to append and calls to send.
[[nodiscard]] StepResult Step(const StepInput& input, StepMemory& memory);

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_STEP_HPP_
