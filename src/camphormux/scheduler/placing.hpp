#ifndef CAMPHORMUX_SCHEDULER_PLACING_HPP_
#define CAMPHORMUX_SCHEDULER_PLACING_HPP_

#include <vector>

#include "camphormux/scheduler/state.hpp"

namespace camphormux::scheduler {

/// @brief Hosts on which runs may be placed.
struct Candidates {
  std::vector<Host*> hosts;
  /// Upper bound of the free resources of any host, for each resource
  /// separately.
  placement::Resources max_free;
};

/// @brief Demand of ready tasks that could not be placed.
struct Unplaced {
  core::MilliCores cores;
  /// Additional hosts for the step that needs most of them because of its limit
  /// of tasks per host.
  std::uint32_t hosts_to_spread = 0;
};

/// @brief Updates the bound of free resources after runs were placed.
void UpdateMaxFree(Candidates& candidates);

/// @brief Starts all tasks of a job that are ready and fit on a host.
/// @param state The state; receives the orders.
/// @param job The job.
/// @param hosts Usable hosts of the job's pool.
/// @param now Monotonic time.
/// @param wall Wall-clock time.
/// @return The demand that could not be placed.
Unplaced PlaceJob(State& state, Job& job, Candidates& hosts,
                  core::MonotonicTime now, core::WallTime wall);

/// @brief Removes hosts from the candidates on which waiting tasks can start
/// soon. Otherwise smaller tasks, which are placed after them, would take each
/// core that becomes free, and a task that needs several cores of a host would
/// never start.
/// @param state The state.
/// @param waiting Jobs with ready tasks that could not be placed.
/// @param candidates Usable hosts of the jobs' pool.
/// @param wall Wall-clock time.
void HoldHosts(const State& state, const std::vector<const Job*>& waiting,
               Candidates& candidates, core::WallTime wall);

/// @brief Starts copies of speculative tasks that run much longer than
/// estimated.
void PlaceCopies(State& state, Job& job, const std::vector<Host*>& hosts,
                 core::MonotonicTime now);

/// @brief Returns whether a task without runs fits on a host.
/// @param state The state.
/// @param host The host.
/// @param job The job.
/// @param task Position of the task in the job.
[[nodiscard]] bool FitsOn(const State& state, const Host& host, const Job& job,
                          std::uint32_t task);

/// @brief Returns whether a run's task fits on another host.
[[nodiscard]] bool FitsElsewhere(const State& state, const Run& run,
                                 const std::vector<Host*>& hosts);

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_PLACING_HPP_
