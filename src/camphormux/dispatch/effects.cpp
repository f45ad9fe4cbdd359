#include <algorithm>
#include <utility>

#include "camphormux/dispatch/step.hpp"

namespace camphormux::dispatch::internal {
namespace {

using placement::JobPhase;

/// End of a job in a phase of the placement; none while the job is open.
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

/// Requests an end record for a job that has ended in the placement.
void RecordEnd(Context& context, const core::JobId& job) {
  const placement::State& placed = context.driver.placement;
  const auto found = placed.jobs_by_id.find(job);
  const jobs::JobEntry* entry = jobs::Find(context.input.fold, job);
  if (found == placed.jobs_by_id.end() || entry == nullptr ||
      !jobs::IsOpenIn(*entry, context.input.zone)) {
    return;
  }
  if (const auto kind = EndOf(placed.jobs[found->second].phase)) {
    RequestRecord(
        context, job,
        jobs::End{job, context.input.zone, context.driver.epoch, *kind});
  }
}

/// Carries out effects of the placement, with one overload per type.
struct EffectHandler {
  Context& context;

  void operator()(const placement::StartTask& effect) {
    DesiredTask task;
    task.worker = effect.worker;
    task.job = effect.task.job;
    task.limits = effect.limits;
    task.call = {TaskCallKind::kStart,
                 effect.worker,
                 context.driver.epoch,
                 effect.task,
                 effect.limits,
                 effect.lease,
                 {}};
    task.waits_for_record = NeedsStartRecord(effect.task.job);
    context.driver.tasks[effect.task.epoch.value] = std::move(task);
  }
  void operator()(const placement::ThrottleTask& effect) {
    if (DesiredTask* task = Find(effect.task)) {
      SetDesiredCall(context, *task, TaskCallKind::kThrottle);
      task->call.cores = effect.cores;
    }
  }
  void operator()(const placement::CheckpointTask& effect) {
    if (DesiredTask* task = Find(effect.task)) {
      SetDesiredCall(context, *task, TaskCallKind::kCheckpoint);
    }
  }
  void operator()(const placement::StopTask& effect) {
    const std::uint64_t number = effect.task.epoch.value;
    DesiredTask* task = Find(effect.task);
    if (task == nullptr && context.driver.tasks.contains(number)) return;
    if (task == nullptr) {
      // A report contains a task that the driver does not know.
      DesiredTask unknown;
      unknown.worker = effect.worker;
      unknown.job = effect.task.job;
      unknown.call.host = effect.worker;
      unknown.call.task = effect.task;
      SetDesiredCall(context, unknown, TaskCallKind::kDelete);
      context.driver.tasks[number] = std::move(unknown);
      return;
    }
    if (task->call.kind == TaskCallKind::kStart && task->starts == 0) {
      context.driver.tasks.erase(number);
      ApplyEvent(context,
                 placement::TaskEnded{effect.task,
                                      placement::TaskOutcome::kNeverBegan});
      return;
    }
    SetDesiredCall(context, *task, TaskCallKind::kDelete);
  }
  void operator()(const placement::ProbeWorker& effect) {
    const placement::TaskRef ref{{kProbeJob},
                                 context.driver.placement.next_epoch};
    context.driver.placement.next_epoch = core::Next(ref.epoch);
    constexpr placement::Resources kSmall{{10}, {1}, {0}};
    (*this)(placement::StartTask{effect.worker, ref, kSmall,
                                 context.driver.placement.settings.task_lease});
  }
  void operator()(const placement::NotifyTeam& effect) {
    RecordEnd(context, effect.job);
  }

  [[nodiscard]] DesiredTask* Find(const placement::TaskRef& ref) {
    const auto found = context.driver.tasks.find(ref.epoch.value);
    return found == context.driver.tasks.end() || found->second.ended
               ? nullptr
               : &found->second;
  }

