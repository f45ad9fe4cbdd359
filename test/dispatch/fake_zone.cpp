#include "test/dispatch/fake_zone.hpp"

#include <memory>

#include "camphormux/jobs/codec.hpp"
#include "camphormux/text/operator_text.hpp"

namespace camphormux::dispatch {

FakeZone::FakeZone() {
  text::OperatorText text;
  text.spare_pool = {"spare"};
  text.teams[{"t"}] = {{"t"}, {64000}, {64000}, {0}};
  state.text.revision = {1};
  state.text.parsed = std::make_shared<const text::OperatorText>(text);
  state.leases[kZone] = {{"c"}, {1}, {}};
}

void FakeZone::AddHost(const std::string& id, const std::string& pool,
                       const core::ZoneName& zone) {
  state::Host host;
  host.id = {id};
  host.zone = zone;
  host.rack = {"r-" + id};
  host.shape = {{8000}, {16000}, {0}};
  host.phase = state::HostPhase::kAdmitted;
  host.pool = core::PoolName{pool};
  state.hosts[host.id] = host;
}

void FakeZone::Append(const std::vector<jobs::Record>& records) {
  const jobs::Applied applied = jobs::Apply(
      fold, {{next_offset_++}, core::WallTime{}, jobs::EncodeRecords(records)});
  changes.insert(changes.end(), applied.changed.begin(), applied.changed.end());
}

void FakeZone::Submit(const std::string& id, bool repeatable,
                      bool preemptible) {
  jobs::Submit submit;
  submit.spec.id = {id};
  submit.spec.team = {"t"};
  submit.spec.kind = "k";
  submit.spec.repeatable = repeatable;
  submit.spec.preemptible = preemptible;
  submit.spec.declared = {{1000}, {1000}, {0}};
  submit.spec.pool = {"spare"};
  Append({submit});
}

TaskAnswer FakeZone::HandleCall(const TaskCall& call) {
  ++calls;
  TaskAnswer answer{call, TaskCallOutcome::kDone, RunState::kAbsent, now};
  if (call.epoch < fence) {
    answer.outcome = TaskCallOutcome::kStaleEpoch;
    return answer;
  }
  fence = call.epoch;
  auto& own = tasks[call.host];
  const std::uint64_t number = call.task.epoch.value;
  const auto found = own.find(number);
  if (call.kind == TaskCallKind::kStart) {
    if (deleted.contains(number)) {
      answer.outcome = TaskCallOutcome::kRefused;
      return answer;
    }
    if (found == own.end()) {
      own[number] = {call.task, call.limits, RunState::kRunning, {}};
      ++starts[call.task.job.value];
    }
    own[number].lease_end = now + call.lease;
    answer.state = own[number].state;
  } else if (call.kind == TaskCallKind::kDelete) {
    if (found != own.end()) answer.state = found->second.state;
    own.erase(number);
    deleted.insert(number);
  } else if (found != own.end()) {
    found->second.state = call.kind == TaskCallKind::kThrottle
                              ? RunState::kThrottled
                              : RunState::kCheckpointed;
    answer.state = found->second.state;
  }
  if (answers_to_lose > 0) {
    --answers_to_lose;
    answer.outcome = TaskCallOutcome::kFailed;
    answer.state.reset();
  }
  return answer;
}

HostTasks FakeZone::ListTasks(const core::HostId& host) const {
  HostTasks list{host, now, {}};
  const auto found = tasks.find(host);
  if (found == tasks.end()) return list;
  for (const auto& [number, task] : found->second) {
    const bool lapsed =
        task.state == RunState::kRunning && now > task.lease_end;
    list.tasks.push_back({task.task,
                          lapsed ? RunState::kLeaseExpired : task.state,
                          task.limits, task.limits.cores, task.limits.memory});
  }
  return list;
}

void FakeZone::Finish(const std::string& job) {
  for (auto& [host, own] : tasks) {
    for (auto& [number, task] : own) {
      if (task.task.job.value == job) task.state = RunState::kDone;
    }
  }
}

const FakeTask* FakeZone::TaskOf(const std::string& job) const {
  for (const auto& [host, own] : tasks) {
    for (const auto& [number, task] : own) {
      if (task.task.job.value == job) return &task;
    }
  }
  return nullptr;
}

const jobs::JobEntry& FakeZone::JobEntryOf(const std::string& job) const {
  return *jobs::Find(fold, core::JobId{job});
}

DriverOutput Decide(FakeZone& zone, FakeHolder& holder) {
  DriverInput input{zone.state, zone.fold, holder.zone, std::nullopt, {}, {},
                    {},         {},        {},          {},           {}};
  if (holder.holds_lease) input.lease = holder.epoch;
  input.changed = {zone.changes.begin() + holder.changes_seen,
                   zone.changes.end()};
  holder.changes_seen = static_cast<std::ptrdiff_t>(zone.changes.size());
  input.cut_off = holder.cut_off;
  input.answers = std::exchange(holder.answers, {});
  input.reports = std::exchange(holder.reports, {});
  input.retention = std::chrono::hours(24);
  input.now = zone.now;
  return Step(input, holder.driver);
}

void Execute(FakeZone& zone, FakeHolder& holder, const DriverOutput& output) {
  if (!output.records.empty()) zone.Append(output.records);
  for (const TaskCall& call : output.calls) {
    holder.answers.push_back(zone.HandleCall(call));
  }
  for (const core::HostId& host : output.list_requests) {
    holder.reports.push_back(zone.ListTasks(host));
  }
}

void RunSteps(FakeZone& zone, FakeHolder& holder, core::Millis time) {
  constexpr core::Millis kStep{200};
  const core::MonotonicTime end = zone.now + time;
  while (zone.now < end) {
    Execute(zone, holder, Decide(zone, holder));
    zone.now += kStep;
    for (const auto& [host, own] : zone.tasks) {
      if (holder.receives_usage && !own.empty()) {
        holder.reports.push_back(zone.ListTasks(host));
      }
    }
  }
}

}  // namespace camphormux::dispatch
