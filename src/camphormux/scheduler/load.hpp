#ifndef CAMPHORMUX_SCHEDULER_LOAD_HPP_
#define CAMPHORMUX_SCHEDULER_LOAD_HPP_

#include <cstddef>
#include <map>

#include "camphormux/scheduler/state.hpp"

namespace camphormux::scheduler {

/// @brief What a pool has and what it is asked for at one moment.
struct PoolLoad {
  std::size_t hosts = 0;       ///< Listed and not about to leave.
  std::size_t idle_hosts = 0;  ///< Of these, without runs.
  core::MilliCores capacity;
  core::MilliCores permanent;  ///< Taken by permanent tasks.
  core::MilliCores urgent;     ///< Taken by tasks that end by themselves.
  core::MilliCores waiting;    ///< Of ready tasks without room.
  std::size_t open_jobs = 0;   ///< That end by themselves.
  std::size_t late_jobs = 0;   ///< Of these, past their objective.
  double arrival_rate = 0;     ///< Core seconds a second that arrive.
};

using PoolLoads = std::map<core::PoolName, PoolLoad>;

/// @brief Measures the load of all pools.
[[nodiscard]] PoolLoads MeasureLoads(const State& state,
                                     core::MonotonicTime now);

/// @brief Counts a start by whether its job can still be in time.
void RecordStart(State& state, const Job& job, core::MonotonicTime now);

/// @brief Counts the work of a job that has just succeeded.
void RecordCompletion(State& state, const Job& job, core::MonotonicTime now);

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_LOAD_HPP_
