#include <algorithm>
#include <utility>

#include "camphormux/dispatch/step.hpp"

namespace camphormux::dispatch::internal {
namespace {

using placement::JobPhase;

/// Kind of the end of a job that ended in the placement.
std::optional<jobs::EndKind> EndOf(JobPhase phase) {
  switch (phase) {
    case JobPhase::kFinished:
      return jobs::EndKind::kFinished;
    case JobPhase::kGivenUp:
      return jobs::EndKind::kGivenUp;
    case JobPhase::kNotTwice:
      return jobs::EndKind::kNotTwice;
    default:
      return std::nullopt;
  }
}

void RecordEnd(Context& at, const core::JobId& job) {
  const placement::State& placed = at.driver.placement;
  const auto found = placed.jobs_by_id.find(job);
  const jobs::JobEntry* entry = jobs::Find(at.input.fold, job);
  if (found == placed.jobs_by_id.end() || entry == nullptr ||
      !jobs::IsOpenIn(*entry, at.input.zone)) {
    return;
  }
  if (const auto kind = EndOf(placed.jobs[found->second].phase)) {
    WantRecord(at, job, jobs::End{job, at.input.zone, at.driver.epoch, *kind});
  }
}

/// Takes effects; one overload for each type.
struct Performer {
  Context& at;

  void operator()(const placement::StartTask& effect) {
    WantedTask task;
    task.worker = effect.worker;
    task.job = effect.task.job;
    task.limits = effect.limits;
    task.call = {TaskCallKind::kStart,
                 effect.worker,
                 at.driver.epoch,
                 effect.task,
                 effect.limits,
                 effect.lease,
                 {}};
    task.waits_for_record = NeedsStartRecord(effect.task.job);
    at.driver.tasks[effect.task.epoch.value] = std::move(task);
  }
  void operator()(const placement::ThrottleTask& effect) {
    if (WantedTask* task = Find(effect.task)) {
      WantCall(at, *task, TaskCallKind::kThrottle);
      task->call.cores = effect.cores;
    }
  }
  void operator()(const placement::CheckpointTask& effect) {
    if (WantedTask* task = Find(effect.task)) {
      WantCall(at, *task, TaskCallKind::kCheckpoint);
    }
  }
  void operator()(const placement::StopTask& effect) {
    const std::uint64_t number = effect.task.epoch.value;
    WantedTask* task = Find(effect.task);
    if (task == nullptr && at.driver.tasks.contains(number)) return;
    if (task == nullptr) {
      // A report has a task that no holder wants.
      WantedTask unknown;
      unknown.worker = effect.worker;
      unknown.job = effect.task.job;
      unknown.call.host = effect.worker;
      unknown.call.task = effect.task;
      WantCall(at, unknown, TaskCallKind::kDelete);
      at.driver.tasks[number] = std::move(unknown);
      return;
    }
    if (task->call.kind == TaskCallKind::kStart && task->starts == 0) {
      at.driver.tasks.erase(number);
      Feed(at, placement::TaskEnded{effect.task,
                                    placement::TaskOutcome::kNeverBegan});
      return;
    }
    WantCall(at, *task, TaskCallKind::kDelete);
  }
  void operator()(const placement::ProbeWorker& effect) {
    const placement::TaskRef ref{{kProbeJob}, at.driver.placement.next_epoch};
    at.driver.placement.next_epoch = core::Next(ref.epoch);
    constexpr placement::Resources kSmall{{10}, {1}, {0}};
    (*this)(placement::StartTask{effect.worker, ref, kSmall,
                                 at.driver.placement.settings.task_lease});
  }
  void operator()(const placement::NotifyTeam& effect) {
    RecordEnd(at, effect.job);
  }

  [[nodiscard]] WantedTask* Find(const placement::TaskRef& ref) {
    const auto found = at.driver.tasks.find(ref.epoch.value);
    return found == at.driver.tasks.end() || found->second.ended
               ? nullptr
               : &found->second;
  }

