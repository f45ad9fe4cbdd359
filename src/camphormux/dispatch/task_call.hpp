#ifndef CAMPHORMUX_DISPATCH_TASK_CALL_HPP_
#define CAMPHORMUX_DISPATCH_TASK_CALL_HPP_

#include <cstdint>
#include <optional>
#include <vector>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/placement/job.hpp"
#include "camphormux/placement/resources.hpp"

namespace camphormux::dispatch {

/// @brief Kind of a call.
enum class TaskCallKind {
  kFence,  ///< Deletes a task that never exists, so that the platform sees the
           ///< new epoch and refuses calls of earlier epochs from then on.
  kStart,  ///< Starts the task, or renews its lease.
  kThrottle,    ///< Limits the task to `cores`.
  kCheckpoint,  ///< Saves the task's progress.
  kDelete,      ///< Ends the task; the platform never starts this task again.
};

/// @brief An idempotent request to the platform that states the desired state
/// of a task; it may be repeated.
struct TaskCall {
  TaskCallKind kind = TaskCallKind::kStart;
  core::HostId host;
  core::Epoch epoch;            ///< Epoch of the zone's lease.
  placement::TaskRef task;      ///< Its epoch is the task's number in the zone.
  placement::Resources limits;  ///< For `kStart`.
  core::Millis lease{0};        ///< Lease duration, for `kStart`.
  core::MilliCores cores;       ///< For `kThrottle`.

  friend bool operator==(const TaskCall&, const TaskCall&) = default;
};

/// @brief State of a task as reported by its worker.
enum class RunState : std::uint8_t {
  kRunning,
  kThrottled,
  kCheckpointed,  ///< Progress is saved; the task does not continue.
  kDone,
  kFailed,
  kOutOfMemory,
  kLeaseExpired,  ///< Ended because its lease expired.
  kAbsent,        ///< The worker has no such task.
};

/// @brief Result of a call.
enum class TaskCallOutcome {
  kDone,
  kStaleEpoch,  ///< 409: a holder with a later epoch has called.
  kRefused,     ///< The platform rejected the call; nothing changed.
  kFailed,      ///< No answer or an error; the call may have taken effect.
};

/// @brief Result of a call, answered or failed.
struct TaskAnswer {
  TaskCall call;
  TaskCallOutcome outcome = TaskCallOutcome::kFailed;
  std::optional<RunState> state;  ///< State of the task after the call.
  core::MonotonicTime sent;
};

/// @brief A task in a worker's report.
struct ListedTask {
  placement::TaskRef task;
  RunState state = RunState::kRunning;
  placement::Resources limits;
  core::MilliCores cores;  ///< In use.
  core::Mebibytes memory;  ///< In use.
};

/// @brief All tasks of one worker at a point in time. Ended tasks are included
/// until they are deleted.
struct HostTasks {
  core::HostId host;
  core::MonotonicTime as_of;  ///< The list is at least as recent as this.
  std::vector<ListedTask> tasks;
};

}  // namespace camphormux::dispatch

#endif  // CAMPHORMUX_DISPATCH_TASK_CALL_HPP_
