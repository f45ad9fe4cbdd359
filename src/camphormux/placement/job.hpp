#ifndef CAMPHORMUX_PLACEMENT_JOB_HPP_
#define CAMPHORMUX_PLACEMENT_JOB_HPP_

#include <string>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/placement/resources.hpp"

namespace camphormux::placement {

enum class Priority { kNormal, kUrgent };

/// @brief A job as its team declares it. Declared sizes and run times may be
/// far from the actual ones.
struct JobSpec {
  core::JobId id;
  core::TeamName team;
  std::string kind;  ///< Jobs of one kind of a team resemble each other.
  Priority priority = Priority::kNormal;
  bool preemptible = false;
  bool repeatable = true;  ///< False: it may not be run twice.
  Resources declared;
  core::Millis declared_run_time{0};
  core::PoolName pool;  ///< Pool whose workers it may use.
};

/// @brief A worker: a host as the jobs see it.
struct WorkerSpec {
  core::HostId id;
  core::ZoneName zone;
  core::RackName rack;
  core::PoolName pool;
  Resources shape;
};

/// @brief One run of a job. The epoch grows with each start of any job.
struct TaskRef {
  core::JobId job;
  core::Epoch epoch;

  friend bool operator==(const TaskRef&, const TaskRef&) = default;
};

/// @brief How a run ended, as its worker confirmed it.
enum class TaskOutcome {
  kFinished,     ///< Did its work.
  kFailed,       ///< Began and failed.
  kOutOfMemory,  ///< Began and was ended for want of memory.
  kStopped,      ///< Began and was stopped on our request.
  kNeverBegan,   ///< The worker refused it or never ran it.
};

}  // namespace camphormux::placement

#endif  // CAMPHORMUX_PLACEMENT_JOB_HPP_
