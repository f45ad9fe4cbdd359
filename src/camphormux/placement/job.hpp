#ifndef CAMPHORMUX_PLACEMENT_JOB_HPP_
#define CAMPHORMUX_PLACEMENT_JOB_HPP_

#include <string>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/placement/resources.hpp"

namespace camphormux::placement {

enum class Priority { kNormal, kUrgent };

/// @brief A job as declared by its team. Declared sizes and run times may be
/// far from the actual ones.
struct JobSpec {
  core::JobId id;
  core::TeamName team;
  std::string kind;  ///< A team's jobs of one kind use similar resources.
  Priority priority = Priority::kNormal;
  bool preemptible = false;
  bool repeatable = true;  ///< False: must not run more than once.
  Resources declared;
  core::Millis declared_run_time{0};
  core::PoolName pool;  ///< Pool whose workers may run it.
};

/// @brief A worker: a host that runs jobs.
struct WorkerSpec {
  core::HostId id;
  core::ZoneName zone;
  core::RackName rack;
  core::PoolName pool;
  Resources shape;
};

/// @brief Identifies one run of a job. Each start of any job takes a higher
/// epoch.
struct TaskRef {
  core::JobId job;
  core::Epoch epoch;

  friend bool operator==(const TaskRef&, const TaskRef&) = default;
};

/// @brief How a run ended, as confirmed by its worker.
enum class TaskOutcome {
  kFinished,     ///< Completed successfully.
  kFailed,       ///< Began running and failed.
  kOutOfMemory,  ///< Began running and was killed for lack of memory.
  kStopped,      ///< Began running and was stopped on request.
  kNeverBegan,   ///< Refused or never run by the worker.
};

}  // namespace camphormux::placement

#endif  // CAMPHORMUX_PLACEMENT_JOB_HPP_
