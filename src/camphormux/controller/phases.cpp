#include "camphormux/controller/phases.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace camphormux::controller {
namespace internal {

using state::Host;
using state::HostPhase;

/// A host with everything its next phase depends on.
struct Situation {
  const StepInput& input;
  const Host& host;
  core::Epoch epoch;
  const HostReport* report;  ///< None until the platform answered.
  StepMemory& memory;
  StepResult& result;
};

/// Sends a call, but repeats the same one only after a pause.
void SendPaced(Situation& at, const PlatformCall& call) {
  const auto found = at.memory.calls.find(at.host.id);
  if (found != at.memory.calls.end() && found->second.call == call &&
      at.input.now - found->second.sent < kCallRepeat) {
    return;
  }
  at.memory.calls[at.host.id] = {call, at.input.now, std::nullopt};
  at.result.calls.push_back(call);
}

/// Whether this controller's own call was answered and the report was asked
/// for afterwards. An effect that is only seen may be that of an earlier
/// holder, whose late calls the platform refuses once it saw this epoch.
bool ReportFollows(const Situation& at, const PlatformCall& call) {
  const auto found = at.memory.calls.find(at.host.id);
  return at.report != nullptr && at.report->known &&
         found != at.memory.calls.end() && found->second.call == call &&
         found->second.done && at.report->asked > *found->second.done;
}

core::ServiceName ServiceOf(const state::FleetState& state,
                            const core::PoolName& pool) {
  if (state.text.parsed) {
    for (const auto& [name, service] : state.text.parsed->services) {
      if (service.pool == pool) {
        return name;
      }
    }
  }
  return core::ServiceName{pool.value};
}

PlatformCall PoolCall(const Situation& at) {
  PlatformCall call{CallKind::kPool,
                    at.host.id,
                    at.epoch,
                    at.host.generation,
                    at.host.pool.value_or(core::PoolName{}),
                    {},
                    {}};
  call.service = ServiceOf(at.input.state, call.pool);
  return call;
}

PlatformCall DrainCall(const Situation& at) {
  return {
      CallKind::kDrain, at.host.id, at.epoch, at.host.generation, {}, {}, {}};
}

bool InForce(const Situation& at) {
  return at.report->pool == at.host.pool &&
         at.report->generation == at.host.generation && !at.report->draining;
}

void Record(Situation& at, HostPhase phase) {
  at.result.records.emplace_back(NextPhase(at.host, at.epoch, phase));
}

void AdvanceAssigned(Situation& at) {
  const PlatformCall call = PoolCall(at);
  if (ReportFollows(at, call) && InForce(at)) {
    Record(at, HostPhase::kAdmitted);
    return;
  }
  SendPaced(at, call);
}

void KeepAdmitted(Situation& at) {
  const bool differs = at.report != nullptr && at.report->known && !InForce(at);
  if (differs) {
    SendPaced(at, PoolCall(at));
  }
}

bool AnyMaySend(const Situation& at) {
  const std::vector<GatewayView>& gateways = at.input.seen.gateways;
  return std::any_of(gateways.begin(), gateways.end(),
                     [&at](const GatewayView& gateway) {
                       return MaySend(at.input, at.host, at.memory, gateway);
                     });
}

void AdvanceDraining(Situation& at) {
  const PlatformCall call = DrainCall(at);
  const bool drained = ReportFollows(at, call) && at.report->draining &&
                       at.report->generation == at.host.generation;
  if (!drained) {
    SendPaced(at, call);
  }
  DrainSeen& seen = at.memory.drain_seen[at.host.id];
  // Another holder may have readmitted and drained the host meanwhile.
  if (seen.offset != at.host.phase_offset) {
    seen = {at.host.phase_offset, at.input.now};
    at.memory.drain_acknowledged.erase(at.host.id);
  }
  if (AnyMaySend(at)) {
    at.memory.drain_acknowledged.erase(at.host.id);
    return;
  }
  const auto acknowledged =
      at.memory.drain_acknowledged.try_emplace(at.host.id, at.input.now).first;
  // A report from before the acknowledgements may miss a request that a
  // gateway sent in between.
  if (drained && at.report->active_requests == 0 &&
      !at.input.seen.busy_hosts.contains(at.host.id) &&
      at.report->asked > acknowledged->second) {
    Record(at, HostPhase::kEmpty);
    at.memory.emptied.insert(at.host.id);
  }
}

/// Identifies a restart across holders: the drain that led to it.
std::string MaintenanceId(const Host& host) {
  return fmt::format("{}-{}-{}", host.id.value, host.generation.value,
                     host.phase_offset.value);
}

/// Whether the first accepted restart call is so old that an unchanged boot id
/// means that an earlier holder's call, with the same id, did the restart.
bool IsSettled(Situation& at) {
  const core::MonotonicTime accepted =
      at.memory.restart_accepted.try_emplace(at.host.id, at.input.now)
          .first->second;
  return at.input.now - accepted >= kRestartSettled;
}

void AdvanceMaintenance(Situation& at) {
  if (at.report == nullptr) {
    return;
  }
  const std::string& before =
      at.memory.boot_before.try_emplace(at.host.id, at.report->boot_id)
          .first->second;
  const PlatformCall call{
      CallKind::kReboot,     at.host.id, at.epoch, {}, {}, {},
      MaintenanceId(at.host)};
  if (ReportFollows(at, call) &&
      (at.report->boot_id != before || IsSettled(at))) {
    at.result.records.emplace_back(state::MaintenanceDone{
        at.host.zone, at.epoch, at.host.id, at.input.wall});
    Record(at, HostPhase::kAssigned);
    return;
  }
  SendPaced(at, call);
}

void AdvanceEmpty(Situation& at) {
  at.memory.drain_acknowledged.erase(at.host.id);
  if (at.host.drain_reason == state::DrainReason::kMaintenance) {
    if (at.memory.plan.may_restart.contains(at.host.id) ||
        MayBeRestarting(at.host, at.memory)) {
      AdvanceMaintenance(at);
    }
  } else if (at.host.drain_reason == state::DrainReason::kMove) {
    Record(at, HostPhase::kReleased);
  }
}

}  // namespace internal

