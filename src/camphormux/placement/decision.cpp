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

/// Number of classes of a kind above which declared sizes are rounded.
constexpr std::uint32_t kMaxExactClasses = 32;

/// Handles one event; one overload for each event type.
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
    if (state.jobs_by_id.contains(spec.id)) return;  // Already submitted.
    const JobIndex number = CreateJob(spec);
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
    const JobIndex number = is_new ? CreateJob(event.job) : known->second;
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
    RecheckTeam(state, team, effects);
  }

  void operator()(const UsageReported& event) {
    HandleUsageReport(state, event, now, effects);
  }

  void operator()(const TaskStarted& event) {
    const TaskIndex task = FindCurrentTask(event.task);
    if (task != kNone) state.tasks[task].confirmed = true;
  }

  void operator()(const TaskThrottled& event) {
    const TaskIndex task = FindCurrentTask(event.task);
    if (task != kNone) OnThrottled(state, task, now, effects);
  }

  void operator()(const TaskCheckpointed& event) {
    const TaskIndex task = FindCurrentTask(event.task);
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
    const TaskIndex task = FindCurrentTask(event.task);
    if (task != kNone) ExtendLease(state, task, event.sent);
  }

  void operator()(const LeaseExpired& event) {
    const TaskIndex task = FindCurrentTask(event.task);
    if (task != kNone) AbandonTask(state, task);
  }

  void operator()(const WorkerAdded& event) {
    const WorkerIndex worker = AddOrUpdateWorker(state, event.worker);
    RecheckPool(state, state.workers[worker].pool, effects);
  }

  void operator()(const WorkerLost& event) {
    const WorkerIndex index = FindWorker(state, event.worker);
    if (index == kNone) return;
    state.workers[index].lost = true;
    PreemptWorker(index);
    const std::vector<TaskIndex> tasks = state.workers[index].tasks;
    for (const TaskIndex task : tasks) AbandonTask(state, task);
    RefreshHeadroom(state, index);
  }

  void operator()(const WorkerDrained& event) {
    const WorkerIndex index = FindWorker(state, event.worker);
    if (index == kNone) return;
    state.workers[index].draining = true;
    PreemptWorker(index);
    RefreshHeadroom(state, index);
  }

  void operator()(const WorkerRemoved& event) {
    const WorkerIndex index = FindWorker(state, event.worker);
    if (index == kNone) return;
    state.workers[index].lost = true;
    PreemptWorker(index);
    EndAllTasks(index);
    const PoolIndex pool = state.workers[index].pool;
    ForgetWorker(state, index);
    if (pool != kNone) RecheckPool(state, pool, effects);
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
    RefreshHeadroom(state, index);
    if (worker.pool != kNone) MarkDirty(state, worker.pool);
  }

  void operator()(const PoolChanged& event) {
    const WorkerIndex index = FindWorker(state, event.worker);
    if (index == kNone) return;
    const PoolIndex before = state.workers[index].pool;
    const PoolIndex pool = InternPool(state, event.pool);
    if (before == pool) return;
    PreemptWorker(index);
    LeavePool(state, index);
    JoinPool(state, index, pool);
    if (before != kNone) RecheckPool(state, before, effects);
    RecheckPool(state, pool, effects);
  }

  void operator()(const ProbeFinished& event) {
    const WorkerIndex worker = FindWorker(state, event.worker);
    if (worker != kNone) RecordProbe(state, worker, event.succeeded);
  }

  /// Ends all tasks of a worker when it is known that none of them still
  /// runs.
  void EndAllTasks(WorkerIndex index) {
    const std::vector<TaskIndex> tasks = state.workers[index].tasks;
    for (const TaskIndex task : tasks) {
      AbandonTask(state, task);
      EndAbandoned(state, task, now, effects);
    }
  }

  /// Adds a job without putting it into a queue.
  [[nodiscard]] JobIndex CreateJob(const JobSpec& spec) {
    ClassKey key = ClassKeyOf(spec);
    ClassIndex index = InternClass(state, key);
    if (WhyImpossible(state, state.classes[index])) {
      // Rounding up may have made it larger than the largest worker, so the
      // exact size is tried.
      key.declared = spec.declared;
      index = ReplaceClass(index, key);
      const std::uint32_t impossible = state.kinds[key.kind].impossible_classes;
      if (WhyImpossible(state, state.classes[index]) &&
          impossible >= kMaxExactClasses) {
        key.declared = RoundUp(spec.declared);
        index = ReplaceClass(index, key);
      }
    }
    RecheckClass(state, index, effects);
    Job job;
    job.id = spec.id;
    job.submitted = now;
    job.waiting_since = now;
    const JobIndex number = AddJob(state, std::move(job));
    ChangeClass(state, number, index);
    return number;
  }

  [[nodiscard]] ClassIndex ReplaceClass(ClassIndex old, const ClassKey& key) {
    const ClassIndex index = InternClass(state, key);
    if (index != old) ForgetUnusedClass(state, old);
    return index;
  }

  /// Cancels a worker's reservations and begins to preempt its preemptible
  /// tasks.
  void PreemptWorker(WorkerIndex index) {
    const std::vector<JobIndex> reservations =
        state.workers[index].reservations;
    for (const JobIndex job : reservations) {
      CancelReservation(state, job);
      Enqueue(state, job, QueueEnd::kFront);
    }
    const std::vector<TaskIndex> tasks = state.workers[index].tasks;
    for (const TaskIndex task : tasks) {
      const bool may_yield =
          !state.tasks[task].non_preemptible && !state.tasks[task].abandoned;
      if (may_yield && !state.workers[index].lost) {
        BeginYield(state, task, now, effects);
      }
    }
  }

  [[nodiscard]] ClassKey ClassKeyOf(const JobSpec& spec) {
    ClassKey key;
    key.pool = InternPool(state, spec.pool);
    key.kind = InternKind(state, InternTeam(state, spec.team), spec.kind);
    key.priority = spec.priority;
    key.preemptible = spec.preemptible;
    key.repeatable = spec.repeatable;
    // Exact sizes pack best. Rounding limits the number of classes of a kind
    // whose jobs all differ in size. Impossible classes are counted separately;
    // otherwise they would cause the sizes of other jobs to be rounded.
    const bool has_many_sizes =
        state.kinds[key.kind].classes >= kMaxExactClasses;
    key.declared = has_many_sizes ? RoundUp(spec.declared) : spec.declared;
    return key;
  }

  /// Finds a task that is known and not abandoned; otherwise counts the event
  /// as stale and returns kNone.
  [[nodiscard]] TaskIndex FindCurrentTask(const TaskRef& ref) {
    const TaskIndex task = FindTask(state, ref);
    if (task != kNone && !state.tasks[task].abandoned) return task;
    ++state.counters.stale_events;
    return kNone;
  }
};

void HandleDueTimers(State& state, core::MonotonicTime now, Effects& effects) {
  while (const std::optional<Timer> timer = TakeDueTimer(state, now)) {
    switch (timer->kind) {
      case TimerKind::kYieldStep:
        OnYieldStepDeadline(state, *timer, now, effects);
        break;
      case TimerKind::kReservation:
        if (OnReservationDeadline(state, *timer, now)) {
          PlaceUrgent(state, ClassOf(state, timer->number).key.pool, now,
                      effects);
        }
        break;
      case TimerKind::kBackOffEnd:
        ReleaseHeldBack(state, *timer);
        break;
      case TimerKind::kLease:
        CheckLease(state, *timer);
        break;
      case TimerKind::kProbe:
        RequestProbe(state, *timer, now, effects);
        break;
    }
  }
}

}  // namespace
}  // namespace internal

Effects Apply(State& state, const Event& event, core::MonotonicTime now) {
  Effects effects;
  internal::HandleDueTimers(state, now, effects);
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
