#include "test/controller/fake_fleet.hpp"

#include "camphormux/state/codec.hpp"
#include "camphormux/state/fold.hpp"

namespace camphormux::controller {

void FakeLog::Append(const std::vector<state::Record>& batch) {
  if (!batch.empty()) {
    records.push_back(state::EncodeRecords(batch));
  }
}

void FakeLog::Read(state::FleetState& state, std::size_t limit) const {
  for (; limit > 0 && state.next.value < records.size(); --limit) {
    (void)state::ApplyEncoded(state, records[state.next.value], state.next);
  }
}

CallOutcome FakePlatform::Handle(const PlatformCall& call) {
  if (call.epoch < epoch) {
    return CallOutcome::kStaleEpoch;
  }
  epoch = call.epoch;
  FakeHost& host = hosts.at(call.host);
  switch (call.kind) {
    case CallKind::kPool:
      host.pool = call.pool;
      host.generation = call.generation;
      host.draining = false;
      break;
    case CallKind::kDrain:
      host.draining = host.draining || host.generation == call.generation;
      break;
    case CallKind::kReboot:
      if (host.last_maintenance != call.maintenance_id) {
        host.last_maintenance = call.maintenance_id;
        ++host.boots;
        ++reboots;
      }
      break;
  }
  return CallOutcome::kDone;
}

void FakePlatform::Observe(Observations& observed,
                           core::MonotonicTime now) const {
  observed.listed.emplace();
  for (const auto& [id, host] : hosts) {
    if (host.listed) {
      const std::string rack = "r" + id.value.substr(1);
      observed.listed->emplace(
          id, ListedHost{id, kZone, {rack}, {}, {"127.0.0.1", 80}, false});
    }
    HostReport report{host.listed,
                      std::nullopt,
                      host.generation,
                      host.draining,
                      host.active,
                      std::to_string(host.boots),
                      now};
    if (!host.pool.value.empty()) {
      report.pool = host.pool;
    }
    observed.reports[id] = report;
  }
}

void FakeController::Claim(FakeLog& log) {
  const auto lease = state.leases.find(kZone);
  const core::Epoch current =
      lease == state.leases.end() ? core::Epoch{} : lease->second.epoch;
  log.Append({state::LeaseClaim{kZone, id, core::Next(current)}});
}

void FakeController::UseLeaseFromState() {
  const auto lease = state.leases.find(kZone);
  observed.lease.reset();
  if (lease != state.leases.end() && lease->second.holder == id) {
    observed.lease = lease->second.epoch;
  }
}

StepResult FakeController::Decide(core::MonotonicTime now) {
  observed.log_read_at = now;
  UseLeaseFromState();
  StepResult result = Step(
      {state, observed, kZone, now, core::WallTime{now.time_since_epoch()}},
      memory);
  observed.answers.clear();
  return result;
}

FakePlatform MakePlatform(int count) {
  FakePlatform platform;
  for (int i = 0; i < count; ++i) {
    platform.hosts[core::HostId{"h" + std::to_string(i)}];
  }
  return platform;
}

std::string MakeOperatorText(int min_hosts) {
  return "[deployment]\nname = test\nspare_pool = spare\n[zone a]\n"
         "region = r\n[service web]\npriority = 2\nmin_hosts = " +
         std::to_string(min_hosts) + "\n[service spare]\nmin_hosts = 1\n";
}

state::Publish MakePublish(const std::string& id, core::Revision base,
                           const std::string& source) {
  return {core::AppendId{id}, "test", base, source, {}};
}

void RunStep(FakeController& controller, FakeLog& log, FakePlatform& platform,
             core::MonotonicTime now) {
  log.Read(controller.state, log.records.size());
  platform.Observe(controller.observed, now);
  const StepResult result = controller.Decide(now);
  log.Append(result.records);
  for (const PlatformCall& call : result.calls) {
    controller.observed.answers.push_back({call, platform.Handle(call), now});
  }
}

}  // namespace camphormux::controller
