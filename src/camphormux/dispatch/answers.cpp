#include <algorithm>

#include "camphormux/dispatch/step.hpp"

namespace camphormux::dispatch::internal {
namespace {

using placement::TaskOutcome;

/// Lease renewals that are sent before a task's lease expires.
constexpr int kRenewalsPerLease = 3;

core::Millis RenewalPeriod(const Context& context) {
  return context.driver.placement.settings.task_lease / kRenewalsPerLease;
}

/// Outcome of a task that ended in a state; none while it has not ended.
std::optional<TaskOutcome> EndOf(RunState state) {
  switch (state) {
    case RunState::kDone:
      return TaskOutcome::kFinished;
    case RunState::kFailed:
      return TaskOutcome::kFailed;
    case RunState::kOutOfMemory:
      return TaskOutcome::kOutOfMemory;
    case RunState::kLeaseExpired:
    case RunState::kAbsent:
      return TaskOutcome::kStopped;
    case RunState::kRunning:
    case RunState::kThrottled:
    case RunState::kCheckpointed:
      break;
  }
  return std::nullopt;
}

/// Outcome of a task whose start was refused. It never began only if this was
/// the first start call: the answer to an earlier call may have been lost.
TaskOutcome OutcomeOfRefusal(const DesiredTask& task) {
  const bool never_began = !task.started && task.starts <= 1;
  return never_began ? TaskOutcome::kNeverBegan : TaskOutcome::kStopped;
}

void HandleStarted(Context& context, std::uint64_t number,
                   const TaskAnswer& answer) {
  DesiredTask& task = context.driver.tasks.at(number);
  const placement::TaskRef ref = task.call.task;
  if (task.call.kind == TaskCallKind::kStart) task.answered = true;
  task.renew_at = answer.sent + RenewalPeriod(context);
  if (!task.started) {
    task.started = true;
    task.began = context.input.now;
    ApplyEvent(context, placement::TaskStarted{ref});
  }
  ApplyEvent(context, placement::LeaseRenewed{ref, answer.sent});
}

void HandleDeleted(Context& context, std::uint64_t number,
                   const TaskAnswer& answer) {
  const RunState state = answer.state.value_or(RunState::kAbsent);
  const DesiredTask task = context.driver.tasks.at(number);
  if (!task.ended) {
    EndTask(context, number, EndOf(state).value_or(TaskOutcome::kStopped));
  }
  context.driver.tasks.erase(number);
}

void HandleDone(Context& context, std::uint64_t number,
                const TaskAnswer& answer) {
  DesiredTask& task = context.driver.tasks.at(number);
  const placement::TaskRef ref = task.call.task;
  const bool wanted = answer.call.kind == task.call.kind;
  switch (answer.call.kind) {
    case TaskCallKind::kStart:
      if (!task.ended) HandleStarted(context, number, answer);
      break;
    case TaskCallKind::kThrottle:
      if (!wanted || answer.call.cores != task.call.cores) break;
      task.answered = true;
      ApplyEvent(context, placement::TaskThrottled{ref});
      break;
    case TaskCallKind::kCheckpoint:
      // A later state of the task confirms that its progress is saved.
      if (wanted) task.answered = true;
      break;
    case TaskCallKind::kDelete:
      HandleDeleted(context, number, answer);
      return;
    case TaskCallKind::kFence:
      return;
  }
  if (answer.state) HandleTaskState(context, number, *answer.state);
}

void HandleRefused(Context& context, std::uint64_t number,
                   const TaskAnswer& answer) {
  const DesiredTask& task = context.driver.tasks.at(number);
  if (answer.call.kind == TaskCallKind::kDelete) {
    HandleDeleted(context, number, answer);
  } else if (!task.ended) {
    EndTask(context, number, OutcomeOfRefusal(task));
  }
}

void HandleAnswer(Context& context, const TaskAnswer& answer) {
  if (answer.outcome == TaskCallOutcome::kStaleEpoch) {
    context.driver.refused_epoch =
        std::max(context.driver.refused_epoch, answer.call.epoch);
    return;
  }
  if (answer.call.epoch != context.driver.epoch) return;
  if (answer.call.kind == TaskCallKind::kFence) {
    if (answer.outcome == TaskCallOutcome::kDone &&
        context.driver.phase == DriverPhase::kFencing) {
      context.driver.phase = DriverPhase::kListing;
      context.driver.since = context.input.now;
      context.driver.fenced = context.input.now;
      context.driver.requested_at.reset();
    }
    return;
  }
  const std::uint64_t number = answer.call.task.epoch.value;
  if (!context.driver.tasks.contains(number)) return;
  if (answer.outcome == TaskCallOutcome::kDone) {
    HandleDone(context, number, answer);
  } else if (answer.outcome == TaskCallOutcome::kRefused) {
    HandleRefused(context, number, answer);
  }
}

/// Ends a probe once its task has ended or has run for `kProbeDuration`.
void HandleProbeState(Context& context, std::uint64_t number, RunState state) {
  DesiredTask& task = context.driver.tasks.at(number);
  const bool ended = EndOf(state).has_value();
  if (!ended && context.input.now - task.began < kProbeDuration) return;
  const bool succeeded = !ended || state == RunState::kDone;
  task.ended = true;
  SetDesiredCall(context, task, TaskCallKind::kDelete);
  ApplyEvent(context,
             placement::ProbeFinished{core::HostId{task.worker}, succeeded});
}

}  // namespace

void EndTask(Context& context, std::uint64_t number, TaskOutcome outcome) {
  DesiredTask& task = context.driver.tasks.at(number);
  const placement::TaskRef ref = task.call.task;
  const core::HostId worker = task.worker;
  task.ended = true;
  task.waits_for_record = true;
  SetDesiredCall(context, task, TaskCallKind::kDelete);
  if (ref.job.value == kProbeJob) {
    task.waits_for_record = false;
    ApplyEvent(context, placement::ProbeFinished{worker, false});
    return;
  }
  ApplyEvent(context, placement::TaskEnded{ref, outcome});
  // If the job continues, the end of this run needs no record.
  const auto record = context.driver.records.find(ref.job);
  const bool job_ended =
      record != context.driver.records.end() &&
      std::holds_alternative<jobs::End>(record->second.record);
  if (!job_ended) context.driver.tasks.at(number).waits_for_record = false;
}

void HandleTaskState(Context& context, std::uint64_t number, RunState state) {
  const auto found = context.driver.tasks.find(number);
  if (found == context.driver.tasks.end() || found->second.ended ||
      !found->second.started) {
    return;
  }
  if (found->second.job.value == kProbeJob) {
    HandleProbeState(context, number, state);
  } else if (const auto outcome = EndOf(state)) {
    EndTask(context, number, *outcome);
  } else if (state == RunState::kCheckpointed) {
    ApplyEvent(context, placement::TaskCheckpointed{found->second.call.task});
  }
}

void HandleAnswers(Context& context) {
  for (const TaskAnswer& answer : context.input.answers)
    HandleAnswer(context, answer);
}

void HandleReports(Context& context) {
  for (const HostTasks& report : context.input.reports) {
    if (!context.driver.workers.contains(report.host)) continue;
    placement::UsageReported usage;
    usage.worker = report.host;
    usage.age = context.input.now - report.as_of;
    for (const ListedTask& listed : report.tasks) {
      const std::uint64_t number = listed.task.epoch.value;
      const bool ended = EndOf(listed.state).has_value();
      if (ended || listed.state == RunState::kCheckpointed ||
          listed.task.job.value == kProbeJob) {
        HandleTaskState(context, number, listed.state);
      }
      const auto known = context.driver.tasks.find(number);
      const bool counts = known != context.driver.tasks.end() &&
                          !known->second.ended &&
                          listed.task.job.value != kProbeJob;
      if (!ended && counts) {
        usage.tasks.push_back({listed.task, listed.cores, listed.memory});
      }
    }
    ApplyEvent(context, usage);
  }
}

}  // namespace camphormux::dispatch::internal
