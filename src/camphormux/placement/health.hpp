#ifndef CAMPHORMUX_PLACEMENT_HEALTH_HPP_
#define CAMPHORMUX_PLACEMENT_HEALTH_HPP_

#include "camphormux/placement/effects.hpp"
#include "camphormux/placement/state.hpp"

namespace camphormux::placement::internal {

/// @brief Records that a job finished on a worker. Clears this worker's
/// failures, and counts the job as proven against workers on which it failed
/// before.
void RecordSuccess(State& state, JobIndex job, WorkerIndex worker,
                   core::MonotonicTime now);

/// @brief Records that a job failed on a worker. A worker on which several
/// distinct jobs fail that finish, or at least do not fail, elsewhere is
/// quarantined, and its failures no longer count against the jobs.
void RecordFailure(State& state, JobIndex job, WorkerIndex worker,
                   core::MonotonicTime now);

/// @brief Queues a failed job again, holds it back for a back-off time or gives
/// it up, depending on its failures and the number of distinct workers on which
/// it failed.
void RetryOrHoldBack(State& state, JobIndex job, core::MonotonicTime now,
                     Effects& effects);

/// @brief Queues a held-back job when its back-off time ends.
void ReleaseHeldBack(State& state, const Timer& timer);

/// @brief Requests the next probe of a quarantined worker.
void RequestProbe(State& state, const Timer& timer, core::MonotonicTime now,
                  Effects& effects);

/// @brief Records the result of a probe. A success ends the quarantine; a
/// failure doubles the time until the next probe.
void RecordProbe(State& state, WorkerIndex worker, bool succeeded);

}  // namespace camphormux::placement::internal

#endif  // CAMPHORMUX_PLACEMENT_HEALTH_HPP_
