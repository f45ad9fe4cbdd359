#include <algorithm>

#include "camphormux/dispatch/step.hpp"

namespace camphormux::dispatch::internal {
namespace {

using placement::TaskOutcome;

/// Leases are renewed three times before they lapse.
constexpr int kRenewals = 3;

core::Millis RenewalPeriod(const Context& at) {
  return at.driver.placement.settings.task_lease / kRenewals;
}

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

/// A start was refused. Only if it was the first call, no earlier one with a
/// lost answer can have begun the task.
TaskOutcome OutcomeOfRefusal(const WantedTask& task) {
  const bool never_began = !task.started && task.starts <= 1;
  return never_began ? TaskOutcome::kNeverBegan : TaskOutcome::kStopped;
}

void TakeStart(Context& at, std::uint64_t number, const TaskAnswer& answer) {
  WantedTask& task = at.driver.tasks.at(number);
  const placement::TaskRef ref = task.call.task;
  if (task.call.kind == TaskCallKind::kStart) task.answered = true;
  task.renew_at = answer.sent + RenewalPeriod(at);
  if (!task.started) {
    task.started = true;
    task.began = at.input.now;
    Feed(at, placement::TaskStarted{ref});
  }
  Feed(at, placement::LeaseRenewed{ref, answer.sent});
}

void TakeDeleted(Context& at, std::uint64_t number, const TaskAnswer& answer) {
  const RunState state = answer.state.value_or(RunState::kAbsent);
  const WantedTask task = at.driver.tasks.at(number);
  if (!task.ended) {
    EndTask(at, number, EndOf(state).value_or(TaskOutcome::kStopped));
  }
  at.driver.tasks.erase(number);
}

void TakeDone(Context& at, std::uint64_t number, const TaskAnswer& answer) {
  WantedTask& task = at.driver.tasks.at(number);
  const placement::TaskRef ref = task.call.task;
  const bool wanted = answer.call.kind == task.call.kind;
  switch (answer.call.kind) {
    case TaskCallKind::kStart:
      if (!task.ended) TakeStart(at, number, answer);
      break;
    case TaskCallKind::kThrottle:
      if (!wanted || answer.call.cores != task.call.cores) break;
      task.answered = true;
      Feed(at, placement::TaskThrottled{ref});
      break;
    case TaskCallKind::kCheckpoint:
      // The state that follows tells when the progress is saved.
      if (wanted) task.answered = true;
      break;
    case TaskCallKind::kDelete:
      TakeDeleted(at, number, answer);
      return;
    case TaskCallKind::kFence:
      return;
  }
  if (answer.state) TakeState(at, number, *answer.state);
}

void TakeRefusal(Context& at, std::uint64_t number, const TaskAnswer& answer) {
  const WantedTask& task = at.driver.tasks.at(number);
  if (answer.call.kind == TaskCallKind::kDelete) {
    TakeDeleted(at, number, answer);
  } else if (!task.ended) {
    EndTask(at, number, OutcomeOfRefusal(task));
  }
}

void TakeAnswer(Context& at, const TaskAnswer& answer) {
  if (answer.outcome == TaskCallOutcome::kStaleEpoch) {
    at.driver.refused_epoch =
        std::max(at.driver.refused_epoch, answer.call.epoch);
    return;
  }
  if (answer.call.epoch != at.driver.epoch) return;
  if (answer.call.kind == TaskCallKind::kFence) {
    if (answer.outcome == TaskCallOutcome::kDone &&
        at.driver.phase == DriverPhase::kFencing) {
      at.driver.phase = DriverPhase::kListing;
      at.driver.since = at.input.now;
      at.driver.fenced = at.input.now;
      at.driver.asked.reset();
    }
    return;
  }
  const std::uint64_t number = answer.call.task.epoch.value;
  if (!at.driver.tasks.contains(number)) return;
  if (answer.outcome == TaskCallOutcome::kDone) {
    TakeDone(at, number, answer);
  } else if (answer.outcome == TaskCallOutcome::kRefused) {
    TakeRefusal(at, number, answer);
  }
}

/// Ends a probe when its result is known.
void TakeProbe(Context& at, std::uint64_t number, RunState state) {
  WantedTask& task = at.driver.tasks.at(number);
  const bool ended = EndOf(state).has_value();
  if (!ended && at.input.now - task.began < kProbeTime) return;
  const bool succeeded = !ended || state == RunState::kDone;
  task.ended = true;
  WantCall(at, task, TaskCallKind::kDelete);
  Feed(at, placement::ProbeFinished{core::HostId{task.worker}, succeeded});
}

}  // namespace

void EndTask(Context& at, std::uint64_t number, TaskOutcome outcome) {
  WantedTask& task = at.driver.tasks.at(number);
  const placement::TaskRef ref = task.call.task;
  const core::HostId worker = task.worker;
  task.ended = true;
  task.waits_for_record = true;
  WantCall(at, task, TaskCallKind::kDelete);
  if (ref.job.value == kProbeJob) {
    task.waits_for_record = false;
    Feed(at, placement::ProbeFinished{worker, false});
    return;
  }
  Feed(at, placement::TaskEnded{ref, outcome});
  // A job that goes on needs no record of this run's end.
  const auto record = at.driver.records.find(ref.job);
  const bool job_ended =
      record != at.driver.records.end() &&
      std::holds_alternative<jobs::End>(record->second.record);
  if (!job_ended) at.driver.tasks.at(number).waits_for_record = false;
}

void TakeState(Context& at, std::uint64_t number, RunState state) {
  const auto found = at.driver.tasks.find(number);
  if (found == at.driver.tasks.end() || found->second.ended ||
      !found->second.started) {
    return;
  }
  if (found->second.job.value == kProbeJob) {
    TakeProbe(at, number, state);
  } else if (const auto outcome = EndOf(state)) {
    EndTask(at, number, *outcome);
  } else if (state == RunState::kCheckpointed) {
    Feed(at, placement::TaskCheckpointed{found->second.call.task});
  }
}

void TakeAnswers(Context& at) {
  for (const TaskAnswer& answer : at.input.answers) TakeAnswer(at, answer);
}

void TakeReports(Context& at) {
  for (const HostTasks& report : at.input.reports) {
    if (!at.driver.workers.contains(report.host)) continue;
    placement::UsageReported usage;
    usage.worker = report.host;
    usage.age = at.input.now - report.made;
    for (const ListedTask& listed : report.tasks) {
      const std::uint64_t number = listed.task.epoch.value;
      const bool ended = EndOf(listed.state).has_value();
      if (ended || listed.state == RunState::kCheckpointed ||
          listed.task.job.value == kProbeJob) {
        TakeState(at, number, listed.state);
      }
      const auto known = at.driver.tasks.find(number);
      const bool counts = known != at.driver.tasks.end() &&
                          !known->second.ended &&
                          listed.task.job.value != kProbeJob;
      if (!ended && counts) {
        usage.tasks.push_back({listed.task, listed.cores, listed.memory});
      }
    }
    Feed(at, usage);
  }
}

}  // namespace camphormux::dispatch::internal
