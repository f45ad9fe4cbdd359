#ifndef CAMPHORMUX_SCHEDULER_PLAN_HPP_
#define CAMPHORMUX_SCHEDULER_PLAN_HPP_

#include <map>
#include <vector>

#include "camphormux/scheduler/state.hpp"

namespace camphormux::scheduler {

/// @brief State of a pool in one planning pass.
struct PoolView {
  std::vector<Host*> usable;
  /// Cores of ready tasks that were not placed. Those of overdue jobs count
  /// only if nothing will end on the pool's hosts that makes room for them.
  core::MilliCores unplaced;
  /// Of these, cores of jobs past their objective.
  core::MilliCores unplaced_late;
  /// Additional hosts for the job that needs most of them because of a limit of
  /// tasks per host.
  std::uint32_t hosts_to_spread = 0;
};

using PoolViews = std::map<core::PoolName, PoolView>;

/// @brief Runs a planning pass: removes lost runs and hosts, places ready
/// tasks, maintains and moves machines. The resulting orders are added to the
/// state.
/// @param state The state.
/// @param now Monotonic time.
/// @param wall Wall-clock time; used for due times of scheduled jobs only.
void Plan(State& state, core::MonotonicTime now, core::WallTime wall);

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_PLAN_HPP_
