#ifndef CAMPHORMUX_PLACEMENT_SIZES_HPP_
#define CAMPHORMUX_PLACEMENT_SIZES_HPP_

#include "camphormux/placement/state.hpp"

namespace camphormux::placement::internal {

/// @brief Returns the resources to reserve for a task of a class: the declared
/// size, corrected within limits by the observed usage of tasks of its kind.
/// Never exceeds a worker or a team's quota into which the declared size fits.
[[nodiscard]] Resources ReservedSize(const State& state,
                                     const JobClass& job_class);

/// @brief Records the usage of a running task. A higher usage than before takes
/// effect at once.
void ObserveUsage(State& state, Task& task, core::MilliCores cores,
                  core::Mebibytes memory);

/// @brief Records the peak usage of a finished task.
void RecordFinishedUsage(State& state, const Task& task);

}  // namespace camphormux::placement::internal

#endif  // CAMPHORMUX_PLACEMENT_SIZES_HPP_
