#include "camphormux/placement/decision.hpp"

#include <algorithm>
#include <utility>

#include "camphormux/placement/health.hpp"
#include "camphormux/placement/leases.hpp"
#include "camphormux/placement/outcomes.hpp"
#include "camphormux/placement/placing.hpp"
#include "camphormux/placement/preemption.hpp"
#include "camphormux/placement/queue.hpp"
#include "camphormux/placement/quotas.hpp"
#include "camphormux/placement/tables.hpp"
#include "camphormux/placement/workers.hpp"

namespace camphormux::placement {
namespace internal {
namespace {

/// Classes of a kind before sizes are rounded.
constexpr std::uint32_t kMostExactClasses = 32;

/// Handles one event; one overload for each type.
struct Handler {
  State& state;
  core::MonotonicTime now;
  Effects& effects;

  void operator()(const Tick&) {
    ++state.steps;
    PlaceAll(state, now, effects);
  }

  void operator()(const JobSubmitted& event) {
    const JobSpec& spec = event.job;
    if (state.jobs_by_id.contains(spec.id)) return;  // Submitted before.
    const JobIndex number = PutJob(spec);
    Enqueue(state, number, QueueEnd::kBack);
    const JobClass& job_class = ClassOf(state, number);
    if (job_class.impossible) {
      effects.push_back(
          NotifyTeam{spec.id, WhyImpossible(state, job_class).value()});
    } else if (spec.priority == Priority::kUrgent) {
      PlaceUrgent(state, job_class.key.pool, now, effects);
    }
  }

  void operator()(const TaskAdopted& event) {
    const WorkerIndex worker = FindWorker(state, event.worker);
    if (worker == kNone || state.tasks_by_epoch.contains(event.task.epoch))
      return;
    const auto known = state.jobs_by_id.find(event.job.id);
    const bool is_new = known == state.jobs_by_id.end();
    const JobIndex number = is_new ? PutJob(event.job) : known->second;
    if (is_new) state.jobs[number].phase = JobPhase::kActive;
    AdoptTask(state, number, worker, event.task.epoch, event.limits, now,
              effects);
  }

  void operator()(const JobCancelled& event) {
    CancelJob(state, event.job, now, effects);
  }

  void operator()(const QuotaSet& event) {
    const TeamIndex team = InternTeam(state, event.team);
    SetQuota(state, team, event.quota);
    ReviewTeam(state, team, effects);
  }

  void operator()(const UsageReported& event) {
    TakeReport(state, event, now, effects);
  }

  void operator()(const TaskStarted& event) {
    const TaskIndex task = Current(event.task);
    if (task != kNone) state.tasks[task].confirmed = true;
  }

  void operator()(const TaskThrottled& event) {
    const TaskIndex task = Current(event.task);
    if (task != kNone) OnThrottled(state, task, now, effects);
  }

  void operator()(const TaskCheckpointed& event) {
    const TaskIndex task = Current(event.task);
    if (task != kNone) OnCheckpointed(state, task, now, effects);
  }

  void operator()(const TaskEnded& event) {
    const TaskIndex task = FindTask(state, event.task);
    if (task == kNone) {
      ++state.counters.stale_events;
      return;
    }
    EndTask(state, task, event.outcome, now, effects);
  }

  void operator()(const LeaseRenewed& event) {
    const TaskIndex task = Current(event.task);
    if (task != kNone) ExtendLease(state, task, event.sent);
  }

  void operator()(const LeaseLapsed& event) {
    const TaskIndex task = Current(event.task);
    if (task != kNone) AbandonTask(state, task);
  }

  void operator()(const WorkerAdded& event) {
    const WorkerIndex worker = PutWorker(state, event.worker);
    ReviewPool(state, state.workers[worker].pool, effects);
  }

  void operator()(const WorkerLost& event) {
    const WorkerIndex index = FindWorker(state, event.worker);
    if (index == kNone) return;
    state.workers[index].lost = true;
    Vacate(index);
    const std::vector<TaskIndex> tasks = state.workers[index].tasks;
    for (const TaskIndex task : tasks) AbandonTask(state, task);
    RefreshRoom(state, index);
  }

  void operator()(const WorkerDrained& event) {
    const WorkerIndex index = FindWorker(state, event.worker);
    if (index == kNone) return;
    state.workers[index].draining = true;
    Vacate(index);
    RefreshRoom(state, index);
  }

  void operator()(const WorkerRemoved& event) {
    const WorkerIndex index = FindWorker(state, event.worker);
    if (index == kNone) return;
    state.workers[index].lost = true;
    Vacate(index);
    EndAllTasks(index);
    const PoolIndex pool = state.workers[index].pool;
    ForgetWorker(state, index);
    if (pool != kNone) ReviewPool(state, pool, effects);
  }

  void operator()(const WorkerDrainTimedOut& event) {
    const WorkerIndex index = FindWorker(state, event.worker);
    if (index == kNone) return;
    for (const TaskIndex number : state.workers[index].tasks) {
      const Task& task = state.tasks[number];
      const bool may_run_again = ClassOf(state, task.job).key.repeatable;
      if (may_run_again && !task.abandoned &&
          task.yield != YieldStep::kStopping) {
        BeginStop(state, number, now, effects);
      }
    }
  }

  void operator()(const WorkerReturned& event) {
    const WorkerIndex index = FindWorker(state, event.worker);
    if (index == kNone) return;
    Worker& worker = state.workers[index];
    worker.lost = false;
    worker.draining = false;
    if (event.rebooted) EndAllTasks(index);
    for (const TaskIndex task : worker.tasks) {
      if (state.tasks[task].abandoned) {
        effects.push_back(
            StopTask{event.worker, RefOf(state, state.tasks[task])});
      }
    }
    RefreshRoom(state, index);
    if (worker.pool != kNone) MarkDirty(state, worker.pool);
  }

