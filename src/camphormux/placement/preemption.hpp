#ifndef CAMPHORMUX_PLACEMENT_PREEMPTION_HPP_
#define CAMPHORMUX_PLACEMENT_PREEMPTION_HPP_

#include <optional>

#include "camphormux/placement/effects.hpp"
#include "camphormux/placement/state.hpp"

namespace camphormux::placement::internal {

/// @brief Resources that a job needs from preemptible tasks.
struct PreemptionRequest {
  Resources need;
  /// None for an urgent job, which may preempt any preemptible task. Otherwise
  /// the dominant share that the job's team has with the job running. Only
  /// tasks of teams that are over their quota and keep at least this share
  /// without the task are preempted. Otherwise teams near their quotas would
  /// preempt each other's tasks in turn.
  std::optional<double> claimant_share;
};

/// @brief Reserves resources for a job on the worker where preemption loses the
/// least work. Preempted tasks are throttled, then checkpointed, then stopped.
/// The job must not be in a queue.
/// @return False if no worker has enough preemptible tasks; the state is
/// unchanged then.
[[nodiscard]] bool StartPreemption(State& state, JobIndex job,
                                   const PreemptionRequest& preemption_request,
                                   core::MonotonicTime now, Effects& effects);

/// @brief Starts jobs whose reservation on a worker is now covered by free
/// resources. If no reservation remains, gives throttled tasks their cores
/// back.
void UseFreedResources(State& state, WorkerIndex worker,
                       core::MonotonicTime now, Effects& effects);

/// @brief Removes a job's reservation on a worker.
void CancelReservation(State& state, JobIndex job);

/// @brief Begins to preempt a task completely: throttle, checkpoint, stop.
void BeginYield(State& state, TaskIndex task, core::MonotonicTime now,
                Effects& effects);

/// @brief Orders a task to stop. The order is repeated until the end of the
/// task is confirmed.
void BeginStop(State& state, TaskIndex task, core::MonotonicTime now,
               Effects& effects);

/// @brief Handles the confirmation of a throttle.
void OnThrottled(State& state, TaskIndex task, core::MonotonicTime now,
                 Effects& effects);
/// @brief Handles the confirmation of a checkpoint.
void OnCheckpointed(State& state, TaskIndex task, core::MonotonicTime now,
                    Effects& effects);

/// @brief Moves a task to its next yield step when the current one timed out.
void OnYieldStepDeadline(State& state, const Timer& timer,
                         core::MonotonicTime now, Effects& effects);

/// @brief Cancels a reservation that was not covered in time and queues its job
/// again.
/// @return True if the job was queued again.
[[nodiscard]] bool OnReservationDeadline(State& state, const Timer& timer,
                                         core::MonotonicTime now);

}  // namespace camphormux::placement::internal

#endif  // CAMPHORMUX_PLACEMENT_PREEMPTION_HPP_
