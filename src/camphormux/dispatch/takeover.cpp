#include <algorithm>

#include "camphormux/dispatch/step.hpp"

namespace camphormux::dispatch::internal {
namespace {

/// Numbers of tasks contain the lease's epoch, so that each holder starts above
/// all of its predecessors.
constexpr int kEpochShift = 32;

void Enter(Context& at, DriverPhase phase) {
  at.driver.phase = phase;
  at.driver.since = at.input.now;
  at.driver.asked.reset();
}

/// Whether an attempt without result is due to be repeated.
bool IsAttemptDue(Context& at, core::Millis pause) {
  if (at.driver.asked && at.input.now - *at.driver.asked < pause) return false;
  at.driver.asked = at.input.now;
  return true;
}

void Begin(Context& at) {
  const core::Epoch refused = at.driver.refused_epoch;
  // After a pause without a change of holder the epoch is the same; numbers
  // are not used again then either.
  const core::Epoch used = at.driver.placement.next_epoch;
  at.driver = Driver{};
  at.driver.refused_epoch = refused;
  at.driver.epoch = *at.input.lease;
  at.driver.placement.next_epoch =
      std::max(used, core::Epoch{(at.driver.epoch.value << kEpochShift) + 1});
  Enter(at, DriverPhase::kAnnouncing);
}

void Announce(Context& at) {
  const auto seen = at.input.fold.epochs.find(at.input.zone);
  if (seen != at.input.fold.epochs.end() && seen->second == at.driver.epoch) {
    // All that earlier holders wrote with effect is in the fold now.
    Enter(at, DriverPhase::kFencing);
    return;
  }
  if (IsAttemptDue(at, kRecordRepeat)) {
    at.output.records.emplace_back(
        jobs::Holder{at.input.zone, at.driver.epoch});
  }
}

std::vector<core::HostId> HostsOf(const DriverInput& input) {
  std::vector<core::HostId> hosts;
  for (const auto& [id, host] : input.state.hosts) {
    if (host.zone == input.zone) hosts.push_back(id);
  }
  return hosts;
}

/// Any host of the zone carries the epoch; the next attempt takes another one.
void Fence(Context& at) {
  const std::vector<core::HostId> hosts = HostsOf(at.input);
  if (hosts.empty() || !IsAttemptDue(at, kRepeat)) return;
  TaskCall call;
  call.kind = TaskCallKind::kFence;
  call.host = hosts[at.driver.attempts++ % hosts.size()];
  call.epoch = at.driver.epoch;
  at.output.calls.push_back(std::move(call));
}

void AskUnlisted(Context& at) {
  for (auto& [host, asked] : at.driver.unlisted) {
    if (asked && at.input.now - *asked < kRepeat) continue;
    asked = at.input.now;
    at.output.questions.push_back(host);
  }
}

/// Takes reports that were asked for after the fence.
void TakeLists(Context& at) {
  for (const HostTasks& report : at.input.reports) {
    const auto host = at.driver.unlisted.find(report.host);
    if (host == at.driver.unlisted.end() || report.made < at.driver.fenced) {
      continue;
    }
    at.driver.unlisted.erase(host);
    if (at.driver.phase == DriverPhase::kRunning) {
      Adopt(at, report);
    } else {
      at.driver.listed[report.host] = report;
    }
  }
}

void DecideUndecided(Context& at) {
  if (!at.driver.unlisted.empty()) return;
  const std::set<core::JobId> undecided = std::move(at.driver.undecided);
  at.driver.undecided.clear();
  for (const core::JobId& job : undecided) SyncJob(at, job);
}

/// Adopts first, so that no job starts that runs already.
void BeginRunning(Context& at) {
  SyncQuotas(at);
  for (const auto& [host, list] : at.driver.listed) Adopt(at, list);
  at.driver.listed.clear();
  SyncWorkers(at);
  Enter(at, DriverPhase::kRunning);
  const auto own = at.input.fold.claimed.find(at.input.zone);
  if (own == at.input.fold.claimed.end()) return;
  const std::set<core::JobId> open = own->second;
  for (const core::JobId& job : open) SyncJob(at, job);
}

void List(Context& at) {
  if (!at.driver.asked) {
    at.driver.asked = at.input.now;
    for (const core::HostId& host : HostsOf(at.input)) {
      at.driver.unlisted[host];
    }
  }
  TakeLists(at);
  if (at.driver.unlisted.empty() ||
      at.input.now - at.driver.since >= kListingLimit) {
    BeginRunning(at);
  }
}

void AdoptTask(Context& at, const core::HostId& host,
               const ListedTask& listed) {
  const std::uint64_t number = listed.task.epoch.value;
  const jobs::JobEntry* entry = jobs::Find(at.input.fold, listed.task.job);
  WantedTask task;
  task.worker = host;
  task.job = listed.task.job;
  task.limits = listed.limits;
  task.call = {TaskCallKind::kStart,
               host,
               at.driver.epoch,
               listed.task,
               listed.limits,
               {},
               {}};
  task.call.lease = at.driver.placement.settings.task_lease;
  task.started = true;
  task.answered = true;
  task.renew_at = at.input.now;
  if (entry == nullptr || !jobs::IsOpenIn(*entry, at.input.zone)) {
    // Its job ended, or another zone has it.
    WantCall(at, task, TaskCallKind::kDelete);
    at.driver.tasks[number] = std::move(task);
    return;
  }
  at.driver.tasks[number] = std::move(task);
  ++at.driver.adopted;
  Feed(at, placement::TaskAdopted{entry->submit.spec, listed.task, host,
                                  listed.limits});
  TakeState(at, number, listed.state);
  const auto adopted = at.driver.tasks.find(number);
  if (adopted == at.driver.tasks.end() || adopted->second.ended) return;
  if (listed.state == RunState::kThrottled) {
    WantCall(at, adopted->second, TaskCallKind::kThrottle);
    adopted->second.call.cores = listed.limits.cores;
  } else if (listed.state == RunState::kCheckpointed) {
    // It does not go on by itself; its job starts again from the checkpoint.
    WantCall(at, adopted->second, TaskCallKind::kDelete);
  }
}

}  // namespace

void Adopt(Context& at, const HostTasks& list) {
  const auto host = at.input.state.hosts.find(list.host);
  if (host == at.input.state.hosts.end()) return;
  AddWorker(at, host->second);
  for (const ListedTask& listed : list.tasks) {
    AdoptTask(at, list.host, listed);
  }
}

void AdvanceTakeover(Context& at) {
  const std::optional<core::Epoch> lease = at.input.lease;
  if (!lease || at.driver.refused_epoch >= *lease) {
    at.driver.phase = DriverPhase::kIdle;
    return;
  }
  if (at.driver.phase == DriverPhase::kIdle || at.driver.epoch != *lease) {
    Begin(at);
  }
  if (at.driver.phase == DriverPhase::kAnnouncing) Announce(at);
  if (at.driver.phase == DriverPhase::kFencing) Fence(at);
  if (at.driver.phase == DriverPhase::kListing) List(at);
  if (at.driver.phase == DriverPhase::kRunning && !at.driver.unlisted.empty()) {
    TakeLists(at);
  }
  AskUnlisted(at);
  if (at.driver.phase == DriverPhase::kRunning) DecideUndecided(at);
}

}  // namespace camphormux::dispatch::internal
