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

enum class TaskCallKind {
  kFence,  ///< Deletes a task that never exists, so that the platform sees the
           ///< epoch and refuses calls of earlier holders from then on.
  kStart,  ///< Starts the task, or renews its lease.
  kThrottle,
  kCheckpoint,
  kDelete,  ///< Ends the task; the platform never starts this task again.
};

/// @brief A level-triggered request to the platform. Repeating it is harmless.
struct TaskCall {
  TaskCallKind kind = TaskCallKind::kStart;
  core::HostId host;
  core::Epoch epoch;            ///< Of the zone's lease.
  placement::TaskRef task;      ///< Its epoch is the task's number in the zone.
  placement::Resources limits;  ///< Of `kStart`.
  core::Millis lease{0};        ///< Of `kStart`.
  core::MilliCores cores;       ///< Of `kThrottle`.

  friend bool operator==(const TaskCall&, const TaskCall&) = default;
};

/// @brief What a worker says of a task.
enum class RunState : std::uint8_t {
  kRunning,
  kThrottled,
  kCheckpointed,  ///< Progress is saved; does not go on.
  kDone,
  kFailed,
  kOutOfMemory,
  kLeaseExpired,  ///< Ended because its lease lapsed.
  kAbsent,        ///< The worker has no such task.
};

enum class TaskCallOutcome {
  kDone,
  kStaleEpoch,  ///< 409: another controller holds the zone.
  kRefused,     ///< The platform will not do it; nothing changed.
  kFailed,      ///< No answer or an error; the call may have taken effect.
};

/// @brief An answered or failed call.
struct TaskAnswer {
  TaskCall call;
  TaskCallOutcome outcome = TaskCallOutcome::kFailed;
  std::optional<RunState> state;  ///< Of the task after the call.
  core::MonotonicTime sent;
};

/// @brief A task of a worker's report.
struct ListedTask {
  placement::TaskRef task;
  RunState state = RunState::kRunning;
  placement::Resources limits;
  core::MilliCores cores;  ///< In use.
  core::Mebibytes memory;  ///< In use.
};

/// @brief All tasks of one worker at some time, ended ones included until they
/// are deleted.
struct HostTasks {
  core::HostId host;
  core::MonotonicTime as_of;  ///< Not before this time.
  std::vector<ListedTask> tasks;
};

}  // namespace camphormux::dispatch

#endif  // CAMPHORMUX_DISPATCH_TASK_CALL_HPP_
