#ifndef CAMPHORMUX_DISPATCH_DRIVER_HPP_
#define CAMPHORMUX_DISPATCH_DRIVER_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/dispatch/task_call.hpp"
#include "camphormux/jobs/fold.hpp"
#include "camphormux/placement/decision.hpp"
#include "camphormux/state/fleet_state.hpp"

namespace camphormux::dispatch {

/// Pause before a call or question without answer is repeated.
inline constexpr core::Millis kRetryInterval = std::chrono::seconds(1);
/// Pause before a record that is not seen on the log is appended again.
inline constexpr core::Millis kRecordRetryInterval = std::chrono::seconds(3);
/// A new holder waits so long for the tasks of all workers; later ones are
/// taken over when they are told.
inline constexpr core::Millis kListingTimeout = std::chrono::seconds(10);
/// Time for tasks to yield on a host that is drained: throttle, checkpoint and
/// stop. What runs after it and may be repeated is stopped, so that urgent work
/// and services get the host within 3.1 s.
inline constexpr core::Millis kDrainTimeout = placement::kThrottleTimeout +
                                              placement::kCheckpointTimeout +
                                              placement::kStopTimeout;
/// Each next zone in a job's order takes an unclaimed job so much later.
inline constexpr core::Millis kClaimDelay = std::chrono::seconds(5);
inline constexpr core::Millis kUrgentClaimDelay = std::chrono::seconds(1);
/// Time after a zone counts as cut off until others take its jobs: longer than
/// its holder decides and its tasks' leases run.
inline constexpr core::Millis kReclaimDelay = std::chrono::seconds(30);
/// A quarantined worker passes its probe if the probe runs for so long.
inline constexpr core::Millis kProbeDuration = std::chrono::seconds(2);
/// Records of one step.
inline constexpr std::size_t kMaxRecords = 500;
/// Name of the job that probes quarantined workers; teams cannot submit it,
/// because their names have no colon.
inline constexpr const char* kProbeJob = "camphormux:probe";

enum class DriverPhase {
  kIdle,        ///< Not the zone's holder.
  kAnnouncing,  ///< Tells the jobs stream of the new holder.
  kFencing,     ///< Makes the platform refuse the predecessors' calls.
  kListing,     ///< Reads what runs on the zone's workers.
  kRunning,
};

/// @brief A task as the driver wants it, until its end is confirmed.
struct DesiredTask {
  core::HostId worker;
  core::JobId job;
  placement::Resources limits;
  TaskCall call;          ///< The call that is wanted now.
  bool answered = false;  ///< The call took effect.
  bool started = false;   ///< The worker confirmed the start.
  bool ended = false;     ///< The end is known; only the deletion is left.
  bool waits_for_record = false;  ///< For a start or end record on the log.
  std::uint32_t starts = 0;       ///< Start calls so far.
  core::MonotonicTime sent;
  core::MonotonicTime renew_at;
  core::MonotonicTime began;
};

/// @brief A host as a worker.
struct WorkerView {
  core::PoolName pool;
  bool drained = false;
  bool drain_timed_out = false;
  bool lost = false;
  core::MonotonicTime drained_at;
};

/// @brief A record that is wanted on the log.
struct DesiredRecord {
  jobs::Record record;
  std::optional<core::MonotonicTime> sent;
};

/// @brief All state of the driver. A new holder starts from an empty one.
struct Driver {
  DriverPhase phase = DriverPhase::kIdle;
  core::Epoch epoch;
  core::Epoch refused_epoch;  ///< Highest epoch that got a 409.
  core::MonotonicTime since;  ///< When the phase began.
  std::optional<core::MonotonicTime>
      requested_at;  ///< The phase's last attempt.
  std::uint64_t attempts = 0;
  /// When the platform began to refuse earlier epochs; older lists may lack a
  /// task that started since.
  core::MonotonicTime fenced;
  placement::State placement;
  std::map<std::uint64_t, DesiredTask> tasks;  ///< By number.
  std::map<core::HostId, WorkerView> workers;
  std::map<core::JobId, DesiredRecord> records;
  std::map<core::TeamName, placement::Resources> quotas;
  core::Revision revision;
  /// Workers whose tasks are not known yet, with the time of the question.
  std::map<core::HostId, std::optional<core::MonotonicTime>> unlisted;
  std::map<core::HostId, HostTasks> listed;  ///< Before the adoption.
  /// Jobs whose run under an earlier holder is not found yet.
  std::set<core::JobId> unresolved_jobs;
  std::map<core::JobId, core::MonotonicTime> unclaimed_since;
  std::map<core::ZoneName, core::MonotonicTime> cut_off_since;
  std::map<core::HostId, core::MonotonicTime> list_requests;  ///< When asked.
  core::MonotonicTime next_repeat_check;
  std::uint64_t lost_jobs = 0;
  std::uint64_t adopted = 0;
};

/// @brief Input of a step.
struct DriverInput {
  const state::FleetState& state;
  const jobs::Fold& fold;
  core::ZoneName zone;
  /// Set while the zone's lease is provably held and the view of the log is
  /// fresh.
  std::optional<core::Epoch> lease;
  std::set<core::JobId> changed;        ///< Jobs changed since last step.
  std::set<core::HostId> missing;       ///< Hosts that do not answer.
  std::vector<core::ZoneName> cut_off;  ///< Zones without news.
  std::vector<TaskAnswer> answers;      ///< Since the last step.
  std::vector<HostTasks> reports;       ///< Since the last step.
  core::Millis retention{0};            ///< Of the jobs stream.
  core::MonotonicTime now;
};

/// @brief Output of a step.
struct DriverOutput {
  std::vector<jobs::Record> records;
  std::vector<TaskCall> calls;
  std::vector<core::HostId> list_requests;  ///< Workers to ask for their tasks.
};

/// @brief Decides what a zone's holder does about jobs. Pure.
/// @param input What is known.
/// @param driver The state; updated.
/// @return Records to append, calls to send, questions to ask.
[[nodiscard]] DriverOutput Step(const DriverInput& input, Driver& driver);

/// @brief Tells whether a host may be emptied, as far as tasks are concerned.
/// @param driver The state.
/// @param host The host.
/// @return False while a task runs on it or may do so.
[[nodiscard]] bool IsFreeOfTasks(const Driver& driver,
                                 const core::HostId& host);

}  // namespace camphormux::dispatch

#endif  // CAMPHORMUX_DISPATCH_DRIVER_HPP_
