#ifndef CAMPHORMUX_SCHEDULER_PLAN_HPP_
#define CAMPHORMUX_SCHEDULER_PLAN_HPP_

#include <map>
#include <vector>

#include "camphormux/scheduler/state.hpp"

namespace camphormux::scheduler {

/// @brief A pool as one planning pass sees it.
struct PoolView {
  std::vector<Host*> usable;
  core::MilliCores unplaced;       ///< Of ready tasks without room.
  core::MilliCores unplaced_late;  ///< Of these, of jobs past their objective.
  /// Further hosts for the job that most needs to spread its tasks.
  std::uint32_t hosts_to_spread = 0;
};

using PoolViews = std::map<core::PoolName, PoolView>;

/// @brief Decides what to do now: gives up what is lost, places ready tasks,
/// maintains and moves machines. The orders are in the state afterwards.
/// @param state The state.
/// @param now Monotonic time.
/// @param wall Wall-clock time; for due times of scheduled jobs only.
void Plan(State& state, core::MonotonicTime now, core::WallTime wall);

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_PLAN_HPP_
