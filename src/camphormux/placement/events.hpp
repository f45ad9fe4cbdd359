#ifndef CAMPHORMUX_PLACEMENT_EVENTS_HPP_
#define CAMPHORMUX_PLACEMENT_EVENTS_HPP_

#include <variant>
#include <vector>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/core/units.hpp"
#include "camphormux/placement/job.hpp"

namespace camphormux::placement {

/// @brief Periodic scheduling step.
struct Tick {};

struct JobSubmitted {
  JobSpec job;
};

struct JobCancelled {
  core::JobId job;
};

/// @brief A team's quota was set or changed.
struct QuotaSet {
  core::TeamName team;
  Resources quota;
};

/// @brief Resources that one task used when its worker made the report.
struct TaskUsage {
  TaskRef task;
  core::MilliCores cores;
  core::Mebibytes memory;
};

/// @brief A worker's usage report; it arrives with a delay.
struct UsageReported {
  core::HostId worker;
  core::Millis age{0};  ///< Time since the report was made.
  std::vector<TaskUsage> tasks;
};

struct TaskStarted {
  TaskRef task;
};

/// @brief The task is limited to the cores given by ThrottleTask.
struct TaskThrottled {
  TaskRef task;
};

/// @brief The task's progress is saved; a later run of the job resumes from it.
struct TaskCheckpointed {
  TaskRef task;
};

/// @brief The worker confirmed that the run has ended.
struct TaskEnded {
  TaskRef task;
  TaskOutcome outcome = TaskOutcome::kFinished;
};

/// @brief The worker confirmed a renewal of the task's lease.
struct LeaseRenewed {
  TaskRef task;
  core::MonotonicTime sent;  ///< When the renewal was sent.
};

/// @brief The task's lease expired; its worker may still run it.
struct LeaseExpired {
  TaskRef task;
};

struct WorkerAdded {
  WorkerSpec worker;
};

/// @brief The worker was removed for good; none of its tasks runs any more.
struct WorkerRemoved {
  core::HostId worker;
};

/// @brief The time for the draining worker's tasks to yield is over. Remaining
/// tasks are stopped, except for tasks of non-repeatable jobs.
struct WorkerDrainTimedOut {
  core::HostId worker;
};

/// @brief A worker still has a task that an earlier owner of the zone started.
/// Sent before the job is submitted. If the job already has another task, this
/// one is stopped.
struct TaskAdopted {
  JobSpec job;
  TaskRef task;
  core::HostId worker;
  Resources limits;
};

/// @brief The worker does not respond; its tasks may still run.
struct WorkerLost {
  core::HostId worker;
};

/// @brief The worker must get no new tasks.
struct WorkerDrained {
  core::HostId worker;
};

/// @brief The worker responds again or is no longer draining.
struct WorkerReturned {
  core::HostId worker;
  bool rebooted = false;  ///< True: none of its earlier tasks still runs.
};

struct PoolChanged {
  core::HostId worker;
  core::PoolName pool;
};

struct ProbeFinished {
  core::HostId worker;
  bool succeeded = false;
};

using Event =
    std::variant<Tick, JobSubmitted, JobCancelled, QuotaSet, UsageReported,
                 TaskStarted, TaskThrottled, TaskCheckpointed, TaskEnded,
                 LeaseExpired, WorkerAdded, WorkerLost, WorkerDrained,
                 WorkerReturned, PoolChanged, ProbeFinished, WorkerRemoved,
                 WorkerDrainTimedOut, TaskAdopted, LeaseRenewed>;

}  // namespace camphormux::placement

#endif  // CAMPHORMUX_PLACEMENT_EVENTS_HPP_
