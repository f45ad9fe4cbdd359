#ifndef CAMPHORMUX_PLACEMENT_LEASES_HPP_
#define CAMPHORMUX_PLACEMENT_LEASES_HPP_

#include "camphormux/placement/effects.hpp"
#include "camphormux/placement/state.hpp"

namespace camphormux::placement::internal {

/// @brief Starts a job that is not queued on a worker, under a new epoch.
void CreateTask(State& state, JobIndex job, WorkerIndex worker,
                const Resources& limits, core::MonotonicTime now,
                Effects& effects);

/// @brief Takes over a predecessor's task. It is the job's task, unless the job
/// has one or has ended; then it is stopped.
void AdoptTask(State& state, JobIndex job, WorkerIndex worker,
               core::Epoch epoch, const Resources& limits,
               core::MonotonicTime now, Effects& effects);

/// @brief Removes a task whose end is confirmed and frees its room.
void RemoveTask(State& state, TaskIndex task);

/// @brief Gives up on hearing from a task. A job that may be repeated waits
/// for a new start; one that may not waits for the confirmed end. The room on
/// the worker stays taken until the end is confirmed.
void AbandonTask(State& state, TaskIndex task);

/// @brief Extends a task's lease, as its worker reported it.
void ExtendLease(State& state, TaskIndex task, core::MonotonicTime reported);

/// @brief Checks a lease whose deadline came.
void CheckLease(State& state, const Timer& timer);

}  // namespace camphormux::placement::internal

#endif  // CAMPHORMUX_PLACEMENT_LEASES_HPP_
