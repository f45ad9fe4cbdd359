#ifndef CAMPHORMUX_SCHEDULER_PLACING_HPP_
#define CAMPHORMUX_SCHEDULER_PLACING_HPP_

#include <vector>

#include "camphormux/scheduler/state.hpp"

namespace camphormux::scheduler {

/// @brief Hosts that may get runs.
struct Candidates {
  std::vector<Host*> hosts;
  /// At least the room of each of them, for each resource by itself.
  placement::Resources max_free;
};

/// @brief Ready tasks that found no room.
struct Unplaced {
  core::MilliCores cores;
  /// Hosts for those of the step with the most that must be apart.
  std::uint32_t hosts_to_spread = 0;
};

/// @brief Measures the largest room again after runs were placed.
void UpdateMaxFree(Candidates& candidates);

/// @brief Starts all tasks of a job that are ready and find room.
/// @param state The state; gets the orders.
/// @param job The job.
/// @param hosts Usable hosts of the job's pool.
/// @param now Monotonic time.
/// @param wall Wall-clock time.
/// @return What found no room.
Unplaced PlaceJob(State& state, Job& job, Candidates& hosts,
                  core::MonotonicTime now, core::WallTime wall);

/// @brief Starts copies of speculative tasks that take much longer than
/// estimated.
void PlaceCopies(State& state, Job& job, const std::vector<Host*>& hosts,
                 core::MonotonicTime now);

/// @brief Tells whether a run's task finds room on another host.
[[nodiscard]] bool FitsElsewhere(const State& state, const Run& run,
                                 const std::vector<Host*>& hosts);

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_PLACING_HPP_
