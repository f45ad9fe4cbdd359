#ifndef CAMPHORMUX_PLACEMENT_OUTCOMES_HPP_
#define CAMPHORMUX_PLACEMENT_OUTCOMES_HPP_

#include "camphormux/placement/effects.hpp"
#include "camphormux/placement/events.hpp"
#include "camphormux/placement/state.hpp"

namespace camphormux::placement::internal {

/// @brief Cancels a job in any phase. The cost does not depend on the number of
/// jobs.
void CancelJob(State& state, const core::JobId& id, core::MonotonicTime now,
               Effects& effects);

/// @brief Handles the confirmed end of a task.
void EndTask(State& state, TaskIndex task, TaskOutcome outcome,
             core::MonotonicTime now, Effects& effects);

/// @brief Handles the confirmation that an abandoned task no longer runs. Its
/// outcome is not known.
void EndAbandoned(State& state, TaskIndex task, core::MonotonicTime now,
                  Effects& effects);

/// @brief Handles a worker's usage report.
void HandleUsageReport(State& state, const UsageReported& report,
                       core::MonotonicTime now, Effects& effects);

}  // namespace camphormux::placement::internal

#endif  // CAMPHORMUX_PLACEMENT_OUTCOMES_HPP_
