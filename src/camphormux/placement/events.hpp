#ifndef CAMPHORMUX_PLACEMENT_EVENTS_HPP_
#define CAMPHORMUX_PLACEMENT_EVENTS_HPP_

#include <variant>
#include <vector>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/core/units.hpp"
#include "camphormux/placement/job.hpp"

namespace camphormux::placement {

/// @brief Time passed; the periodic step.
struct Tick {};

struct JobSubmitted {
  JobSpec job;
};

struct JobCancelled {
  core::JobId job;
};

/// @brief A team's quota came into force or changed.
struct QuotaSet {
  core::TeamName team;
  Resources quota;
};

/// @brief What one task used when its worker's report was made.
struct TaskUsage {
  TaskRef task;
  core::MilliCores cores;
  core::Mebibytes memory;
};

/// @brief A worker's usage report; it lags.
struct UsageReported {
  core::HostId worker;
  core::Millis age{0};  ///< Time since the report was made.
  std::vector<TaskUsage> tasks;
};

struct TaskStarted {
  TaskRef task;
};

/// @brief The task keeps to the cores that ThrottleTask named.
struct TaskThrottled {
  TaskRef task;
};

/// @brief The task's progress is saved; a later run continues from it.
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

/// @brief The task's lease lapsed; its holder may still run it.
struct LeaseExpired {
  TaskRef task;
};

struct WorkerAdded {
  WorkerSpec worker;
};

/// @brief The worker left for good; none of its tasks runs any more.
struct WorkerRemoved {
  core::HostId worker;
};

/// @brief The worker's tasks had time to yield; those that remain are stopped,
/// but for tasks that may not be run twice.
struct WorkerDrainTimedOut {
  core::HostId worker;
};

/// @brief A predecessor's task that a worker still has. Sent before the job is
/// submitted; if the job has another task already, this one is stopped.
struct TaskAdopted {
  JobSpec job;
  TaskRef task;
  core::HostId worker;
  Resources limits;
};

/// @brief The worker does not answer; its tasks may still run.
struct WorkerLost {
  core::HostId worker;
};

/// @brief The worker shall get no new task.
struct WorkerDrained {
  core::HostId worker;
};

/// @brief The worker is back from loss or drain.
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
