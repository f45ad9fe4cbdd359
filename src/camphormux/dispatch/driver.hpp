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

/// Interval at which unanswered calls and list requests are repeated.
inline constexpr core::Millis kRetryInterval = std::chrono::seconds(1);
/// Time after which a record that was not read from the log is appended again.
inline constexpr core::Millis kRecordRetryInterval = std::chrono::seconds(3);
/// Longest time that a new holder waits for the task lists of all workers.
/// Tasks in lists that arrive later are adopted then.
inline constexpr core::Millis kListingTimeout = std::chrono::seconds(10);
/// Time for tasks to leave a draining host: throttle, checkpoint and stop.
/// Repeatable tasks that still run after it are stopped, so that urgent work
/// and services get the host within 3.1 s.
inline constexpr core::Millis kDrainTimeout = placement::kThrottleTimeout +
                                              placement::kCheckpointTimeout +
                                              placement::kStopTimeout;
/// Delay per rank before a zone claims an unclaimed job: the first zone in the
/// job's order claims at once, the second after this time, and so on.
inline constexpr core::Millis kClaimDelay = std::chrono::seconds(5);
/// As `kClaimDelay`, for urgent jobs.
inline constexpr core::Millis kUrgentClaimDelay = std::chrono::seconds(1);
/// Time from when a zone counts as cut off until other zones claim its jobs. It
/// exceeds the time that the zone's holder can still decide and that the leases
/// of its tasks last.
inline constexpr core::Millis kReclaimDelay = std::chrono::seconds(30);
/// A quarantined worker passes its probe if the probe task runs for this time.
inline constexpr core::Millis kProbeDuration = std::chrono::seconds(2);
/// Limit of records per step.
inline constexpr std::size_t kMaxRecords = 500;
/// ID of the job that probes quarantined workers. Teams cannot submit a job
/// with this ID, because their names contain no colon.
inline constexpr const char* kProbeJob = "camphormux:probe";

/// @brief Phases of a takeover by a new lease holder, in order.
enum class DriverPhase {
  kIdle,        ///< The zone's lease is not held or the platform
                ///< refused its epoch.
  kAnnouncing,  ///< Appends a holder record to the jobs stream.
  kFencing,     ///< Makes the platform refuse calls of earlier epochs.
  kListing,     ///< Requests the task lists of the zone's workers.
  kRunning,     ///< Places jobs.
};

/// @brief Desired state of a task, kept until its deletion is confirmed.
struct DesiredTask {
  core::HostId worker;
  core::JobId job;
  placement::Resources limits;
  TaskCall call;          ///< The call that brings about the desired state.
  bool answered = false;  ///< The call took effect.
  bool started = false;   ///< The worker confirmed the start.
  bool ended = false;     ///< The task ended; it only has to be deleted.
  bool waits_for_record = false;  ///< Start or end record is not on the log.
  std::uint32_t starts = 0;       ///< Start calls sent so far.
  core::MonotonicTime sent;       ///< Last time that `call` was sent.
  core::MonotonicTime renew_at;   ///< When the lease is renewed next.
  core::MonotonicTime began;      ///< When the start was confirmed.
};

/// @brief State of a host as last reported to the placement.
struct WorkerView {
  core::PoolName pool;
  bool drained = false;
  bool drain_timed_out = false;
  bool lost = false;               ///< The host does not answer.
  core::MonotonicTime drained_at;  ///< When the drain began.
};

/// @brief A record that is to be on the log.
struct DesiredRecord {
  jobs::Record record;
  std::optional<core::MonotonicTime> sent;  ///< When it was last appended.
};

/// @brief State of a zone's job dispatch. A new lease holder starts with an
/// empty one.
struct Driver {
  DriverPhase phase = DriverPhase::kIdle;
  core::Epoch epoch;
  core::Epoch refused_epoch;  ///< Highest epoch refused with a 409.
  core::MonotonicTime since;  ///< When the phase began.
  /// Time of the phase's last attempt.
  std::optional<core::MonotonicTime> requested_at;
  std::uint64_t attempts = 0;  ///< Fence calls sent.
  /// When the fence was confirmed. Task lists from before this time may lack
  /// tasks that calls of earlier epochs started later.
  core::MonotonicTime fenced;
  placement::State placement;
  std::map<std::uint64_t, DesiredTask> tasks;  ///< By task number.
  std::map<core::HostId, WorkerView> workers;
  std::map<core::JobId, DesiredRecord> records;
  std::map<core::TeamName, placement::Resources> quotas;
  core::Revision revision;  ///< Operator text that `quotas` are from.
  /// Workers whose task list has not arrived, with the time of the request.
  std::map<core::HostId, std::optional<core::MonotonicTime>> unlisted;
  std::map<core::HostId, HostTasks> listed;  ///< Lists to adopt.
  /// Jobs that were started under an earlier holder and must not run twice,
  /// while a missing list may contain their task.
  std::set<core::JobId> unresolved_jobs;
  /// When each unclaimed job was first seen.
  std::map<core::JobId, core::MonotonicTime> unclaimed_since;
  std::map<core::ZoneName, core::MonotonicTime> cut_off_since;
  std::map<core::HostId, core::MonotonicTime> list_requests;  ///< Time sent.
  core::MonotonicTime next_repeat_check;
  std::uint64_t lost_jobs = 0;  ///< Jobs ended as lost.
  std::uint64_t adopted = 0;    ///< Tasks adopted in the takeover.
};

/// @brief Input of one step.
struct DriverInput {
  const state::FleetState& state;
  const jobs::Fold& fold;
  core::ZoneName zone;  ///< This controller's zone.
  /// Epoch of the zone's lease while it is provably held and the view of the
  /// log is fresh; none otherwise.
  std::optional<core::Epoch> lease;
  std::set<core::JobId> changed;        ///< Jobs changed since the last step.
  std::set<core::HostId> missing;       ///< Hosts that do not answer.
  std::vector<core::ZoneName> cut_off;  ///< Zones without recent records.
  std::vector<TaskAnswer> answers;      ///< Received since the last step.
  std::vector<HostTasks> reports;       ///< Received since the last step.
  core::Millis retention{0};            ///< Retention of the jobs stream.
  core::MonotonicTime now;
};

/// @brief Actions that a step requests.
struct DriverOutput {
  std::vector<jobs::Record> records;
  std::vector<TaskCall> calls;
  std::vector<core::HostId> list_requests;  ///< Workers to list.
};

/// @brief Advances the takeover and the job dispatch of a zone. It does no I/O.
/// @param input The input.
/// @param driver The state; updated.
/// @return Records to append, calls to send and task lists to request.
[[nodiscard]] DriverOutput Step(const DriverInput& input, Driver& driver);

/// @brief Returns whether a host has no tasks, so that it can be released.
/// @param driver The state.
/// @param host The host.
/// @return False while a task runs or may run on the host.
[[nodiscard]] bool IsFreeOfTasks(const Driver& driver,
                                 const core::HostId& host);

}  // namespace camphormux::dispatch

#endif  // CAMPHORMUX_DISPATCH_DRIVER_HPP_
