#include "camphormux/placement/placing.hpp"

#include <algorithm>
#include <optional>
#include <queue>
#include <tuple>
#include <utility>

#include "camphormux/placement/leases.hpp"
#include "camphormux/placement/preemption.hpp"
#include "camphormux/placement/queue.hpp"
#include "camphormux/placement/quotas.hpp"
#include "camphormux/placement/sizes.hpp"
#include "camphormux/placement/tables.hpp"
#include "camphormux/placement/workers.hpp"

namespace camphormux::placement::internal {
namespace {

enum class PlacementResult { kStarted, kAwaitingPreemption, kFailed };

/// Starts and reclaims left in a step; limits the duration of the step.
struct StepBudget {
  std::size_t starts = 0;
  std::size_t reclaims = 0;
};

/// Ranks candidate workers; the lowest score wins. Prefers workers on which the
/// job has not failed, racks with few tasks of the same kind, workers without
/// accelerators if the job needs none, and the worker with the fewest cores
/// left after the start.
struct Score {
  bool failed_here = false;
  std::uint32_t in_rack = 0;
  bool wastes_accelerators = false;
  std::int64_t cores_left = 0;

  friend auto operator<=>(const Score&, const Score&) = default;
};

Score ScoreOf(const State& state, JobIndex job, WorkerIndex index,
              const Resources& need) {
  const Worker& worker = state.workers[index];
  const Kind& kind = state.kinds[ClassOf(state, job).key.kind];
  const auto& failed_on = state.jobs[job].failed_on;
  const auto in_rack = kind.per_rack.find(worker.rack);
  Score score;
  score.failed_here =
      std::find(failed_on.begin(), failed_on.end(), index) != failed_on.end();
  score.in_rack = in_rack == kind.per_rack.end() ? 0 : in_rack->second;
  score.wastes_accelerators =
      need.accelerators.value == 0 && worker.shape.accelerators.value > 0;
  score.cores_left = (FreeResources(worker) - need).cores.value;
  return score;
}

/// Chooses the best of the next few workers with enough free resources.
WorkerIndex ChooseWorker(State& state, JobIndex job, const Resources& need) {
  Pool& pool = state.pools[ClassOf(state, job).key.pool];
  const std::size_t start = pool.cursor;
  WorkerIndex best = kNone;
  Score best_score;
  std::size_t seen = 0;
  for (const std::size_t first : {start, std::size_t{0}}) {
    std::size_t from = first;
    while (seen < state.settings.max_candidates) {
      const auto slot =
          NextFit(pool.headroom_tree, need, &Headroom::free, from);
      if (!slot || (first == 0 && start > 0 && *slot >= start)) break;
      from = *slot + 1;
      ++seen;
      const WorkerIndex worker = pool.slots[*slot];
      const Score score = ScoreOf(state, job, worker, need);
      if (best == kNone || score < best_score) {
        best = worker;
        best_score = score;
        pool.cursor = static_cast<std::uint32_t>(from % pool.slots.size());
      }
    }
    if (start == 0) break;
  }
  return best;
}

/// Tries to start the first queued job of a class, by preemption if necessary.
PlacementResult PlaceFirst(State& state, ClassIndex index,
                           core::MonotonicTime now, StepBudget& budget,
                           Effects& effects) {
  const JobClass& job_class = state.classes[index];
  const JobIndex job = job_class.first;
  const Resources need = ReservedSize(state, job_class);
  const QuotaResult quota_result = EvaluateQuota(state, job_class, need);
  if (quota_result == QuotaResult::kRefused ||
      !NonPreemptibleWorkFits(state, job_class, need)) {
    return PlacementResult::kFailed;
  }
  const WorkerIndex worker = ChooseWorker(state, job, need);
  if (worker != kNone) {
    Dequeue(state, job);
    CreateTask(state, job, worker, need, now, effects);
    return PlacementResult::kStarted;
  }
  const bool is_urgent = job_class.key.priority == Priority::kUrgent;
  if (!is_urgent &&
      (quota_result == QuotaResult::kBorrowed ||
       now - state.jobs[job].waiting_since < state.settings.reclaim_after ||
       now < state.pools[job_class.key.pool].next_reclaim ||
       budget.reclaims == 0)) {
    return PlacementResult::kFailed;
  }
  if (!is_urgent) --budget.reclaims;
  Dequeue(state, job);
  const PreemptionRequest preemption_request{
      need, is_urgent ? std::nullopt
                      : std::optional(DominantShareWith(
                            state.teams[job_class.team], need))};
  if (StartPreemption(state, job, preemption_request, now, effects)) {
    if (!is_urgent) {
      Pool& pool = state.pools[ClassOf(state, job).key.pool];
      pool.next_reclaim = now + state.settings.reclaim_interval_per_worker /
                                    std::max(1U, pool.workers);
    }
    return PlacementResult::kAwaitingPreemption;
  }
  Enqueue(state, job, QueueEnd::kFront);
  return PlacementResult::kFailed;
}

/// Order of classes: the team with the smallest dominant share first, then the
/// class whose first job was submitted first.
using ClassRank = std::tuple<double, core::MonotonicTime, ClassIndex>;

ClassRank RankOfClass(const State& state, ClassIndex index, bool is_urgent) {
  const JobClass& job_class = state.classes[index];
  const double share =
      is_urgent ? 0.0 : DominantShare(state.teams[job_class.team]);
  return {share, state.jobs[job_class.first].submitted, index};
}

/// Places jobs of each class until its first queued job cannot be placed.
void PlaceClasses(State& state, const std::vector<ClassIndex>& classes,
                  bool is_urgent, core::MonotonicTime now, StepBudget& budget,
                  Effects& effects) {
  std::priority_queue<ClassRank, std::vector<ClassRank>, std::greater<>>
      ranked_classes;
  for (const ClassIndex index : classes) {
    ranked_classes.push(RankOfClass(state, index, is_urgent));
  }
  while (!ranked_classes.empty() && budget.starts > 0) {
    const ClassIndex index = std::get<ClassIndex>(ranked_classes.top());
    ranked_classes.pop();
    if (PlaceFirst(state, index, now, budget, effects) ==
        PlacementResult::kFailed)
      continue;
    --budget.starts;
    if (state.classes[index].queued > 0) {
      ranked_classes.push(RankOfClass(state, index, is_urgent));
    }
  }
}

void PlacePool(State& state, PoolIndex index, core::MonotonicTime now,
               StepBudget& budget, Effects& effects) {
  const std::vector<ClassIndex> urgent = state.pools[index].urgent;
  PlaceClasses(state, urgent, true, now, budget, effects);
  const std::vector<ClassIndex> normal = state.pools[index].normal;
  PlaceClasses(state, normal, false, now, budget, effects);
  // If the start budget ran out, the pool is checked again in the next step.
  state.pools[index].dirty = budget.starts == 0;
}

/// Marks the pools in which jobs of teams with freed quota are queued.
void MarkPoolsOfFreedTeams(State& state) {
  for (Team& team : state.teams) {
    if (!team.has_freed_quota) continue;
    team.has_freed_quota = false;
    for (const ClassIndex index : team.classes) {
      const JobClass& job_class = state.classes[index];
      if (job_class.position != kNone) MarkDirty(state, job_class.key.pool);
    }
  }
}

}  // namespace

void PlaceUrgent(State& state, PoolIndex pool, core::MonotonicTime now,
                 Effects& effects) {
  StepBudget budget{state.settings.max_starts_per_step, 0};
  const std::vector<ClassIndex> urgent = state.pools[pool].urgent;
  PlaceClasses(state, urgent, true, now, budget, effects);
}

void PlaceAll(State& state, core::MonotonicTime now, Effects& effects) {
  StepBudget budget{state.settings.max_starts_per_step,
                    state.settings.max_reclaims_per_step};
  MarkPoolsOfFreedTeams(state);
  const std::size_t pools = state.pools.size();
  for (std::size_t i = 0; i < pools; ++i) {
    // Each step begins with another pool, so that the step budget does not
    // always run out before the same pools.
    const auto index = static_cast<PoolIndex>((i + state.steps) % pools);
    const Pool& pool = state.pools[index];
    const bool is_swept = index % state.settings.steps_per_sweep ==
                          state.steps % state.settings.steps_per_sweep;
    if (pool.urgent.empty() && pool.normal.empty()) continue;
    if (pool.dirty || is_swept || !pool.urgent.empty()) {
      PlacePool(state, index, now, budget, effects);
    }
  }
}

}  // namespace camphormux::placement::internal
