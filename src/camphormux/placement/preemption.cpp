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

/// A worker whose stops were late gets no promise for this time.
constexpr core::Millis kAvoidLateWorker{10000};
/// Pause before a stop is ordered again.
constexpr core::Millis kStopAgain{2000};
/// Loss that each preempted task counts for in addition to its run time.
constexpr double kLossPerTask = 10000.0;

/// What has to yield on one worker so that a job fits.
struct Plan {
  WorkerIndex worker = kNone;
  std::vector<TaskIndex> victims;
  bool throttle_is_enough = false;
  double loss = 0.0;
};

core::MilliCores ThrottledCores(const State& state, const Task& task) {
  return {static_cast<std::int64_t>(
      std::ceil(static_cast<double>(task.reserved.cores.value) *
                state.settings.throttled_share))};
}

Resources CededByThrottle(const State& state, const Task& task) {
  return {task.committed.cores - ThrottledCores(state, task), {}, {}};
}

/// Room on a worker once all tasks that yield now have done so.
Resources ExpectedRoom(const State& state, const Worker& worker) {
  Resources room = FreeRoom(worker);
  for (const TaskIndex index : worker.tasks) {
    const Task& task = state.tasks[index];
    if (task.firm || task.abandoned || task.yield == YieldStep::kNone) continue;
    if (task.throttle_is_enough) {
      if (task.yield == YieldStep::kThrottling) {
        room += CededByThrottle(state, task);
      }
    } else {
      room += task.committed;
    }
  }
  return room;
}

bool MayYield(const State& state, const Task& task, const Claim& claim) {
  if (task.firm || task.abandoned) return false;
  const bool yields_wholly =
      task.yield != YieldStep::kNone && !task.throttle_is_enough;
  if (yields_wholly) return false;
  if (!claim.share) return true;
  const Team& team = state.teams[ClassOf(state, task.job).team];
  return IsOverQuota(team) &&
         ShareWith(team, Resources{} - task.reserved) >= *claim.share;
}

double LossOf(const State& state, TaskIndex task, core::MonotonicTime now) {
  return kLossPerTask +
         static_cast<double>((now - state.tasks[task].started).count());
}

std::vector<TaskIndex> PossibleVictims(const State& state, const Worker& worker,
                                       const Claim& claim,
                                       core::MonotonicTime now) {
  std::vector<TaskIndex> possible;
  for (const TaskIndex index : worker.tasks) {
    if (MayYield(state, state.tasks[index], claim)) possible.push_back(index);
  }
  const auto order = [&](TaskIndex index) {
    const Team& team = state.teams[ClassOf(state, state.tasks[index].job).team];
    return std::make_pair(!IsOverQuota(team), LossOf(state, index, now));
  };
  std::sort(possible.begin(), possible.end(),
            [&](TaskIndex a, TaskIndex b) { return order(a) < order(b); });
  return possible;
}

/// Adds victims until the need fits, then spares those that are not needed.
template <typename Ceded>
bool ChooseVictims(Plan& plan, const std::vector<TaskIndex>& possible,
                   Resources room, const Resources& need, Ceded ceded) {
  plan.victims.clear();
  for (const TaskIndex task : possible) {
    if (Fits(need, room)) break;
    room += ceded(task);
    plan.victims.push_back(task);
  }
  if (!Fits(need, room)) return false;
  for (std::size_t i = plan.victims.size(); i-- > 0;) {
    const Resources without = room - ceded(plan.victims[i]);
    if (!Fits(need, without)) continue;
    room = without;
    plan.victims.erase(plan.victims.begin() + static_cast<std::ptrdiff_t>(i));
  }
  return true;
}

std::optional<Plan> PlanWorker(const State& state, WorkerIndex index,
                               const Claim& claim, core::MonotonicTime now) {
  const Worker& worker = state.workers[index];
  Plan plan;
  plan.worker = index;
  const Resources room = ExpectedRoom(state, worker);
  const auto possible = PossibleVictims(state, worker, claim, now);
  const auto throttle = [&](TaskIndex task) {
    const Task& record = state.tasks[task];
    return record.yield == YieldStep::kNone ? CededByThrottle(state, record)
                                            : Resources{};
  };
  const auto stop = [&](TaskIndex task) { return state.tasks[task].committed; };
  plan.throttle_is_enough =
      ChooseVictims(plan, possible, room, claim.need, throttle);
  if (!plan.throttle_is_enough &&
      !ChooseVictims(plan, possible, room, claim.need, stop)) {
    return std::nullopt;
  }
  // A throttle loses no work, so it is preferred to any stop.
  if (!plan.throttle_is_enough) {
    for (const TaskIndex task : plan.victims) {
      plan.loss += LossOf(state, task, now);
    }
  }
  return plan;
}

std::optional<Plan> BestPlan(const State& state, const Pool& pool,
                             const Claim& claim, core::MonotonicTime now) {
  std::optional<Plan> best;
  std::size_t seen = 0;
  const std::size_t start = pool.cursor;
  for (const std::size_t first : {start, std::size_t{0}}) {
    std::size_t from = first;
    while (seen < state.settings.candidates) {
      const auto slot = NextFit(pool.rooms, claim.need, &Room::yieldable, from);
      if (!slot || (first == 0 && start > 0 && *slot >= start)) break;
      from = *slot + 1;
      const WorkerIndex worker = pool.slots[*slot];
      if (state.workers[worker].avoid_until > now) continue;
      ++seen;
      auto plan = PlanWorker(state, worker, claim, now);
      if (plan && (!best || plan->loss < best->loss)) best = std::move(plan);
    }
    if (start == 0) break;
  }
  return best;
}

