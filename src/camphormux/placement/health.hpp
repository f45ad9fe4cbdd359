#ifndef CAMPHORMUX_PLACEMENT_HEALTH_HPP_
#define CAMPHORMUX_PLACEMENT_HEALTH_HPP_

#include "camphormux/placement/effects.hpp"
#include "camphormux/placement/state.hpp"

namespace camphormux::placement::internal {

/// @brief Notes that a job finished on a worker. The worker is sound; workers
/// on which the job failed before are under suspicion.
void RecordSuccess(State& state, JobIndex job, WorkerIndex worker,
                   core::MonotonicTime now);

/// @brief Notes that a job failed on a worker. A worker that fails several
/// distinct jobs, which run elsewhere, is quarantined, and its failures no
/// longer count against the jobs.
void RecordFailure(State& state, JobIndex job, WorkerIndex worker,
                   core::MonotonicTime now);

/// @brief Queues a failed job again, holds it back or gives it up, by the
/// number of distinct workers on which it failed.
void RetryOrHoldBack(State& state, JobIndex job, core::MonotonicTime now,
                     Effects& effects);

/// @brief Queues a held-back job whose back-off ended.
void ReleaseHeldBack(State& state, const Timer& timer);

/// @brief Asks for the next probe of a quarantined worker.
void RequestProbe(State& state, const Timer& timer, core::MonotonicTime now,
                  Effects& effects);

/// @brief Takes the result of a probe.
void RecordProbe(State& state, WorkerIndex worker, bool succeeded);

}  // namespace camphormux::placement::internal

#endif  // CAMPHORMUX_PLACEMENT_HEALTH_HPP_
