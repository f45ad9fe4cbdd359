#ifndef CAMPHORMUX_PLACEMENT_PREEMPTION_HPP_
#define CAMPHORMUX_PLACEMENT_PREEMPTION_HPP_

#include <optional>

#include "camphormux/placement/effects.hpp"
#include "camphormux/placement/state.hpp"

namespace camphormux::placement::internal {

/// @brief What a job claims from tasks that yield.
struct PreemptionRequest {
  Resources need;
  /// None for urgent work, for which any preemptible task yields. Else the
  /// dominant share of the claiming team with the job: tasks yield whose team
  /// is over its quota and keeps at least this share without them. Without
  /// this rule, teams near their quotas would stop each other's tasks in turn.
  std::optional<double> claimant_share;
};

/// @brief Makes room for a job that is not queued on the worker where least
/// work is lost: tasks are throttled, then checkpointed, then stopped.
/// @return False if no worker has enough that yields; nothing has changed
/// then.
[[nodiscard]] bool StartPreemption(State& state, JobIndex job,
                                   const PreemptionRequest& preemption_request,
                                   core::MonotonicTime now, Effects& effects);

/// @brief Starts jobs for which enough room was made on a worker, and gives
/// throttled tasks their cores back when nothing waits for them.
void UseFreedResources(State& state, WorkerIndex worker,
                       core::MonotonicTime now, Effects& effects);

/// @brief Ends a job's claim on the room that is made for it.
void CancelReservation(State& state, JobIndex job);

/// @brief Makes a preemptible task yield its whole room.
void BeginYield(State& state, TaskIndex task, core::MonotonicTime now,
                Effects& effects);

/// @brief Orders a task to stop, and again until its end is confirmed.
void BeginStop(State& state, TaskIndex task, core::MonotonicTime now,
               Effects& effects);

void OnThrottled(State& state, TaskIndex task, core::MonotonicTime now,
                 Effects& effects);
void OnCheckpointed(State& state, TaskIndex task, core::MonotonicTime now,
                    Effects& effects);

/// @brief Takes the next step of a task whose present one took too long.
void OnYieldStepDeadline(State& state, const Timer& timer,
                         core::MonotonicTime now, Effects& effects);

/// @brief Queues a job again when its room was not free in time.
/// @return True if the job is queued again.
[[nodiscard]] bool OnReservationDeadline(State& state, const Timer& timer,
                                         core::MonotonicTime now);

}  // namespace camphormux::placement::internal

#endif  // CAMPHORMUX_PLACEMENT_PREEMPTION_HPP_