void ArmStep(State& state, TaskIndex index, core::MonotonicTime due) {
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
  ArmStep(state, index, now + kThrottleTimeout);
}

void BeginCheckpoint(State& state, TaskIndex index, core::MonotonicTime now,
                     Effects& effects) {
  Task& task = state.tasks[index];
  task.yield = YieldStep::kCheckpointing;
  task.throttle_is_enough = false;
  ++state.counters.preempted;
  effects.push_back(
      CheckpointTask{state.workers[task.worker].id, RefOf(state, task)});
  ArmStep(state, index, now + kCheckpointTimeout);
}

void RestoreThrottled(State& state, WorkerIndex index, Effects& effects) {
  for (const TaskIndex number : state.workers[index].tasks) {
    Task& task = state.tasks[number];
    if (task.yield != YieldStep::kThrottled || task.abandoned) continue;
    const Resources more{task.reserved.cores - task.committed.cores, {}, {}};
    if (!Fits(more, FreeRoom(state.workers[index]))) continue;
    task.committed.cores = task.reserved.cores;
    task.yield = YieldStep::kNone;
    task.throttle_is_enough = false;
    effects.push_back(ThrottleTask{state.workers[index].id, RefOf(state, task),
                                   task.reserved.cores});
    RefreshRoom(state, index);
  }
}

}  // namespace

bool MakeRoom(State& state, JobIndex job, const Claim& claim,
              core::MonotonicTime now, Effects& effects) {
  const Resources& need = claim.need;
  const PoolIndex pool = ClassOf(state, job).key.pool;
  const std::optional<Plan> plan =
      BestPlan(state, state.pools[pool], claim, now);
  if (!plan) return false;
  Worker& worker = state.workers[plan->worker];
  worker.promises.push_back(job);
  worker.promised += need;
  state.jobs[job].promised = plan->worker;
  state.jobs[job].promised_size = need;
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
  RefreshRoom(state, plan->worker);
  const core::MonotonicTime end =
      now + kThrottleTimeout + kCheckpointTimeout + kStopTimeout;
  state.jobs[job].promise_end = end;
  AddTimer(state, {end, TimerKind::kPromise, job, core::Epoch{}});
  // The worker may have room already, when tasks that yielded to other work
  // have just ended.
  SettleWorker(state, plan->worker, now, effects);
  return true;
}

void SettleWorker(State& state, WorkerIndex index, core::MonotonicTime now,
                  Effects& effects) {
  Resources earlier;
  const std::vector<JobIndex> promises = state.workers[index].promises;
  for (const JobIndex job : promises) {
    const Resources need = state.jobs[job].promised_size;
    const Worker& worker = state.workers[index];
    if (!IsUsable(worker) ||
        !Fits(need, worker.shape - worker.committed - earlier)) {
      earlier += need;
      continue;
    }
    WithdrawPromise(state, job);
    OpenTask(state, job, index, need, now, effects);
  }
  if (state.workers[index].promises.empty()) {
    RestoreThrottled(state, index, effects);
  }
}

void WithdrawPromise(State& state, JobIndex index) {
  Job& job = state.jobs[index];
  Worker& worker = state.workers[job.promised];
  std::erase(worker.promises, index);
  worker.promised -= job.promised_size;
  const JobClass& job_class = ClassOf(state, index);
  Release(state, job_class, job_class.key.pool, job.promised_size);
  RefreshRoom(state, job.promised);
  if (worker.pool != kNone) MarkDirty(state, worker.pool);
  job.promised = kNone;
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
  ArmStep(state, index, now + kStopTimeout);
}

void OnThrottled(State& state, TaskIndex index, core::MonotonicTime now,
                 Effects& effects) {
  Task& task = state.tasks[index];
  if (task.yield != YieldStep::kThrottling) return;
  task.committed.cores = ThrottledCores(state, task);
  RefreshRoom(state, task.worker);
  if (task.throttle_is_enough) {
    task.yield = YieldStep::kThrottled;
    SettleWorker(state, task.worker, now, effects);
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

void OnYieldDeadline(State& state, const Timer& timer, core::MonotonicTime now,
                     Effects& effects) {
  Task& task = state.tasks[timer.number];
  if (task.epoch != timer.epoch || task.step_end != timer.due) return;
  if (task.yield == YieldStep::kThrottling) {
    BeginCheckpoint(state, timer.number, now, effects);
  } else if (task.yield == YieldStep::kCheckpointing) {
    BeginStop(state, timer.number, now, effects);
  } else if (task.yield == YieldStep::kStopping) {
    ++state.counters.late_stops;
    state.workers[task.worker].avoid_until = now + kAvoidLateWorker;
    effects.push_back(
        StopTask{state.workers[task.worker].id, RefOf(state, task)});
    ArmStep(state, timer.number, now + kStopAgain);
  }
}

bool OnPromiseDeadline(State& state, const Timer& timer,
                       core::MonotonicTime now) {
  const Job& job = state.jobs[timer.number];
  if (job.phase != JobPhase::kAwaitingPreemption ||
      job.promise_end != timer.due) {
    return false;
  }
  state.workers[job.promised].avoid_until = now + kAvoidLateWorker;
  WithdrawPromise(state, timer.number);
  Enqueue(state, timer.number, QueueEnd::kFront);
  return true;
}

}  // namespace camphormux::placement::internal
