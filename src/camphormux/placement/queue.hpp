#ifndef CAMPHORMUX_PLACEMENT_QUEUE_HPP_
#define CAMPHORMUX_PLACEMENT_QUEUE_HPP_

#include <optional>

#include "camphormux/placement/effects.hpp"
#include "camphormux/placement/state.hpp"

namespace camphormux::placement::internal {

enum class QueueEnd { kFront, kBack };

/// @brief Puts a job into its class's queue. The cost does not depend on the
/// number of jobs.
void Enqueue(State& state, JobIndex job, QueueEnd end);

/// @brief Takes a queued job out of its class's queue, at a constant cost.
void Dequeue(State& state, JobIndex job);

/// @brief Tells why jobs of a class can never run, with the present pools and
/// quotas.
[[nodiscard]] std::optional<Reason> WhyImpossible(const State& state,
                                                  const JobClass& job_class);

/// @brief Looks again at whether jobs of a class can ever run, after a change
/// of pools or quotas, and tells the teams when the answer changed to no.
void RecheckClass(State& state, ClassIndex index, Effects& effects);

/// @brief Reviews the classes of a pool.
void RecheckPool(State& state, PoolIndex pool, Effects& effects);

/// @brief Reviews the classes of a team.
void RecheckTeam(State& state, TeamIndex team, Effects& effects);

}  // namespace camphormux::placement::internal

#endif  // CAMPHORMUX_PLACEMENT_QUEUE_HPP_