bool MaySend(const StepInput& input, const state::Host& host,
             const StepMemory& memory, const GatewayView& gateway) {
  if (gateway.applied > host.phase_offset) {
    return false;
  }
  const auto seen = memory.drain_seen.find(host.id);
  const bool old_drain = seen != memory.drain_seen.end() &&
                         seen->second.offset == host.phase_offset &&
                         input.now - seen->second.time >= kOldDrain;
  if (gateway.dead) {
    const core::Millis watched = input.now - memory.watching_since;
    const bool long_dead =
        watched >= kLongDead && input.now - gateway.dead_since >= kLongDead;
    return !long_dead && (!old_drain || watched < kDeadWatch);
  }
  return gateway.zone == host.zone || !old_drain;
}

bool MayBeRestarting(const state::Host& host, const StepMemory& memory) {
  const bool in_maintenance =
      host.phase == state::HostPhase::kEmpty &&
      host.drain_reason == state::DrainReason::kMaintenance;
  const auto sent = memory.calls.find(host.id);
  const bool told =
      sent != memory.calls.end() && sent->second.call.kind == CallKind::kReboot;
  return in_maintenance && (told || !memory.emptied.contains(host.id));
}

state::Assign NextPhase(const state::Host& host, core::Epoch epoch,
                        state::HostPhase phase) {
  const bool leaves = phase == state::HostPhase::kReleased;
  const bool drained = phase == state::HostPhase::kEmpty;
  const bool assigned = phase == state::HostPhase::kAssigned;
  return {host.zone,
          epoch,
          host.id,
          phase,
          drained ? host.drain_reason : state::DrainReason::kNone,
          leaves ? std::nullopt : host.pool,
          assigned ? core::Next(host.generation) : host.generation};
}

void AdvanceHost(const StepInput& input, const state::Host& host,
                 StepMemory& memory, StepResult& result) {
  const auto report = input.seen.reports.find(host.id);
  internal::Situation at{
      input,
      host,
      *input.seen.lease,
      report == input.seen.reports.end() ? nullptr : &report->second,
      memory,
      result};
  switch (host.phase) {
    case state::HostPhase::kReleased:
      break;
    case state::HostPhase::kAssigned:
      internal::AdvanceAssigned(at);
      break;
    case state::HostPhase::kAdmitted:
      internal::KeepAdmitted(at);
      break;
    case state::HostPhase::kDraining:
      internal::AdvanceDraining(at);
      break;
    case state::HostPhase::kEmpty:
      internal::AdvanceEmpty(at);
      break;
  }
}

}  // namespace camphormux::controller