  /// Requests a start record for a job that must not run twice. Returns whether
  /// the start must wait for it.
  [[nodiscard]] bool NeedsStartRecord(const core::JobId& job) {
    const jobs::JobEntry* entry = jobs::Find(context.input.fold, job);
    if (entry == nullptr || entry->submit.spec.repeatable) return false;
    if (entry->started == context.driver.epoch) return false;
    RequestRecord(context, job,
                  jobs::Start{job, context.input.zone, context.driver.epoch});
    return true;
  }
};

/// Returns whether a record is no longer needed, because its effect is on the
/// log or the job has ended.
bool IsSettled(const Context& context, const core::JobId& job,
               const jobs::Record& record) {
  const jobs::JobEntry* entry = jobs::Find(context.input.fold, job);
  if (entry == nullptr || entry->end) return true;
  if (const auto* take = std::get_if<jobs::ClaimJob>(&record)) {
    return entry->claim &&
           (!take->after || entry->claim->offset != *take->after);
  }
  if (!jobs::IsOpenIn(*entry, context.input.zone)) return true;
  return std::holds_alternative<jobs::Start>(record) && entry->started;
}

/// Returns whether a task's start or deletion must wait for a record on the
/// log.
bool WaitsForRecord(const Context& context, const DesiredTask& task) {
  if (!task.waits_for_record) return false;
  const jobs::JobEntry* entry = jobs::Find(context.input.fold, task.job);
  if (task.call.kind == TaskCallKind::kStart) {
    return entry == nullptr || entry->started != context.driver.epoch ||
           !jobs::IsOpenIn(*entry, context.input.zone);
  }
  return entry != nullptr && jobs::IsOpenIn(*entry, context.input.zone);
}

/// Returns whether a task's call or lease renewal is due.
bool IsDue(const Context& context, const DesiredTask& task) {
  const core::MonotonicTime now = context.input.now;
  if (!task.answered) {
    return task.sent == core::MonotonicTime{} ||
           now - task.sent >= kRetryInterval;
  }
  return task.started && !task.ended && now >= task.renew_at;
}

}  // namespace

void ApplyEvent(Context& context, const placement::Event& event) {
  const placement::Effects effects =
      placement::Apply(context.driver.placement, event, context.input.now);
  EffectHandler handler{context};
  for (const placement::Effect& effect : effects) {
    std::visit(handler, effect);
  }
  if (const auto* ended = std::get_if<placement::TaskEnded>(&event)) {
    RecordEnd(context, ended->task.job);
  }
}

void RequestRecord(Context& context, const core::JobId& job,
                   jobs::Record record) {
  DesiredRecord& wanted = context.driver.records[job];
  if (wanted.sent && wanted.record.index() == record.index()) return;
  wanted = {std::move(record), std::nullopt};
}

void SendRecords(Context& context) {
  auto& records = context.driver.records;
  std::erase_if(records, [&](const auto& item) {
    return IsSettled(context, item.first, item.second.record);
  });
  for (auto& [job, wanted] : records) {
    if (context.output.records.size() >= kMaxRecords) return;
    if (wanted.sent && context.input.now - *wanted.sent < kRecordRetryInterval)
      continue;
    wanted.sent = context.input.now;
    context.output.records.push_back(wanted.record);
  }
}

void SetDesiredCall(Context& context, DesiredTask& task, TaskCallKind kind) {
  task.call.kind = kind;
  task.call.epoch = context.driver.epoch;
  task.answered = false;
  task.sent = core::MonotonicTime{};
}

void SendCalls(Context& context) {
  for (auto& [number, task] : context.driver.tasks) {
    if (!IsDue(context, task) || WaitsForRecord(context, task)) continue;
    task.waits_for_record = false;
    TaskCall call = task.call;
    if (task.answered) {  // The call took effect, so only the lease is renewed.
      call.kind = TaskCallKind::kStart;
      call.limits = task.limits;
      call.lease = context.driver.placement.settings.task_lease;
      task.renew_at = context.input.now + kRetryInterval;
    } else {
      task.sent = context.input.now;
      task.starts += call.kind == TaskCallKind::kStart ? 1 : 0;
    }
    context.output.calls.push_back(std::move(call));
  }
}

}  // namespace camphormux::dispatch::internal
