#include "camphormux/placement/preemption.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>
#include <vector>

#include "camphormux/placement/leases.hpp"
#include "camphormux/placement/queue.hpp"
#include "camphormux/placement/quotas.hpp"
#include "camphormux/placement/sizes.hpp"
#include "camphormux/placement/tables.hpp"
#include "camphormux/placement/workers.hpp"

namespace camphormux::placement::internal {
namespace {

/// A worker on which a stop was late gets no reservation for this time.
constexpr core::Millis kLateWorkerAvoidance{10000};
/// Interval at which a stop order is repeated until it is confirmed.
constexpr core::Millis kStopRetryInterval{2000};
/// Cost of each preempted task in milliseconds, in addition to its run time so
/// far.
constexpr double kCostPerPreemptedTask = 10000.0;

/// Tasks to preempt on one worker so that a job fits.
struct PreemptionPlan {
  WorkerIndex worker = kNone;
  std::vector<TaskIndex> victims;
  bool throttle_is_enough = false;
  double preemption_cost = 0.0;
};

core::MilliCores ThrottledCores(const State& state, const Task& task) {
  return {static_cast<std::int64_t>(
      std::ceil(static_cast<double>(task.reserved.cores.value) *
                state.settings.throttled_share))};
}

Resources FreedByThrottle(const State& state, const Task& task) {
  return {task.committed.cores - ThrottledCores(state, task), {}, {}};
}

/// Free resources on a worker after all yield steps in progress are completed.
Resources ExpectedFreeResources(const State& state, const Worker& worker) {
  Resources headroom = FreeResources(worker);
  for (const TaskIndex index : worker.tasks) {
    const Task& task = state.tasks[index];
    if (task.non_preemptible || task.abandoned ||
        task.yield == YieldStep::kNone)
      continue;
    if (task.throttle_is_enough) {
      if (task.yield == YieldStep::kThrottling) {
        headroom += FreedByThrottle(state, task);
      }
    } else {
      headroom += task.committed;
    }
  }
  return headroom;
}

bool CanPreempt(const State& state, const Task& task,
                const PreemptionRequest& preemption_request) {
  if (task.non_preemptible || task.abandoned) return false;
  const bool yields_wholly =
      task.yield != YieldStep::kNone && !task.throttle_is_enough;
  if (yields_wholly) return false;
  if (!preemption_request.claimant_share) return true;
  const Team& team = state.teams[ClassOf(state, task.job).team];
  return IsOverQuota(team) &&
         DominantShareWith(team, Resources{} - task.reserved) >=
             *preemption_request.claimant_share;
}

double PreemptionCost(const State& state, TaskIndex task,
                      core::MonotonicTime now) {
  return kCostPerPreemptedTask +
         static_cast<double>((now - state.tasks[task].started).count());
}

std::vector<TaskIndex> PreemptibleTasks(
    const State& state, const Worker& worker,
    const PreemptionRequest& preemption_request, core::MonotonicTime now) {
  std::vector<TaskIndex> preemptible_tasks;
  for (const TaskIndex index : worker.tasks) {
    if (CanPreempt(state, state.tasks[index], preemption_request))
      preemptible_tasks.push_back(index);
  }
  const auto order = [&](TaskIndex index) {
    const Team& team = state.teams[ClassOf(state, state.tasks[index].job).team];
    return std::make_pair(!IsOverQuota(team),
                          PreemptionCost(state, index, now));
  };
  std::sort(preemptible_tasks.begin(), preemptible_tasks.end(),
            [&](TaskIndex a, TaskIndex b) { return order(a) < order(b); });
  return preemptible_tasks;
}

/// Adds victims until the need fits, then removes victims that are not
/// necessary.
template <typename FreedBy>
bool ChooseVictims(PreemptionPlan& plan,
                   const std::vector<TaskIndex>& preemptible_tasks,
                   Resources headroom, const Resources& need,
                   FreedBy freed_by) {
  plan.victims.clear();
  for (const TaskIndex task : preemptible_tasks) {
    if (Fits(need, headroom)) break;
    headroom += freed_by(task);
    plan.victims.push_back(task);
  }
  if (!Fits(need, headroom)) return false;
  for (std::size_t i = plan.victims.size(); i-- > 0;) {
    const Resources without = headroom - freed_by(plan.victims[i]);
    if (!Fits(need, without)) continue;
    headroom = without;
    plan.victims.erase(plan.victims.begin() + static_cast<std::ptrdiff_t>(i));
  }
  return true;
}

std::optional<PreemptionPlan> PlanPreemption(
    const State& state, WorkerIndex index,
    const PreemptionRequest& preemption_request, core::MonotonicTime now) {
  const Worker& worker = state.workers[index];
  PreemptionPlan plan;
  plan.worker = index;
  const Resources headroom = ExpectedFreeResources(state, worker);
  const auto preemptible_tasks =
      PreemptibleTasks(state, worker, preemption_request, now);
  const auto throttle = [&](TaskIndex task) {
    const Task& record = state.tasks[task];
    return record.yield == YieldStep::kNone ? FreedByThrottle(state, record)
                                            : Resources{};
  };
  const auto stop = [&](TaskIndex task) { return state.tasks[task].committed; };
  plan.throttle_is_enough = ChooseVictims(plan, preemptible_tasks, headroom,
                                          preemption_request.need, throttle);
  if (!plan.throttle_is_enough &&
      !ChooseVictims(plan, preemptible_tasks, headroom, preemption_request.need,
                     stop)) {
    return std::nullopt;
  }
  // Throttling loses no work, so its cost is 0 and it is preferred to any stop.
  if (!plan.throttle_is_enough) {
    for (const TaskIndex task : plan.victims) {
      plan.preemption_cost += PreemptionCost(state, task, now);
    }
  }
  return plan;
}

std::optional<PreemptionPlan> CheapestPlan(
    const State& state, const Pool& pool,
    const PreemptionRequest& preemption_request, core::MonotonicTime now) {
  std::optional<PreemptionPlan> best;
  std::size_t seen = 0;
  const std::size_t start = pool.cursor;
  for (const std::size_t first : {start, std::size_t{0}}) {
    std::size_t from = first;
    while (seen < state.settings.max_candidates) {
      const auto slot = NextFit(pool.headroom_tree, preemption_request.need,
                                &Headroom::with_preemption, from);
      if (!slot || (first == 0 && start > 0 && *slot >= start)) break;
      from = *slot + 1;
      const WorkerIndex worker = pool.slots[*slot];
      if (state.workers[worker].avoid_until > now) continue;
      ++seen;
      auto plan = PlanPreemption(state, worker, preemption_request, now);
      if (plan && (!best || plan->preemption_cost < best->preemption_cost))
        best = std::move(plan);
    }
    if (start == 0) break;
  }
  return best;
}

void ArmStepTimer(State& state, TaskIndex index, core::MonotonicTime due) {
  state.tasks[index].step_end = due;
  AddTimer(state,
           {due, TimerKind::kYieldStep, index, state.tasks[index].epoch});
}

void BeginThrottle(State& state, TaskIndex index, core::MonotonicTime now,
                   Effects& effects) {
  Task& task = state.tasks[index];
  task.yield = YieldStep::kThrottling;
  ++state.counters.throttled;
  effects.push_back(ThrottleTask{state.workers[task.worker].id,
                                 RefOf(state, task),
                                 ThrottledCores(state, task)});
  ArmStepTimer(state, index, now + kThrottleTimeout);
}

void BeginCheckpoint(State& state, TaskIndex index, core::MonotonicTime now,
                     Effects& effects) {
  Task& task = state.tasks[index];
  task.yield = YieldStep::kCheckpointing;
  task.throttle_is_enough = false;
  ++state.counters.preempted;
  effects.push_back(
      CheckpointTask{state.workers[task.worker].id, RefOf(state, task)});
  ArmStepTimer(state, index, now + kCheckpointTimeout);
}

void RestoreThrottled(State& state, WorkerIndex index, Effects& effects) {
  for (const TaskIndex number : state.workers[index].tasks) {
    Task& task = state.tasks[number];
    if (task.yield != YieldStep::kThrottled || task.abandoned) continue;
    const Resources more{task.reserved.cores - task.committed.cores, {}, {}};
    if (!Fits(more, FreeResources(state.workers[index]))) continue;
    task.committed.cores = task.reserved.cores;
    task.yield = YieldStep::kNone;
    task.throttle_is_enough = false;
    effects.push_back(ThrottleTask{state.workers[index].id, RefOf(state, task),
                                   task.reserved.cores});
    RefreshHeadroom(state, index);
  }
}

}  // namespace

bool StartPreemption(State& state, JobIndex job,
                     const PreemptionRequest& preemption_request,
                     core::MonotonicTime now, Effects& effects) {
  const Resources& need = preemption_request.need;
  const PoolIndex pool = ClassOf(state, job).key.pool;
  const std::optional<PreemptionPlan> plan =
      CheapestPlan(state, state.pools[pool], preemption_request, now);
  if (!plan) return false;
  Worker& worker = state.workers[plan->worker];
  worker.reservations.push_back(job);
  worker.reserved_total += need;
  state.jobs[job].reserved_worker = plan->worker;
  state.jobs[job].reserved_size = need;
  Charge(state, ClassOf(state, job), pool, need);
  state.jobs[job].phase = JobPhase::kAwaitingPreemption;
  for (const TaskIndex task : plan->victims) {
    if (plan->throttle_is_enough) {
      state.tasks[task].throttle_is_enough = true;
      BeginThrottle(state, task, now, effects);
    } else {
      BeginYield(state, task, now, effects);
    }
  }
  RefreshHeadroom(state, plan->worker);
  const core::MonotonicTime end =
      now + kThrottleTimeout + kCheckpointTimeout + kStopTimeout;
  state.jobs[job].reservation_end = end;
  AddTimer(state, {end, TimerKind::kReservation, job, core::Epoch{}});
  // The resources may be free already if tasks that yielded to other jobs have
  // just ended.
  UseFreedResources(state, plan->worker, now, effects);
  return true;
}

void UseFreedResources(State& state, WorkerIndex index, core::MonotonicTime now,
                       Effects& effects) {
  Resources earlier;
  const std::vector<JobIndex> reservations = state.workers[index].reservations;
  for (const JobIndex job : reservations) {
    const Resources need = state.jobs[job].reserved_size;
    const Worker& worker = state.workers[index];
    if (!IsUsable(worker) ||
        !Fits(need, worker.shape - worker.committed - earlier)) {
      earlier += need;
      continue;
    }
    CancelReservation(state, job);
    CreateTask(state, job, index, need, now, effects);
  }
  if (state.workers[index].reservations.empty()) {
    RestoreThrottled(state, index, effects);
  }
}

void CancelReservation(State& state, JobIndex index) {
  Job& job = state.jobs[index];
  Worker& worker = state.workers[job.reserved_worker];
  std::erase(worker.reservations, index);
  worker.reserved_total -= job.reserved_size;
  const JobClass& job_class = ClassOf(state, index);
  Release(state, job_class, job_class.key.pool, job.reserved_size);
  RefreshHeadroom(state, job.reserved_worker);
  if (worker.pool != kNone) MarkDirty(state, worker.pool);
  job.reserved_worker = kNone;
}

void BeginYield(State& state, TaskIndex index, core::MonotonicTime now,
                Effects& effects) {
  Task& task = state.tasks[index];
  task.throttle_is_enough = false;
  if (task.yield == YieldStep::kNone) {
    BeginThrottle(state, index, now, effects);
  } else if (task.yield == YieldStep::kThrottled) {
    BeginCheckpoint(state, index, now, effects);
  }
}

void BeginStop(State& state, TaskIndex index, core::MonotonicTime now,
               Effects& effects) {
  Task& task = state.tasks[index];
  task.yield = YieldStep::kStopping;
  task.throttle_is_enough = false;
  effects.push_back(
      StopTask{state.workers[task.worker].id, RefOf(state, task)});
  ArmStepTimer(state, index, now + kStopTimeout);
}

void OnThrottled(State& state, TaskIndex index, core::MonotonicTime now,
                 Effects& effects) {
  Task& task = state.tasks[index];
  if (task.yield != YieldStep::kThrottling) return;
  task.committed.cores = ThrottledCores(state, task);
  RefreshHeadroom(state, task.worker);
  if (task.throttle_is_enough) {
    task.yield = YieldStep::kThrottled;
    UseFreedResources(state, task.worker, now, effects);
  } else {
    BeginCheckpoint(state, index, now, effects);
  }
}

void OnCheckpointed(State& state, TaskIndex index, core::MonotonicTime now,
                    Effects& effects) {
  Task& task = state.tasks[index];
  task.checkpointed = true;
  if (task.yield == YieldStep::kCheckpointing) {
    BeginStop(state, index, now, effects);
  }
}

void OnYieldStepDeadline(State& state, const Timer& timer,
                         core::MonotonicTime now, Effects& effects) {
  Task& task = state.tasks[timer.number];
  if (task.epoch != timer.epoch || task.step_end != timer.due) return;
  if (task.yield == YieldStep::kThrottling) {
    BeginCheckpoint(state, timer.number, now, effects);
  } else if (task.yield == YieldStep::kCheckpointing) {
    BeginStop(state, timer.number, now, effects);
  } else if (task.yield == YieldStep::kStopping) {
    ++state.counters.late_stops;
    state.workers[task.worker].avoid_until = now + kLateWorkerAvoidance;
    effects.push_back(
        StopTask{state.workers[task.worker].id, RefOf(state, task)});
    ArmStepTimer(state, timer.number, now + kStopRetryInterval);
  }
}

bool OnReservationDeadline(State& state, const Timer& timer,
                           core::MonotonicTime now) {
  const Job& job = state.jobs[timer.number];
  if (job.phase != JobPhase::kAwaitingPreemption ||
      job.reservation_end != timer.due) {
    return false;
  }
  state.workers[job.reserved_worker].avoid_until = now + kLateWorkerAvoidance;
  CancelReservation(state, timer.number);
  Enqueue(state, timer.number, QueueEnd::kFront);
  return true;
}

}  // namespace camphormux::placement::internal
