#ifndef CAMPHORMUX_PLACEMENT_QUOTAS_HPP_
#define CAMPHORMUX_PLACEMENT_QUOTAS_HPP_

#include "camphormux/placement/state.hpp"

namespace camphormux::placement::internal {

enum class QuotaResult {
  kWithin,    ///< The team's own quota covers it.
  kBorrowed,  ///< Other teams' unused quota covers it; it can be reclaimed.
  kRefused,
};

/// @brief Judges a start. Work that does not yield must be within the team's
/// own quota; preemptible work may borrow what other teams leave unused.
[[nodiscard]] QuotaResult EvaluateQuota(const State& state,
                                        const JobClass& job_class,
                                        const Resources& need);

/// @brief Tells whether a team uses more than its quota of some resource.
[[nodiscard]] bool IsOverQuota(const Team& team);

/// @brief Returns the largest used share of a team's quota over resources.
[[nodiscard]] double DominantShare(const Team& team);

/// @brief Returns the dominant share that a team would have with a change of
/// what it uses.
[[nodiscard]] double DominantShareWith(const Team& team,
                                       const Resources& change);

/// @brief Tells whether a pool takes normal work that does not yield; a part
/// of each pool is left to work that yields.
[[nodiscard]] bool NonPreemptibleWorkFits(const State& state,
                                          const JobClass& job_class,
                                          const Resources& need);

/// @brief Counts a size as used by a class's team and by a pool, for a task or
/// for room that is being made.
void Charge(State& state, const JobClass& job_class, PoolIndex pool,
            const Resources& size);

/// @brief Ends what Charge counted.
void Release(State& state, const JobClass& job_class, PoolIndex pool,
             const Resources& size);

/// @brief Sets a team's quota.
void SetQuota(State& state, TeamIndex team, const Resources& quota);

}  // namespace camphormux::placement::internal

#endif  // CAMPHORMUX_PLACEMENT_QUOTAS_HPP_
