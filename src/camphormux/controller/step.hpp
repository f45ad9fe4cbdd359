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

/// Age of the view of the log above which no decision is made.
inline constexpr core::Millis kMaxLogViewAge = std::chrono::seconds(4);
/// Time after an own pause in which gateways do not count as dead: their
/// silence may be that pause. 8 missed heartbeats.
inline constexpr core::Millis kDeadGatewayGrace = std::chrono::seconds(8);
/// Age of a drain at which a gateway that did not apply it no longer sends to
/// hosts of other zones: with a view of the log older than 10 s it uses its own
/// zone's hosts only. The rest allows for its check and for requests under way.
inline constexpr core::Millis kRemoteDrainTimeout = std::chrono::seconds(12);
/// Silence of a dead gateway after which it is not waited for at all. Before
/// that it may be alive behind a partition, with its 10 s still running.
inline constexpr core::Millis kDeadGatewayTimeout = kRemoteDrainTimeout;
/// Time between two steps above which the process itself was paused.
inline constexpr core::Millis kOwnPauseThreshold = std::chrono::seconds(2);
/// Pause before a call without visible effect is repeated.
inline constexpr core::Millis kCallRetryDelay = std::chrono::seconds(1);
/// Time after an accepted restart call in which the boot id changes.
inline constexpr core::Millis kRestartTimeout = std::chrono::seconds(60);
/// Share of a zone's hosts that may vanish from the list at once.
inline constexpr double kMaxMissingShare = 0.2;

/// @brief Why a step made no decision.
enum class IdleReason {
  kNone,
  kNoLease,
  kStaleLog,
  kNoText,
  kNoHostList,
  kDoubtfulHostList,
};

/// @brief Words for an idle reason.
/// @param reason The reason.
/// @return A short text; empty for `kNone`.
[[nodiscard]] const char* Describe(IdleReason reason);

/// @brief The last platform call for a host.
struct SentCall {
  PlatformCall call;
  core::MonotonicTime sent;
  std::optional<core::MonotonicTime> done;  ///< When it was answered with 200.
};

/// @brief When a host's present drain was first seen.
struct DrainStart {
  core::LogOffset offset;  ///< Of the drain.
  core::MonotonicTime time;
};

/// @brief What a controller remembers between steps. Losing it is harmless:
/// the next holder repeats the calls.
struct StepMemory {
  std::map<core::HostId, SentCall> calls;
  std::map<core::HostId, DrainStart> drain_starts;
  /// When every live gateway had acknowledged a host's drain.
  std::map<core::HostId, core::MonotonicTime> drain_acknowledged_at;
  /// Boot ids before a maintenance restart.
  std::map<core::HostId, std::string> boot_id_before_restart;
  /// Hosts that became empty under this holder; others may have been told to
  /// restart by an earlier holder.
  std::set<core::HostId> emptied;
  /// When a restart call was first known to be accepted.
  std::map<core::HostId, core::MonotonicTime> restart_accepted_at;
  PlanMemory plan;
  core::Epoch highest_refused_epoch;  ///< Highest epoch that got a 409.
  core::MonotonicTime last_step;
  /// Since when steps follow each other without a pause of the process. The
  /// silence of a gateway before that may be this process's own pause.
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

/// @brief Output of a control step.
struct StepResult {
  IdleReason idle = IdleReason::kNone;
  std::vector<state::Record> records;  ///< One batch, in order.
  std::vector<PlatformCall> calls;
  std::vector<core::HostId> missing;  ///< Hosts that the list lacks.
  bool planned = false;  ///< Sizes and moves were decided in this step.
};

/// @brief Decides what a zone's lease holder does next. Pure.
/// @param input State, observations and time.
/// @param memory Memory of the previous step; updated.
/// @return Records to append and calls to send.
[[nodiscard]] StepResult Step(const StepInput& input, StepMemory& memory);

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_STEP_HPP_
