#ifndef CAMPHORMUX_PLACEMENT_QUEUE_HPP_
#define CAMPHORMUX_PLACEMENT_QUEUE_HPP_

#include <optional>

#include "camphormux/placement/effects.hpp"
#include "camphormux/placement/state.hpp"

namespace camphormux::placement::internal {

enum class QueueEnd { kFront, kBack };

/// @brief Adds a job to the queue of its class, at constant cost.
void Enqueue(State& state, JobIndex job, QueueEnd end);

/// @brief Removes a job from the queue of its class, at constant cost.
void Dequeue(State& state, JobIndex job);

/// @brief Tells why jobs of a class can never run with the present pools and
/// quotas.
/// @return The reason, or nothing if they can run.
[[nodiscard]] std::optional<Reason> WhyImpossible(const State& state,
                                                  const JobClass& job_class);

/// @brief Rechecks whether jobs of a class can ever run, after a change of
/// pools or quotas. Notifies the teams of queued jobs that have become
/// impossible.
void RecheckClass(State& state, ClassIndex index, Effects& effects);

/// @brief Rechecks all classes of a pool.
void RecheckPool(State& state, PoolIndex pool, Effects& effects);

/// @brief Rechecks all classes of a team.
void RecheckTeam(State& state, TeamIndex team, Effects& effects);

}  // namespace camphormux::placement::internal

#endif  // CAMPHORMUX_PLACEMENT_QUEUE_HPP_
