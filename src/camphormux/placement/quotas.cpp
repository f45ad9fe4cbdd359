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

/// Normal work that does not yield counts against the pool's firm share.
bool CountsAsFirm(const JobClass& job_class) {
  return job_class.firm && job_class.key.priority == Priority::kNormal;
}

}  // namespace

QuotaVerdict JudgeQuota(const State& state, const JobClass& job_class,
                        const Resources& need) {
  const Team& team = state.teams[job_class.team];
  if (!team.quota) return QuotaVerdict::kRefused;
  if (job_class.firm) {
    return Fits(need, *team.quota - team.firm) ? QuotaVerdict::kWithin
                                               : QuotaVerdict::kRefused;
  }
  if (Fits(need, *team.quota - team.used)) return QuotaVerdict::kWithin;
  return Fits(need, state.quota_total - state.used_total)
             ? QuotaVerdict::kBorrowed
             : QuotaVerdict::kRefused;
}

bool IsOverQuota(const Team& team) {
  return !team.quota || !Fits(team.used, *team.quota);
}

double DominantShare(const Team& team) { return ShareWith(team, {}); }

double ShareWith(const Team& team, const Resources& change) {
  if (!team.quota) return 0.0;
  const Resources used = team.used + change;
  return std::max(
      {ShareOf(used.cores.value, team.quota->cores.value),
       ShareOf(used.memory.value, team.quota->memory.value),
       ShareOf(used.accelerators.value, team.quota->accelerators.value)});
}

bool FirmWorkFits(const State& state, const JobClass& job_class,
                  const Resources& need) {
  if (!CountsAsFirm(job_class)) return true;
  const Pool& pool = state.pools[job_class.key.pool];
  // A pool without firm work takes a job of any size, so that none waits for
  // ever in a small pool.
  if (pool.firm == Resources{}) return true;
  const double share = state.settings.firm_share;
  const Resources ceiling{
      {Part(pool.capacity.cores.value, share)},
      {Part(pool.capacity.memory.value, share)},
      {Part(pool.capacity.accelerators.value, share)},
  };
  return Fits(need, ceiling - pool.firm);
}

void Charge(State& state, const JobClass& job_class, PoolIndex pool,
            const Resources& size) {
  Team& team = state.teams[job_class.team];
  team.used += size;
  state.used_total += size;
  if (job_class.firm) team.firm += size;
  if (CountsAsFirm(job_class)) state.pools[pool].firm += size;
}

void Release(State& state, const JobClass& job_class, PoolIndex pool,
             const Resources& size) {
  Charge(state, job_class, pool, Resources{} - size);
  state.teams[job_class.team].freed = true;
}

void SetQuota(State& state, TeamIndex index, const Resources& quota) {
  Team& team = state.teams[index];
  if (team.quota) state.quota_total -= *team.quota;
  team.quota = quota;
  state.quota_total += quota;
}

}  // namespace camphormux::placement::internal
