#include "camphormux/controller/plan.hpp"

#include <algorithm>
#include <utility>

#include "camphormux/controller/host_list.hpp"
#include "camphormux/controller/phases.hpp"

namespace camphormux::controller {
namespace internal {

using state::DrainReason;
using state::Host;
using state::HostPhase;

using HostSet = std::set<core::HostId>;

/// The zone's hosts that are not leaving the fleet, by id.
std::vector<Host> StayingHosts(const StepInput& input) {
  std::vector<Host> hosts;
  for (const auto& [id, host] : input.state.hosts) {
    if (host.zone == input.zone && !IsLeaving(input, id)) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

std::map<core::ZoneName, int> UsableHosts(const StepInput& input) {
  std::map<core::ZoneName, int> usable;
  for (const auto& [id, host] : input.state.hosts) {
    usable[host.zone] += IsListedAndStaying(input, id) ? 1 : 0;
  }
  return usable;
}

sizing::Sizes PlanSizes(const StepInput& input, PlanMemory& plan) {
  sizing::SizingInput sizing;
  sizing.text = input.state.text.parsed.get();
  sizing.demand = SumDemand(input.observed.gateways);
  sizing.usable_hosts = UsableHosts(input);
  for (const core::PoolName& pool : plan.last.maintenance.reserve) {
    sizing.maintenance_reserve[pool][input.zone] = 1;
  }
  sizing.now = input.now;
  return sizing::DecideSizes(plan.sizing, sizing);
}

moves::MoveDecision PlanMoves(const StepInput& input,
                              const std::vector<Host>& hosts,
                              const HostSet& missing,
                              const sizing::Sizes& sizes) {
  const text::OperatorText& text = *input.state.text.parsed;
  moves::MoveInput moves;
  moves.hosts = hosts;
  moves.missing = missing;
  moves.pools = moves::TargetsOf(text, sizes, input.zone);
  moves.spare_pool = text.spare_pool;
  moves.limits.missing_share = kMaxMissingShare;
  return moves::DecideMoves(moves);
}

/// The hosts as they are after the records of the moves are applied.
std::vector<Host> ApplyMoves(std::vector<Host> hosts,
                             const moves::MoveDecision& moves) {
  HostSet drained;
  for (const moves::Move& move : moves.drains) {
    drained.insert(move.host);
  }
  for (Host& host : hosts) {
    if (drained.contains(host.id)) {
      host.phase = HostPhase::kDraining;
      host.drain_reason = DrainReason::kMove;
    }
  }
  return hosts;
}

maintenance::MaintenanceDecision PlanMaintenance(const StepInput& input,
                                                 std::vector<Host> hosts,
                                                 const HostSet& missing,
                                                 const sizing::Sizes& sizes,
                                                 const StepMemory& memory) {
  const text::OperatorText& text = *input.state.text.parsed;
  maintenance::MaintenanceInput plan;
  for (const Host& host : hosts) {
    if (MayBeRestarting(host, memory)) {
      plan.rebooting.insert(host.id);
    }
    const auto done = input.state.maintenance.find(host.id);
    if (done != input.state.maintenance.end()) {
      plan.last_done[host.id] = done->second.last_done;
    }
  }
  plan.hosts = std::move(hosts);
  plan.missing = missing;
  // Used only for hosts without a maintenance record; a host gets one when it
  // joins.
  plan.epoch_start = input.wall;
  plan.budgets = maintenance::BudgetsOf(text, sizes, input.zone);
  plan.plan = text.maintenance;
  plan.now = input.wall;
  plan.missing_share = kMaxMissingShare;
  return maintenance::DecideMaintenance(plan);
}

/// Adds the records of a plan to a step's result.
class RecordBuilder {
 public:
  RecordBuilder(const StepInput& input, StepResult& result)
      : input_(input), result_(result) {}

  void Drain(const core::HostId& id, DrainReason reason) {
    state::Assign record = MakePhaseRecord(HostOf(id), *input_.observed.lease,
                                           HostPhase::kDraining);
    record.drain_reason = reason;
    result_.records.emplace_back(std::move(record));
  }

  void Readmit(const core::HostId& id) {
    result_.records.emplace_back(MakePhaseRecord(
        HostOf(id), *input_.observed.lease, HostPhase::kAssigned));
  }

  void Assign(const core::HostId& id, const core::PoolName& pool) {
    state::Assign record = MakePhaseRecord(HostOf(id), *input_.observed.lease,
                                           HostPhase::kAssigned);
    record.pool = pool;
    result_.records.emplace_back(std::move(record));
  }

 private:
  [[nodiscard]] const Host& HostOf(const core::HostId& id) const {
    return input_.state.hosts.at(id);
  }

  const StepInput& input_;
  StepResult& result_;
};

void AppendPlanRecords(const StepInput& input, const Plan& plan,
                       StepResult& result) {
  RecordBuilder builder(input, result);
  for (const moves::Reversal& reversal : plan.moves.reversals) {
    builder.Readmit(reversal.host);
  }
  for (const maintenance::GiveBack& back : plan.maintenance.give_backs) {
    builder.Readmit(back.host);
  }
  for (const moves::Move& move : plan.moves.assignments) {
    builder.Assign(move.host, move.to);
  }
  for (const moves::Move& move : plan.moves.drains) {
    builder.Drain(move.host, DrainReason::kMove);
  }
  for (const maintenance::Drain& drain : plan.maintenance.drains) {
    builder.Drain(drain.host, DrainReason::kMaintenance);
  }
  // Hosts that leave the fleet are not part of the plan.
  for (const auto& [id, host] : input.state.hosts) {
    if (host.zone == input.zone && host.phase == HostPhase::kAdmitted &&
        IsLeaving(input, id)) {
      builder.Drain(id, DrainReason::kMove);
    }
  }
}

/// Hosts whose phase is already changed by a record of this step. A planned
/// record based on their earlier phase would conflict with it.
HostSet ChangedHosts(const StepResult& result) {
  HostSet changed;
  for (const state::Record& record : result.records) {
    const auto* assign = std::get_if<state::Assign>(&record);
    if (assign != nullptr) {
      changed.insert(assign->host);
    }
  }
  return changed;
}

/// Drops planned records for hosts whose phase this step already changes.
void DropConflictingRecords(const HostSet& changed, std::size_t first_planned,
                            StepResult& result) {
  const auto begin =
      result.records.begin() + static_cast<std::ptrdiff_t>(first_planned);
  const auto contradicts = [&changed](const state::Record& record) {
    const auto* assign = std::get_if<state::Assign>(&record);
    return assign != nullptr && changed.contains(assign->host);
  };
  result.records.erase(std::remove_if(begin, result.records.end(), contradicts),
                       result.records.end());
}

/// Assigns released hosts to pools by the sizes of the last plan. A host
/// without a pool serves no requests, so it does not wait for the next plan.
void AssignReleased(const StepInput& input, const Plan& last,
                    StepResult& result) {
  const bool any =
      std::any_of(input.state.hosts.begin(), input.state.hosts.end(),
                  [&](const auto& item) {
                    return item.second.zone == input.zone &&
                           item.second.phase == HostPhase::kReleased;
                  });
  if (!any) {
    return;
  }
  const std::vector<Host> hosts = StayingHosts(input);
  const HostSet missing(result.missing.begin(), result.missing.end());
  const HostSet changed = ChangedHosts(result);
  const std::size_t first_planned = result.records.size();
  RecordBuilder builder(input, result);
  for (const moves::Move& move :
       PlanMoves(input, hosts, missing, last.sizes).assignments) {
    builder.Assign(move.host, move.to);
  }
  DropConflictingRecords(changed, first_planned, result);
}

}  // namespace internal

std::map<core::ServiceName, sizing::DemandSample> SumDemand(
    const std::vector<GatewayView>& gateways) {
  std::map<core::ServiceName, sizing::DemandSample> demand;
  for (const GatewayView& gateway : gateways) {
    if (gateway.dead) {
      continue;
    }
    for (const auto& [service, load] : gateway.demand.services) {
      sizing::DemandSample& sum = demand[service];
      sum.arrivals_per_s += load.arrivals_per_s;
      sum.refused_per_s += load.refused_per_s;
      sum.queued += load.queued;
      sum.running += load.running;
    }
  }
  return demand;
}

void PlanZone(const StepInput& input, StepMemory& memory, StepResult& result) {
  PlanMemory& plan = memory.plan;
  if (plan.planned_at && input.now - *plan.planned_at < kPlanPeriod) {
    // Sizes for an older operator text may refer to services that no longer
    // exist.
    if (plan.revision == input.state.text.revision) {
      internal::AssignReleased(input, plan.last, result);
    }
    return;
  }
  plan.planned_at = input.now;
  plan.revision = input.state.text.revision;
  result.planned = true;
  const internal::HostSet missing(result.missing.begin(), result.missing.end());
  const std::vector<state::Host> hosts = internal::StayingHosts(input);
  Plan next;
  next.sizes = internal::PlanSizes(input, plan);
  next.moves = internal::PlanMoves(input, hosts, missing, next.sizes);
  next.maintenance =
      internal::PlanMaintenance(input, internal::ApplyMoves(hosts, next.moves),
                                missing, next.sizes, memory);
  plan.may_restart = {next.maintenance.reboots.begin(),
                      next.maintenance.reboots.end()};
  const internal::HostSet changed = internal::ChangedHosts(result);
  const std::size_t first_planned = result.records.size();
  internal::AppendPlanRecords(input, next, result);
  internal::DropConflictingRecords(changed, first_planned, result);
  plan.last = std::move(next);
}

}  // namespace camphormux::controller
