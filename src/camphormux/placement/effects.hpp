#ifndef CAMPHORMUX_PLACEMENT_EFFECTS_HPP_
#define CAMPHORMUX_PLACEMENT_EFFECTS_HPP_

#include <variant>
#include <vector>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/placement/job.hpp"
#include "camphormux/placement/reasons.hpp"

namespace camphormux::placement {

/// @brief Starts a task on a worker.
struct StartTask {
  core::HostId worker;
  TaskRef task;
  Resources limits;
  core::Millis lease{0};  ///< Duration of the task's first lease.
};

/// @brief Limits a task's cores. The amount of its start limits ends the
/// throttling.
struct ThrottleTask {
  core::HostId worker;
  TaskRef task;
  core::MilliCores cores;
};

/// @brief Makes a task save its progress.
struct CheckpointTask {
  core::HostId worker;
  TaskRef task;
};

/// @brief Stops a task.
struct StopTask {
  core::HostId worker;
  TaskRef task;
};

/// @brief Runs a known good test task on a quarantined worker.
struct ProbeWorker {
  core::HostId worker;
};

/// @brief Tells a team why its job does not run.
struct NotifyTeam {
  core::JobId job;
  Reason reason;
};

using Effect = std::variant<StartTask, ThrottleTask, CheckpointTask, StopTask,
                            ProbeWorker, NotifyTeam>;
using Effects = std::vector<Effect>;

}  // namespace camphormux::placement

#endif  // CAMPHORMUX_PLACEMENT_EFFECTS_HPP_
