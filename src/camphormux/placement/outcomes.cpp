#include "camphormux/placement/outcomes.hpp"

#include <algorithm>

#include "camphormux/placement/health.hpp"
#include "camphormux/placement/leases.hpp"
#include "camphormux/placement/preemption.hpp"
#include "camphormux/placement/queue.hpp"
#include "camphormux/placement/sizes.hpp"
#include "camphormux/placement/tables.hpp"
#include "camphormux/placement/workers.hpp"

namespace camphormux::placement::internal {
namespace {

bool HasEnded(JobPhase phase) {
  return phase == JobPhase::kFinished || phase == JobPhase::kCancelled ||
         phase == JobPhase::kGivenUp || phase == JobPhase::kNotTwice;
}

void FinishJob(State& state, JobIndex index, core::MonotonicTime now,
               Effects& effects) {
  Job& job = state.jobs[index];
  if (job.phase == JobPhase::kQueued || job.phase == JobPhase::kImpossible) {
    Dequeue(state, index);
  }
  if (job.phase == JobPhase::kAwaitingPreemption)
    CancelReservation(state, index);
  // A repeatable job may have another run, which was started when this one was
  // abandoned.
  if (job.task != kNone && job.phase == JobPhase::kActive) {
    BeginStop(state, job.task, now, effects);
  }
  job.phase = JobPhase::kFinished;
  RecordEndedJob(state, index);
}

/// Ends a non-repeatable job whose run ended without finishing.
void EndNonRepeatableJob(State& state, JobIndex index, WorkerIndex worker,
                         Effects& effects) {
  state.jobs[index].phase = JobPhase::kNotTwice;
  effects.push_back(NotifyTeam{state.jobs[index].id,
                               MayNotRunTwice{state.workers[worker].id}});
  RecordEndedJob(state, index);
}

void RetryWithMoreMemory(State& state, JobIndex index, core::MonotonicTime now,
                         Effects& effects) {
  Job& job = state.jobs[index];
  ++job.out_of_memory;
  if (job.out_of_memory > state.settings.max_out_of_memory) {
    job.failures = static_cast<std::uint16_t>(2 * state.settings.give_up_after);
    RetryOrHoldBack(state, index, now, effects);
    return;
  }
  ClassKey key = ClassOf(state, index).key;
  ++key.memory_doublings;
  ChangeClass(state, index, InternClass(state, key));
  RecheckClass(state, job.job_class, effects);
  Enqueue(state, index, QueueEnd::kFront);
}

/// Decides what to do with a job whose current run did not finish.
void HandleUnfinishedRun(State& state, JobIndex index, WorkerIndex worker,
                         TaskOutcome outcome, bool may_run_again,
                         core::MonotonicTime now, Effects& effects) {
  const bool is_fault =
      outcome == TaskOutcome::kFailed || outcome == TaskOutcome::kNeverBegan;
  if (is_fault) RecordFailure(state, index, worker, now);
  if (!may_run_again) {
    EndNonRepeatableJob(state, index, worker, effects);
  } else if (is_fault) {
    RetryOrHoldBack(state, index, now, effects);
  } else if (outcome == TaskOutcome::kOutOfMemory) {
    RetryWithMoreMemory(state, index, now, effects);
  } else {
    Enqueue(state, index, QueueEnd::kFront);
  }
}

}  // namespace

void CancelJob(State& state, const core::JobId& id, core::MonotonicTime now,
               Effects& effects) {
  const auto found = state.jobs_by_id.find(id);
  if (found == state.jobs_by_id.end()) return;
  const JobIndex index = found->second;
  Job& job = state.jobs[index];
  if (HasEnded(job.phase)) return;
  if (job.phase == JobPhase::kQueued || job.phase == JobPhase::kImpossible) {
    Dequeue(state, index);
  } else if (job.phase == JobPhase::kAwaitingPreemption) {
    const WorkerIndex worker = job.reserved_worker;
    CancelReservation(state, index);
    UseFreedResources(state, worker, now, effects);
  } else if (job.phase == JobPhase::kActive) {
    BeginStop(state, job.task, now, effects);
  }
  job.phase = JobPhase::kCancelled;
  RecordEndedJob(state, index);
}

void EndTask(State& state, TaskIndex index, TaskOutcome outcome,
             core::MonotonicTime now, Effects& effects) {
  const Task task = state.tasks[index];
  const JobIndex job = task.job;
  const bool is_current = state.jobs[job].task == index;
  if (outcome == TaskOutcome::kFinished) RecordFinishedUsage(state, task);
  RemoveTask(state, index);
  const JobPhase phase = state.jobs[job].phase;
  if (HasEnded(phase)) {
    // The job ended before; only the resources of its task are freed now.
  } else if (outcome == TaskOutcome::kFinished) {
    RecordSuccess(state, job, task.worker, now);
    FinishJob(state, job, now, effects);
  } else if (is_current) {
    const bool may_run_again = ClassOf(state, job).key.repeatable ||
                               task.checkpointed ||
                               outcome == TaskOutcome::kNeverBegan;
    const bool yielded =
        task.yield != YieldStep::kNone && outcome == TaskOutcome::kNeverBegan;
    HandleUnfinishedRun(state, job, task.worker,
                        yielded ? TaskOutcome::kStopped : outcome,
                        may_run_again, now, effects);
  }
  UseFreedResources(state, task.worker, now, effects);
}

void EndAbandoned(State& state, TaskIndex index, core::MonotonicTime now,
                  Effects& effects) {
  EndTask(state, index, TaskOutcome::kStopped, now, effects);
}

void HandleUsageReport(State& state, const UsageReported& report,
                       core::MonotonicTime now, Effects& effects) {
  const WorkerIndex index = FindWorker(state, report.worker);
  if (index == kNone) return;
  const core::MonotonicTime made = now - report.age;
  for (const TaskUsage& usage : report.tasks) {
    const TaskIndex number = FindTask(state, usage.task);
    const bool is_known =
        number != kNone && state.tasks[number].worker == index;
    if (!is_known || state.tasks[number].abandoned) {
      // An abandoned run that continued after its lease; its worker must stop
      // it.
      ++state.counters.stale_events;
      effects.push_back(StopTask{report.worker, usage.task});
      if (is_known) {
        state.tasks[number].last_reported = made;
        ObserveUsage(state, state.tasks[number], usage.cores, usage.memory);
      }
      continue;
    }
    state.tasks[number].confirmed = true;
    state.tasks[number].last_reported = made;
    ExtendLease(state, number, made);
    ObserveUsage(state, state.tasks[number], usage.cores, usage.memory);
  }
  state.workers[index].reported = std::max(state.workers[index].reported, made);
  // A report that was made after the end of an abandoned task's lease and does
  // not list the task shows that it no longer runs.
  const std::vector<TaskIndex> tasks = state.workers[index].tasks;
  for (const TaskIndex number : tasks) {
    const Task& task = state.tasks[number];
    if (task.abandoned && made > task.lease_end && task.last_reported < made) {
      EndAbandoned(state, number, now, effects);
    }
  }
  RefreshHeadroom(state, index);
}

}  // namespace camphormux::placement::internal
