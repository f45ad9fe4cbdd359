#ifndef CAMPHORMUX_PLACEMENT_QUOTAS_HPP_
#define CAMPHORMUX_PLACEMENT_QUOTAS_HPP_

#include "camphormux/placement/state.hpp"

namespace camphormux::placement::internal {

enum class QuotaResult {
  kWithin,    ///< Covered by the team's own quota.
  kBorrowed,  ///< Covered by other teams' unused quota, which they may reclaim.
  kRefused,
};

/// @brief Checks whether quotas allow a start. Non-preemptible jobs must be
/// within their team's own quota; preemptible jobs may borrow unused quota of
/// other teams.
[[nodiscard]] QuotaResult EvaluateQuota(const State& state,
                                        const JobClass& job_class,
                                        const Resources& need);

/// @brief Tells whether a team exceeds its quota in any resource.
[[nodiscard]] bool IsOverQuota(const Team& team);

/// @brief Returns a team's dominant share: the largest used share of its quota
/// over all resources.
[[nodiscard]] double DominantShare(const Team& team);

/// @brief Returns the dominant share that a team would have if its usage
/// changed by `change`.
[[nodiscard]] double DominantShareWith(const Team& team,
                                       const Resources& change);

/// @brief Tells whether a job fits into the share of its pool that is open to
/// non-preemptible jobs of normal priority. True for all other jobs. The rest
/// of each pool is left to preemptible and urgent jobs.
[[nodiscard]] bool NonPreemptibleWorkFits(const State& state,
                                          const JobClass& job_class,
                                          const Resources& need);

/// @brief Adds a size to the usage of a class's team and of a pool, for a task
/// or a reservation.
void Charge(State& state, const JobClass& job_class, PoolIndex pool,
            const Resources& size);

/// @brief Reverts Charge().
void Release(State& state, const JobClass& job_class, PoolIndex pool,
             const Resources& size);

/// @brief Sets a team's quota.
void SetQuota(State& state, TeamIndex team, const Resources& quota);

}  // namespace camphormux::placement::internal

#endif  // CAMPHORMUX_PLACEMENT_QUOTAS_HPP_
