#ifndef CAMPHORMUX_SCHEDULER_AVAILABILITY_HPP_
#define CAMPHORMUX_SCHEDULER_AVAILABILITY_HPP_

#include <cstdint>
#include <vector>

#include "camphormux/scheduler/state.hpp"

namespace camphormux::scheduler {

/// @brief Returns whether a run serves: it is at work on a host that answers.
[[nodiscard]] bool IsServing(const State& state, const Run& run);

/// @brief Counts the tasks of a run's step, other than its own, of which no run
/// serves, including those that are being stopped.
[[nodiscard]] std::uint32_t OtherUnavailableTasks(const State& state,
                                                  const Run& run);

/// @brief Returns how many tasks of a step may be unavailable at the same time
/// through orders of the lease holder; at least 1.
[[nodiscard]] std::uint32_t AvailabilityBudget(const workload::Step& step);

/// @brief Returns whether all these runs of permanent tasks may be stopped at
/// the same time: each step can miss its tasks among them.
[[nodiscard]] bool MayStopTogether(const State& state,
                                   const std::vector<RunId>& runs);

/// @brief Returns whether a run may be stopped: its step is not permanent, or
/// it can miss this task too.
[[nodiscard]] bool MayStopWithinBudget(const State& state, const Run& run);

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_AVAILABILITY_HPP_
