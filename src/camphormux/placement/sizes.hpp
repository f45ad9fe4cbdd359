#ifndef CAMPHORMUX_PLACEMENT_SIZES_HPP_
#define CAMPHORMUX_PLACEMENT_SIZES_HPP_

#include "camphormux/placement/state.hpp"

namespace camphormux::placement::internal {

/// @brief Returns what a task of a class is given: the declared size,
/// corrected by what tasks of its kind used, with bounds. Never more than a
/// worker or the team's quota that holds the declared size.
[[nodiscard]] Resources ReservedSize(const State& state,
                                     const JobClass& job_class);

/// @brief Notes what a running task uses. Growth counts at once.
void ObserveUsage(State& state, Task& task, core::MilliCores cores,
                  core::Mebibytes memory);

/// @brief Notes the peak of a task that finished.
void RecordFinishedUsage(State& state, const Task& task);

}  // namespace camphormux::placement::internal

#endif  // CAMPHORMUX_PLACEMENT_SIZES_HPP_