  void operator()(const PoolChanged& event) {
    const WorkerIndex index = FindWorker(state, event.worker);
    if (index == kNone) return;
    const PoolIndex before = state.workers[index].pool;
    const PoolIndex pool = InternPool(state, event.pool);
    if (before == pool) return;
    Vacate(index);
    LeavePool(state, index);
    JoinPool(state, index, pool);
    if (before != kNone) ReviewPool(state, before, effects);
    ReviewPool(state, pool, effects);
  }

  void operator()(const ProbeFinished& event) {
    const WorkerIndex worker = FindWorker(state, event.worker);
    if (worker != kNone) NoteProbe(state, worker, event.succeeded);
  }

  /// Takes the word that none of a worker's tasks runs any more.
  void EndAllTasks(WorkerIndex index) {
    const std::vector<TaskIndex> tasks = state.workers[index].tasks;
    for (const TaskIndex task : tasks) {
      AbandonTask(state, task);
      EndAbandoned(state, task, now, effects);
    }
  }

  /// Adds a job, without a place in a queue.
  [[nodiscard]] JobIndex PutJob(const JobSpec& spec) {
    ClassKey key = KeyOf(spec);
    ClassIndex index = InternClass(state, key);
    if (WhyImpossible(state, state.classes[index])) {
      // Rounding may have made it larger than the largest worker.
      key.declared = spec.declared;
      index = ReplaceClass(index, key);
      const std::uint32_t impossible = state.kinds[key.kind].impossible_classes;
      if (WhyImpossible(state, state.classes[index]) &&
          impossible >= kMostExactClasses) {
        key.declared = RoundUp(spec.declared);
        index = ReplaceClass(index, key);
      }
    }
    ReviewClass(state, index, effects);
    Job job;
    job.id = spec.id;
    job.submitted = now;
    job.waits_since = now;
    const JobIndex number = AddJob(state, std::move(job));
    ChangeClass(state, number, index);
    return number;
  }

  [[nodiscard]] ClassIndex ReplaceClass(ClassIndex old, const ClassKey& key) {
    const ClassIndex index = InternClass(state, key);
    if (index != old) ForgetUnusedClass(state, old);
    return index;
  }

  /// Takes the promises of a worker back and makes its tasks yield.
  void Vacate(WorkerIndex index) {
    const std::vector<JobIndex> promises = state.workers[index].promises;
    for (const JobIndex job : promises) {
      WithdrawPromise(state, job);
      Enqueue(state, job, QueueEnd::kFront);
    }
    const std::vector<TaskIndex> tasks = state.workers[index].tasks;
    for (const TaskIndex task : tasks) {
      const bool may_yield =
          !state.tasks[task].firm && !state.tasks[task].abandoned;
      if (may_yield && !state.workers[index].lost) {
        BeginYield(state, task, now, effects);
      }
    }
  }

  [[nodiscard]] ClassKey KeyOf(const JobSpec& spec) {
    ClassKey key;
    key.pool = InternPool(state, spec.pool);
    key.kind = InternKind(state, InternTeam(state, spec.team), spec.kind);
    key.priority = spec.priority;
    key.preemptible = spec.preemptible;
    key.repeatable = spec.repeatable;
    // Exact sizes pack best; rounding bounds the classes of a kind of which
    // each job has a size of its own. Impossible jobs are counted apart, or
    // they would change the sizes of others.
    const bool has_many_sizes =
        state.kinds[key.kind].classes >= kMostExactClasses;
    key.declared = has_many_sizes ? RoundUp(spec.declared) : spec.declared;
    return key;
  }

  /// Finds a task that its job still counts on.
  [[nodiscard]] TaskIndex Current(const TaskRef& ref) {
    const TaskIndex task = FindTask(state, ref);
    if (task != kNone && !state.tasks[task].abandoned) return task;
    ++state.counters.stale_events;
    return kNone;
  }
};

void TakeTimers(State& state, core::MonotonicTime now, Effects& effects) {
  while (const std::optional<Timer> timer = TakeDueTimer(state, now)) {
    switch (timer->kind) {
      case TimerKind::kYieldStep:
        OnYieldDeadline(state, *timer, now, effects);
        break;
      case TimerKind::kPromise:
        if (OnPromiseDeadline(state, *timer, now)) {
          PlaceUrgent(state, ClassOf(state, timer->number).key.pool, now,
                      effects);
        }
        break;
      case TimerKind::kRelease:
        ReleaseHeldBack(state, *timer);
        break;
      case TimerKind::kLease:
        CheckLease(state, *timer);
        break;
      case TimerKind::kProbe:
        AskForProbe(state, *timer, now, effects);
        break;
    }
  }
}

}  // namespace
}  // namespace internal

Effects Apply(State& state, const Event& event, core::MonotonicTime now) {
  Effects effects;
  internal::TakeTimers(state, now, effects);
  std::visit(internal::Handler{state, now, effects}, event);
  return effects;
}

std::optional<core::MonotonicTime> NextDeadline(const State& state) {
  if (state.timers.empty()) return std::nullopt;
  return state.timers.front().due;
}

bool HasNoTask(const State& state, const core::HostId& worker) {
  const WorkerIndex index = internal::FindWorker(state, worker);
  return index == kNone || state.workers[index].tasks.empty();
}

}  // namespace camphormux::placement
