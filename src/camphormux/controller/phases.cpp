#include "camphormux/controller/phases.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace camphormux::controller {
namespace internal {

using state::Host;
using state::HostPhase;

/// A host together with all inputs of its next phase.
struct HostContext {
  const StepInput& input;
  const Host& host;
  core::Epoch epoch;
  const HostReport* report;  ///< nullptr until the platform answered.
  StepMemory& memory;
  StepResult& result;
};

/// Sends a call, unless the same call was sent less than `kCallRetryDelay` ago.
void SendOrRetry(HostContext& context, const PlatformCall& call) {
  const auto found = context.memory.calls.find(context.host.id);
  if (found != context.memory.calls.end() && found->second.call == call &&
      context.input.now - found->second.sent < kCallRetryDelay) {
    return;
  }
  context.memory.calls[context.host.id] = {call, context.input.now,
                                           std::nullopt};
  context.result.calls.push_back(call);
}

/// Tells whether this controller's own call was answered and the report was
/// requested after that. An effect without an answer may come from an earlier
/// lease holder. Once the platform has seen this epoch, it refuses that
/// holder's late calls.
bool HasReportAfterCall(const HostContext& context, const PlatformCall& call) {
  const auto found = context.memory.calls.find(context.host.id);
  return context.report != nullptr && context.report->known &&
         found != context.memory.calls.end() && found->second.call == call &&
         found->second.done &&
         context.report->requested_at > *found->second.done;
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

PlatformCall PoolCall(const HostContext& context) {
  PlatformCall call{CallKind::kPool,
                    context.host.id,
                    context.epoch,
                    context.host.generation,
                    context.host.pool.value_or(core::PoolName{}),
                    {},
                    {}};
  call.service = ServiceOf(context.input.state, call.pool);
  return call;
}

PlatformCall DrainCall(const HostContext& context) {
  return {CallKind::kDrain,
          context.host.id,
          context.epoch,
          context.host.generation,
          {},
          {},
          {}};
}

bool PlatformMatchesState(const HostContext& context) {
  return context.report->pool == context.host.pool &&
         context.report->generation == context.host.generation &&
         !context.report->draining;
}

void AppendPhaseRecord(HostContext& context, HostPhase phase) {
  context.result.records.emplace_back(
      MakePhaseRecord(context.host, context.epoch, phase));
}

void AdvanceAssigned(HostContext& context) {
  const PlatformCall call = PoolCall(context);
  if (HasReportAfterCall(context, call) && PlatformMatchesState(context)) {
    AppendPhaseRecord(context, HostPhase::kAdmitted);
    return;
  }
  SendOrRetry(context, call);
}

void RepairAdmitted(HostContext& context) {
  const bool differs = context.report != nullptr && context.report->known &&
                       !PlatformMatchesState(context);
  if (differs) {
    SendOrRetry(context, PoolCall(context));
  }
}

bool AnyGatewayMaySend(const HostContext& context) {
  const std::vector<GatewayView>& gateways = context.input.observed.gateways;
  return std::any_of(gateways.begin(), gateways.end(),
                     [&context](const GatewayView& gateway) {
                       return GatewayMaySend(context.input, context.host,
                                             context.memory, gateway);
                     });
}

void AdvanceDraining(HostContext& context) {
  const PlatformCall call = DrainCall(context);
  const bool drained = HasReportAfterCall(context, call) &&
                       context.report->draining &&
                       context.report->generation == context.host.generation;
  if (!drained) {
    SendOrRetry(context, call);
  }
  DrainStart& drain = context.memory.drain_starts[context.host.id];
  // Another lease holder may have readmitted and drained the host again
  // meanwhile.
  if (drain.offset != context.host.phase_offset) {
    drain = {context.host.phase_offset, context.input.now};
    context.memory.drain_acknowledged_at.erase(context.host.id);
  }
  if (AnyGatewayMaySend(context)) {
    context.memory.drain_acknowledged_at.erase(context.host.id);
    return;
  }
  const auto acknowledged = context.memory.drain_acknowledged_at
                                .try_emplace(context.host.id, context.input.now)
                                .first;
  // A report from before the acknowledgements may miss a request that a gateway
  // sent in between.
  if (drained && context.report->active_requests == 0 &&
      !context.input.observed.busy_hosts.contains(context.host.id) &&
      context.report->requested_at > acknowledged->second) {
    AppendPhaseRecord(context, HostPhase::kEmpty);
    context.memory.emptied.insert(context.host.id);
  }
}

/// Identifies a restart by the drain that led to it, so that the id is the same
/// for all lease holders.
std::string MaintenanceId(const Host& host) {
  return fmt::format("{}-{}-{}", host.id.value, host.generation.value,
                     host.phase_offset.value);
}

/// Tells whether the restart call was accepted at least `kRestartTimeout` ago.
/// If the boot id has not changed by then, the restart was done by an earlier
/// lease holder's call with the same id.
bool RestartWaitElapsed(HostContext& context) {
  const core::MonotonicTime accepted =
      context.memory.restart_accepted_at
          .try_emplace(context.host.id, context.input.now)
          .first->second;
  return context.input.now - accepted >= kRestartTimeout;
}

void AdvanceMaintenance(HostContext& context) {
  if (context.report == nullptr) {
    return;
  }
  const std::string& before =
      context.memory.boot_id_before_restart
          .try_emplace(context.host.id, context.report->boot_id)
          .first->second;
  const PlatformCall call{
      CallKind::kReboot,          context.host.id, context.epoch, {}, {}, {},
      MaintenanceId(context.host)};
  if (HasReportAfterCall(context, call) &&
      (context.report->boot_id != before || RestartWaitElapsed(context))) {
    context.result.records.emplace_back(state::MaintenanceDone{
        context.host.zone, context.epoch, context.host.id, context.input.wall});
    AppendPhaseRecord(context, HostPhase::kAssigned);
    return;
  }
  SendOrRetry(context, call);
}

void AdvanceEmpty(HostContext& context) {
  context.memory.drain_acknowledged_at.erase(context.host.id);
  if (context.host.drain_reason == state::DrainReason::kMaintenance) {
    if (context.memory.plan.may_restart.contains(context.host.id) ||
        MayBeRestarting(context.host, context.memory)) {
      AdvanceMaintenance(context);
    }
  } else if (context.host.drain_reason == state::DrainReason::kMove) {
    AppendPhaseRecord(context, HostPhase::kReleased);
  }
}

}  // namespace internal

bool GatewayMaySend(const StepInput& input, const state::Host& host,
                    const StepMemory& memory, const GatewayView& gateway) {
  if (gateway.applied > host.phase_offset) {
    return false;
  }
  const auto drain = memory.drain_starts.find(host.id);
  const bool old_drain = drain != memory.drain_starts.end() &&
                         drain->second.offset == host.phase_offset &&
                         input.now - drain->second.time >= kRemoteDrainTimeout;
  if (gateway.dead) {
    const core::Millis observed_for = input.now - memory.uninterrupted_since;
    const bool long_dead =
        observed_for >= kDeadGatewayTimeout &&
        input.now - gateway.dead_since >= kDeadGatewayTimeout;
    return !long_dead && (!old_drain || observed_for < kDeadGatewayGrace);
  }
  return gateway.zone == host.zone || !old_drain;
}

bool MayBeRestarting(const state::Host& host, const StepMemory& memory) {
  const bool in_maintenance =
      host.phase == state::HostPhase::kEmpty &&
      host.drain_reason == state::DrainReason::kMaintenance;
  const auto sent = memory.calls.find(host.id);
  const bool restart_requested =
      sent != memory.calls.end() && sent->second.call.kind == CallKind::kReboot;
  return in_maintenance &&
         (restart_requested || !memory.emptied.contains(host.id));
}

state::Assign MakePhaseRecord(const state::Host& host, core::Epoch epoch,
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
  const auto report = input.observed.reports.find(host.id);
  internal::HostContext context{
      input,
      host,
      *input.observed.lease,
      report == input.observed.reports.end() ? nullptr : &report->second,
      memory,
      result};
  switch (host.phase) {
    case state::HostPhase::kReleased:
      break;
    case state::HostPhase::kAssigned:
      internal::AdvanceAssigned(context);
      break;
    case state::HostPhase::kAdmitted:
      internal::RepairAdmitted(context);
      break;
    case state::HostPhase::kDraining:
      internal::AdvanceDraining(context);
      break;
    case state::HostPhase::kEmpty:
      internal::AdvanceEmpty(context);
      break;
  }
}

}  // namespace camphormux::controller
