#include "camphormux/scheduler/plan.hpp"

#include <algorithm>
#include <utility>

#include "camphormux/scheduler/balance.hpp"
#include "camphormux/scheduler/hosts.hpp"
#include "camphormux/scheduler/jobs.hpp"
#include "camphormux/scheduler/placing.hpp"
#include "camphormux/scheduler/runs.hpp"
#include "camphormux/scheduler/shares.hpp"
#include "camphormux/scheduler/upkeep.hpp"
#include "camphormux/scheduler/urgency.hpp"

namespace camphormux::scheduler {
namespace internal {

/// Interval of checks for expired leases and stalled runs; a small fraction of
/// a lease.
constexpr core::Millis kCheckInterval{40};

/// Hosts are held for a job that has waited for this time; until then its tasks
/// often find room without idle cores.
constexpr core::Millis kHoldDelay{300};

PoolViews MakeViews(State& state, core::MonotonicTime now) {
  PoolViews views;
  for (auto& [id, host] : state.hosts) {
    PoolView& view = views[host.listing.pool];
    if (IsUsable(host, now)) {
      view.usable.push_back(&host);
    }
  }
  return views;
}

/// Returns the jobs of each pool in the order in which they are placed.
std::map<core::PoolName, std::vector<RankedJob>> RankJobs(
    State& state, const PoolViews& views,
    const std::map<core::PoolName, core::MilliCores>& waiting_before,
    core::MonotonicTime now) {
  std::map<core::PoolName, std::vector<RankedJob>> ranked;
  for (auto& [id, job] : state.jobs) {
    if (job.saved && HasPolicy(job) && !workload::IsFinal(job.state)) {
      ranked[job.policy.pool].push_back({RankOf(job, now), &job});
    }
  }
  for (auto& [pool, jobs] : ranked) {
    std::sort(jobs.begin(), jobs.end(),
              [](const RankedJob& a, const RankedJob& b) {
                return a.rank != b.rank ? a.rank < b.rank
                                        : a.job->spec.id < b.job->spec.id;
              });
    core::MilliCores free;
    const auto view = views.find(pool);
    const auto before = waiting_before.find(pool);
    const bool has_waited =
        before != waiting_before.end() && before->second.value > 0;
    // Cores that stay free beside waiting tasks are of no use to them, or are
    // held for some of them.
    if (view != views.end() && !has_waited) {
      for (const Host* host : view->second.usable) {
        free += FreeResources(*host).cores;
      }
    }
    ApplyShares(state, pool, free, now, jobs);
  }
  return ranked;
}

void RemoveEndedJobs(State& state) {
  for (const core::JobId& id : std::exchange(state.ended, {})) {
    RemoveIfEnded(state, id);
  }
}

}  // namespace internal

void Plan(State& state, core::MonotonicTime now, core::WallTime wall) {
  if (now >= state.next_check) {
    state.next_check = now + internal::kCheckInterval;
    CheckHosts(state, now);
    CheckRuns(state, now);
  }
  PoolViews views = internal::MakeViews(state, now);
  const auto waiting_before = std::exchange(state.waiting, {});
  state.shares.clear();
  MeasureOpenCopies(state, now);
  for (auto& [pool, jobs] :
       internal::RankJobs(state, views, waiting_before, now)) {
    PoolView& view = views[pool];
    Candidates candidates{view.usable, {}};
    UpdateMaxFree(candidates);
    std::vector<const Job*> waiting;  // Within their shares.
    for (const auto& [rank, job] : jobs) {
      if (rank.beyond_share) {
        HoldHosts(state, std::exchange(waiting, {}), candidates, wall);
      }
      const Unplaced unplaced = PlaceJob(state, *job, candidates, now, wall);
      if (!rank.beyond_share && unplaced.cores.value > 0 &&
          now >= job->submitted + internal::kHoldDelay) {
        waiting.push_back(job);
      }
      view.unplaced += unplaced.cores;
      view.hosts_to_spread =
          std::max(view.hosts_to_spread, unplaced.hosts_to_spread);
      if (rank.urgency >= Urgency::kLate) {
        view.unplaced_late += unplaced.cores;
      }
    }
    state.waiting[pool] = view.unplaced;
    if (view.unplaced.value > 0) {
      state.last_pending[pool] = now;
      continue;
    }
    for (const auto& [rank, job] : jobs) {
      PlaceCopies(state, *job, view.usable, now);
    }
  }
  EvacuateLeaving(state, views, now);
  PlanUpkeep(state, views, now);
  PlanMoves(state, views, now);
  internal::RemoveEndedJobs(state);
}

}  // namespace camphormux::scheduler