  /// Wants a start record for a job that may not be run twice.
  [[nodiscard]] bool NeedsStartRecord(const core::JobId& job) {
    const jobs::JobEntry* entry = jobs::Find(at.input.fold, job);
    if (entry == nullptr || entry->submit.spec.repeatable) return false;
    if (entry->started == at.driver.epoch) return false;
    WantRecord(at, job, jobs::Start{job, at.input.zone, at.driver.epoch});
    return true;
  }
};

/// Tells whether the log has what a record was to bring about.
bool IsSettled(const Context& at, const core::JobId& job,
               const jobs::Record& record) {
  const jobs::JobEntry* entry = jobs::Find(at.input.fold, job);
  if (entry == nullptr || entry->end) return true;
  if (const auto* take = std::get_if<jobs::ClaimJob>(&record)) {
    return entry->claim &&
           (!take->after || entry->claim->offset != *take->after);
  }
  if (!jobs::IsOpenIn(*entry, at.input.zone)) return true;
  return std::holds_alternative<jobs::Start>(record) && entry->started;
}

/// Whether a task's start or deletion still waits for the log.
bool WaitsForRecord(const Context& at, const WantedTask& task) {
  if (!task.waits_for_record) return false;
  const jobs::JobEntry* entry = jobs::Find(at.input.fold, task.job);
  if (task.call.kind == TaskCallKind::kStart) {
    return entry == nullptr || entry->started != at.driver.epoch ||
           !jobs::IsOpenIn(*entry, at.input.zone);
  }
  return entry != nullptr && jobs::IsOpenIn(*entry, at.input.zone);
}

bool IsDue(const Context& at, const WantedTask& task) {
  const core::MonotonicTime now = at.input.now;
  if (!task.answered) {
    return task.sent == core::MonotonicTime{} || now - task.sent >= kRepeat;
  }
  return task.started && !task.ended && now >= task.renew_at;
}

}  // namespace

void Feed(Context& at, const placement::Event& event) {
  const placement::Effects effects =
      placement::Apply(at.driver.placement, event, at.input.now);
  Performer performer{at};
  for (const placement::Effect& effect : effects) {
    std::visit(performer, effect);
  }
  if (const auto* ended = std::get_if<placement::TaskEnded>(&event)) {
    RecordEnd(at, ended->task.job);
  }
}

void WantRecord(Context& at, const core::JobId& job, jobs::Record record) {
  WantedRecord& wanted = at.driver.records[job];
  if (wanted.sent && wanted.record.index() == record.index()) return;
  wanted = {std::move(record), std::nullopt};
}

void SendRecords(Context& at) {
  auto& records = at.driver.records;
  std::erase_if(records, [&](const auto& item) {
    return IsSettled(at, item.first, item.second.record);
  });
  for (auto& [job, wanted] : records) {
    if (at.output.records.size() >= kMaxRecords) return;
    if (wanted.sent && at.input.now - *wanted.sent < kRecordRepeat) continue;
    wanted.sent = at.input.now;
    at.output.records.push_back(wanted.record);
  }
}

void WantCall(Context& at, WantedTask& task, TaskCallKind kind) {
  task.call.kind = kind;
  task.call.epoch = at.driver.epoch;
  task.answered = false;
  task.sent = core::MonotonicTime{};
}

void SendCalls(Context& at) {
  for (auto& [number, task] : at.driver.tasks) {
    if (!IsDue(at, task) || WaitsForRecord(at, task)) continue;
    task.waits_for_record = false;
    TaskCall call = task.call;
    if (task.answered) {  // Only the lease is renewed.
      call.kind = TaskCallKind::kStart;
      call.limits = task.limits;
      call.lease = at.driver.placement.settings.task_lease;
      task.renew_at = at.input.now + kRepeat;
    } else {
      task.sent = at.input.now;
      task.starts += call.kind == TaskCallKind::kStart ? 1 : 0;
    }
    at.output.calls.push_back(std::move(call));
  }
}

}  // namespace camphormux::dispatch::internal
