#ifndef CAMPHORMUX_PLACEMENT_EFFECTS_HPP_
#define CAMPHORMUX_PLACEMENT_EFFECTS_HPP_

#include <variant>
#include <vector>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/placement/job.hpp"
#include "camphormux/placement/reasons.hpp"

namespace camphormux::placement {

struct StartTask {
  core::HostId worker;
  TaskRef task;
  Resources limits;
  core::Millis lease{0};
};

/// @brief Limits a task's cores; an amount as large as at its start ends the
/// throttle.
struct ThrottleTask {
  core::HostId worker;
  TaskRef task;
  core::MilliCores cores;
};

struct CheckpointTask {
  core::HostId worker;
  TaskRef task;
};

struct StopTask {
  core::HostId worker;
  TaskRef task;
};

/// @brief Asks a quarantined worker to run a known good test task.
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
