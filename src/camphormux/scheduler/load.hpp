#ifndef CAMPHORMUX_SCHEDULER_LOAD_HPP_
#define CAMPHORMUX_SCHEDULER_LOAD_HPP_

#include <cstddef>
#include <map>

#include "camphormux/scheduler/state.hpp"

namespace camphormux::scheduler {

/// @brief Capacity and demand of a pool at one moment.
struct PoolLoad {
  std::size_t hosts = 0;       ///< Listed hosts that are not about to leave.
  std::size_t idle_hosts = 0;  ///< Of these, hosts without runs.
  core::MilliCores capacity;
  core::MilliCores permanent;  ///< Reserved by permanent tasks.
  core::MilliCores urgent;     ///< Reserved by tasks that are not permanent.
  core::MilliCores waiting;    ///< Cores of ready tasks that were not placed.
  std::size_t open_jobs = 0;   ///< Jobs with a completion time objective.
  std::size_t late_jobs = 0;   ///< Of these, jobs past their objective.
  double arrival_rate = 0;     ///< Core seconds per second.
};

using PoolLoads = std::map<core::PoolName, PoolLoad>;

/// @brief Computes the load of all pools.
[[nodiscard]] PoolLoads MeasureLoads(const State& state,
                                     core::MonotonicTime now);

/// @brief Counts a start by whether its job can still meet its objective.
void RecordStart(State& state, const Job& job, core::MonotonicTime now);

/// @brief Counts the work of a job that has just succeeded.
void RecordCompletion(State& state, const Job& job, core::MonotonicTime now);

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_LOAD_HPP_
