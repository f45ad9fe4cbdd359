#ifndef CAMPHORMUX_PLACEMENT_LEASES_HPP_
#define CAMPHORMUX_PLACEMENT_LEASES_HPP_

#include "camphormux/placement/effects.hpp"
#include "camphormux/placement/state.hpp"

namespace camphormux::placement::internal {

/// @brief Starts a job on a worker under a new epoch. The job must not be in a
/// queue.
void CreateTask(State& state, JobIndex job, WorkerIndex worker,
                const Resources& limits, core::MonotonicTime now,
                Effects& effects);

/// @brief Adopts a task that an earlier owner of the zone started. It becomes
/// the job's current task. If the job already has a task or has ended, the
/// adopted task is stopped.
void AdoptTask(State& state, JobIndex job, WorkerIndex worker,
               core::Epoch epoch, const Resources& limits,
               core::MonotonicTime now, Effects& effects);

/// @brief Removes a task whose end is confirmed and frees its resources.
void RemoveTask(State& state, TaskIndex task);

/// @brief Marks a task as abandoned, because it may no longer be running. A
/// repeatable job is queued for a new start; a non-repeatable job waits for the
/// confirmed end of the task. The task keeps its resources on the worker until
/// its end is confirmed.
void AbandonTask(State& state, TaskIndex task);

/// @brief Extends a task's lease by the lease duration from `reported`.
/// @param reported When the worker was known to run the task.
void ExtendLease(State& state, TaskIndex task, core::MonotonicTime reported);

/// @brief Handles the expiry timer of a lease: abandons the task, or sets the
/// timer again if the lease was extended.
void CheckLease(State& state, const Timer& timer);

}  // namespace camphormux::placement::internal

#endif  // CAMPHORMUX_PLACEMENT_LEASES_HPP_
