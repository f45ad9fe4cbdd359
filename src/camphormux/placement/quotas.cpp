#include "camphormux/placement/quotas.hpp"

#include <algorithm>

namespace camphormux::placement::internal {
namespace {

double ShareOf(std::int64_t used, std::int64_t quota) {
  if (used <= 0) return 0.0;
  return static_cast<double>(used) /
         static_cast<double>(std::max<std::int64_t>(1, quota));
}

std::int64_t Part(std::int64_t whole, double share) {
  return static_cast<std::int64_t>(static_cast<double>(whole) * share);
}

/// Non-preemptible jobs of normal priority count against the pool's
/// `non_preemptible_share`.
bool CountsAsNonPreemptible(const JobClass& job_class) {
  return job_class.non_preemptible &&
         job_class.key.priority == Priority::kNormal;
}

}  // namespace

QuotaResult EvaluateQuota(const State& state, const JobClass& job_class,
                          const Resources& need) {
  const Team& team = state.teams[job_class.team];
  if (!team.quota) return QuotaResult::kRefused;
  if (job_class.non_preemptible) {
    return Fits(need, *team.quota - team.non_preemptible)
               ? QuotaResult::kWithin
               : QuotaResult::kRefused;
  }
  if (Fits(need, *team.quota - team.used)) return QuotaResult::kWithin;
  return Fits(need, state.quota_total - state.used_total)
             ? QuotaResult::kBorrowed
             : QuotaResult::kRefused;
}

bool IsOverQuota(const Team& team) {
  return !team.quota || !Fits(team.used, *team.quota);
}

double DominantShare(const Team& team) { return DominantShareWith(team, {}); }

double DominantShareWith(const Team& team, const Resources& change) {
  if (!team.quota) return 0.0;
  const Resources used = team.used + change;
  return std::max(
      {ShareOf(used.cores.value, team.quota->cores.value),
       ShareOf(used.memory.value, team.quota->memory.value),
       ShareOf(used.accelerators.value, team.quota->accelerators.value)});
}

bool NonPreemptibleWorkFits(const State& state, const JobClass& job_class,
                            const Resources& need) {
  if (!CountsAsNonPreemptible(job_class)) return true;
  const Pool& pool = state.pools[job_class.key.pool];
  // A pool without such jobs accepts one of any size; otherwise a large job
  // could wait forever in a small pool.
  if (pool.non_preemptible == Resources{}) return true;
  const double share = state.settings.non_preemptible_share;
  const Resources ceiling{
      {Part(pool.capacity.cores.value, share)},
      {Part(pool.capacity.memory.value, share)},
      {Part(pool.capacity.accelerators.value, share)},
  };
  return Fits(need, ceiling - pool.non_preemptible);
}

void Charge(State& state, const JobClass& job_class, PoolIndex pool,
            const Resources& size) {
  Team& team = state.teams[job_class.team];
  team.used += size;
  state.used_total += size;
  if (job_class.non_preemptible) team.non_preemptible += size;
  if (CountsAsNonPreemptible(job_class))
    state.pools[pool].non_preemptible += size;
}

void Release(State& state, const JobClass& job_class, PoolIndex pool,
             const Resources& size) {
  Charge(state, job_class, pool, Resources{} - size);
  state.teams[job_class.team].has_freed_quota = true;
}

void SetQuota(State& state, TeamIndex index, const Resources& quota) {
  Team& team = state.teams[index];
  if (team.quota) state.quota_total -= *team.quota;
  team.quota = quota;
  state.quota_total += quota;
}

}  // namespace camphormux::placement::internal
