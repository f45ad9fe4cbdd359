#include <algorithm>

#include "camphormux/dispatch/step.hpp"

namespace camphormux::dispatch::internal {
namespace {

/// Bits of a task number below the lease's epoch. Task numbers begin with the
/// epoch, so each holder's numbers are above those of earlier holders.
constexpr int kEpochShift = 32;

void EnterPhase(Context& context, DriverPhase phase) {
  context.driver.phase = phase;
  context.driver.since = context.input.now;
  context.driver.requested_at.reset();
}

/// Returns whether an attempt of the phase is due, and if so records its time.
bool IsAttemptDue(Context& context, core::Millis pause) {
  if (context.driver.requested_at &&
      context.input.now - *context.driver.requested_at < pause)
    return false;
  context.driver.requested_at = context.input.now;
  return true;
}

void BeginTakeover(Context& context) {
  const core::Epoch refused = context.driver.refused_epoch;
  // If the lease was lost and regained without another holder, the epoch is the
  // same; task numbers must not be reused then either.
  const core::Epoch used = context.driver.placement.next_epoch;
  context.driver = Driver{};
  context.driver.refused_epoch = refused;
  context.driver.epoch = *context.input.lease;
  context.driver.placement.next_epoch = std::max(
      used, core::Epoch{(context.driver.epoch.value << kEpochShift) + 1});
  EnterPhase(context, DriverPhase::kAnnouncing);
}

void Announce(Context& context) {
  const auto seen = context.input.fold.epochs.find(context.input.zone);
  if (seen != context.input.fold.epochs.end() &&
      seen->second == context.driver.epoch) {
    // All effective records of earlier holders have been applied.
    EnterPhase(context, DriverPhase::kFencing);
    return;
  }
  if (IsAttemptDue(context, kRecordRetryInterval)) {
    context.output.records.emplace_back(
        jobs::Holder{context.input.zone, context.driver.epoch});
  }
}

std::vector<core::HostId> HostsInZone(const DriverInput& input) {
  std::vector<core::HostId> hosts;
  for (const auto& [id, host] : input.state.hosts) {
    if (host.zone == input.zone) hosts.push_back(id);
  }
  return hosts;
}

/// Sends the epoch to the platform in a call for any host of the zone. Each
/// attempt uses the next host.
void Fence(Context& context) {
  const std::vector<core::HostId> hosts = HostsInZone(context.input);
  if (hosts.empty() || !IsAttemptDue(context, kRetryInterval)) return;
  TaskCall call;
  call.kind = TaskCallKind::kFence;
  call.host = hosts[context.driver.attempts++ % hosts.size()];
  call.epoch = context.driver.epoch;
  context.output.calls.push_back(std::move(call));
}

void RequestTakeoverLists(Context& context) {
  for (auto& [host, requested_at] : context.driver.unlisted) {
    if (requested_at && context.input.now - *requested_at < kRetryInterval)
      continue;
    requested_at = context.input.now;
    context.output.list_requests.push_back(host);
  }
}

/// Processes the lists of unlisted workers that were requested after the fence.
void HandleTakeoverLists(Context& context) {
  for (const HostTasks& report : context.input.reports) {
    const auto host = context.driver.unlisted.find(report.host);
    if (host == context.driver.unlisted.end() ||
        report.as_of < context.driver.fenced) {
      continue;
    }
    context.driver.unlisted.erase(host);
    if (context.driver.phase == DriverPhase::kRunning) {
      Adopt(context, report);
    } else {
      context.driver.listed[report.host] = report;
    }
  }
}

/// Decides about unresolved jobs once all task lists have arrived.
void ResolveJobs(Context& context) {
  if (!context.driver.unlisted.empty()) return;
  const std::set<core::JobId> unresolved_jobs =
      std::move(context.driver.unresolved_jobs);
  context.driver.unresolved_jobs.clear();
  for (const core::JobId& job : unresolved_jobs) SyncJob(context, job);
}

/// Adopts tasks before it submits jobs, so that no running job is started
/// again.
void BeginRunning(Context& context) {
  SyncQuotas(context);
  for (const auto& [host, list] : context.driver.listed) Adopt(context, list);
  context.driver.listed.clear();
  SyncWorkers(context);
  EnterPhase(context, DriverPhase::kRunning);
  const auto own = context.input.fold.claimed.find(context.input.zone);
  if (own == context.input.fold.claimed.end()) return;
  const std::set<core::JobId> open = own->second;
  for (const core::JobId& job : open) SyncJob(context, job);
}

void ListTasks(Context& context) {
  if (!context.driver.requested_at) {
    context.driver.requested_at = context.input.now;
    for (const core::HostId& host : HostsInZone(context.input)) {
      context.driver.unlisted[host];
    }
  }
  HandleTakeoverLists(context);
  if (context.driver.unlisted.empty() ||
      context.input.now - context.driver.since >= kListingTimeout) {
    BeginRunning(context);
  }
}

void AdoptTask(Context& context, const core::HostId& host,
               const ListedTask& listed) {
  const std::uint64_t number = listed.task.epoch.value;
  const jobs::JobEntry* entry = jobs::Find(context.input.fold, listed.task.job);
  DesiredTask task;
  task.worker = host;
  task.job = listed.task.job;
  task.limits = listed.limits;
  task.call = {TaskCallKind::kStart,
               host,
               context.driver.epoch,
               listed.task,
               listed.limits,
               {},
               {}};
  task.call.lease = context.driver.placement.settings.task_lease;
  task.started = true;
  task.answered = true;
  task.renew_at = context.input.now;
  if (entry == nullptr || !jobs::IsOpenIn(*entry, context.input.zone)) {
    // The job ended or another zone has claimed it.
    SetDesiredCall(context, task, TaskCallKind::kDelete);
    context.driver.tasks[number] = std::move(task);
    return;
  }
  context.driver.tasks[number] = std::move(task);
  ++context.driver.adopted;
  ApplyEvent(context, placement::TaskAdopted{entry->submit.spec, listed.task,
                                             host, listed.limits});
  HandleTaskState(context, number, listed.state);
  const auto adopted = context.driver.tasks.find(number);
  if (adopted == context.driver.tasks.end() || adopted->second.ended) return;
  if (listed.state == RunState::kThrottled) {
    SetDesiredCall(context, adopted->second, TaskCallKind::kThrottle);
    adopted->second.call.cores = listed.limits.cores;
  } else if (listed.state == RunState::kCheckpointed) {
    // A checkpointed task does not continue; its job starts again from the
    // checkpoint.
    SetDesiredCall(context, adopted->second, TaskCallKind::kDelete);
  }
}

}  // namespace

void Adopt(Context& context, const HostTasks& list) {
  const auto host = context.input.state.hosts.find(list.host);
  if (host == context.input.state.hosts.end()) return;
  AddWorker(context, host->second);
  for (const ListedTask& listed : list.tasks) {
    AdoptTask(context, list.host, listed);
  }
}

void AdvanceTakeover(Context& context) {
  const std::optional<core::Epoch> lease = context.input.lease;
  if (!lease || context.driver.refused_epoch >= *lease) {
    context.driver.phase = DriverPhase::kIdle;
    return;
  }
  if (context.driver.phase == DriverPhase::kIdle ||
      context.driver.epoch != *lease) {
    BeginTakeover(context);
  }
  if (context.driver.phase == DriverPhase::kAnnouncing) Announce(context);
  if (context.driver.phase == DriverPhase::kFencing) Fence(context);
  if (context.driver.phase == DriverPhase::kListing) ListTasks(context);
  if (context.driver.phase == DriverPhase::kRunning &&
      !context.driver.unlisted.empty()) {
    HandleTakeoverLists(context);
  }
  RequestTakeoverLists(context);
  if (context.driver.phase == DriverPhase::kRunning) ResolveJobs(context);
}

}  // namespace camphormux::dispatch::internal
