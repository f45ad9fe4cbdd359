#include "camphormux/controller/explain.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "camphormux/controller/phases.hpp"

namespace camphormux::controller {
namespace internal {

using state::Host;
using state::HostPhase;

int CountInPhase(const state::FleetState& state, const core::PoolName& pool,
                 HostPhase phase) {
  int count = 0;
  for (const auto& [id, host] : state.hosts) {
    count += host.pool == pool && host.phase == phase ? 1 : 0;
  }
  return count;
}

StepInput ToStepInput(const StatusInput& input) {
  return {input.state, input.observed, input.zone, input.now, input.wall};
}

/// Names of the gateways that a drain waits for, separated by commas.
std::string GatewaysBlockingDrain(const StatusInput& input, const Host& host) {
  const StepInput step = ToStepInput(input);
  std::string names;
  for (const GatewayView& gateway : input.observed.gateways) {
    if (GatewayMaySend(step, host, input.memory, gateway)) {
      names.append(names.empty() ? "" : ", ").append(gateway.process.value);
    }
  }
  return names;
}

std::string ExplainDrain(const StatusInput& input, const Host& host) {
  const std::string blocking = GatewaysBlockingDrain(input, host);
  if (!blocking.empty()) {
    return fmt::format("waits until these gateways apply offset {}: {}",
                       host.phase_offset.value, blocking);
  }
  const auto report = input.observed.reports.find(host.id);
  if (report == input.observed.reports.end()) {
    return "waits for the platform's report about the host";
  }
  if (input.observed.busy_hosts.contains(host.id)) {
    return "waits for tasks of jobs to yield";
  }
  return report->second.draining
             ? fmt::format("waits for {} active requests to end",
                           report->second.active_requests)
             : "waits until the platform reports the host as draining";
}

std::string ExplainPhase(const StatusInput& input, const Host& host) {
  switch (host.phase) {
    case HostPhase::kReleased:
      return "belongs to no pool; the zone's lease holder assigns it if the "
             "platform lists it as live";
    case HostPhase::kAssigned:
      return "waits until the platform reports the pool and the generation";
    case HostPhase::kAdmitted:
      return "serves its pool";
    case HostPhase::kDraining:
      return ExplainDrain(input, host);
    case HostPhase::kEmpty:
      return host.drain_reason == state::DrainReason::kMaintenance
                 ? "waits for its restart"
                 : "waits for its release";
  }
  return "unknown phase";
}

const char* Describe(sizing::SizeConstraint constraint) {
  switch (constraint) {
    case sizing::SizeConstraint::kMinHosts:
      return "min_hosts of the text";
    case sizing::SizeConstraint::kDemand:
      return "the service's own demand";
    case sizing::SizeConstraint::kDependencies:
      return "demand of services that call it";
    case sizing::SizeConstraint::kLeadingEdge:
      return "the expected peak of a surge that has begun";
    case sizing::SizeConstraint::kHold:
      return "earlier demand, held by the policy weights";
    case sizing::SizeConstraint::kFleet:
      return "the zone has too few hosts";
  }
  return "unknown";
}

const char* Describe(maintenance::PostponeCause cause) {
  switch (cause) {
    case maintenance::PostponeCause::kWindow:
      return "outside of the maintenance window";
    case maintenance::PostponeCause::kRacks:
      return "max_parallel_racks: other racks are in maintenance";
    case maintenance::PostponeCause::kBudget:
      return "host_availability of its service";
    case maintenance::PostponeCause::kDemand:
      return "the demand of its service";
    case maintenance::PostponeCause::kSurge:
      return "a surge of its service";
    case maintenance::PostponeCause::kLastRack:
      return "all available hosts of its pool are in this rack";
    case maintenance::PostponeCause::kRackFailed:
      return "a rack of the zone failed";
    case maintenance::PostponeCause::kManyMissing:
      return "too many hosts of the zone are missing";
    case maintenance::PostponeCause::kNotAdmitted:
      return "the host is moving or in no pool";
  }
  return "unknown";
}

const char* Describe(moves::MoveBlocker blocker) {
  switch (blocker) {
    case moves::MoveBlocker::kNoDonor:
      return "no pool can spare a host";
    case moves::MoveBlocker::kBudget:
      return "availability budgets of other pools forbid it now";
    case moves::MoveBlocker::kInFlight:
      return "too many moves in flight";
    case moves::MoveBlocker::kManyMissing:
      return "too many hosts of the zone are missing";
  }
  return "unknown";
}

std::string Rounded(double value) { return fmt::format("{:.2f}", value); }

/// Adds the values of the last plan. A controller without the lease has no
/// plan.
void AddSizing(const StatusInput& input, const text::Service& rule,
               Explanation& explanation) {
  const Plan& plan = input.memory.plan.last;
  const auto found = plan.sizes.services.find(rule.name);
  if (found == plan.sizes.services.end()) {
    explanation.constraint +=
        "; this controller has no plan, ask the lease holder of a zone";
    return;
  }
  const sizing::SizeReason& reason = found->second.reason;
  explanation.constraint = Describe(reason.constraint);
  const auto add = [&](const char* name, std::string value) {
    explanation.figures.push_back({name, std::move(value)});
  };
  add("arrivals_per_s", Rounded(reason.arrivals_per_s));
  add("from_callers_per_s", Rounded(reason.from_callers_per_s));
  add("service_time_s", Rounded(reason.service_time_s));
  add("demand_slots", Rounded(reason.demand_slots));
  add("planned_slots", Rounded(reason.planned_slots));
  add("slots_per_host", std::to_string(reason.slots_per_host));
  add("surging", found->second.surging ? "yes" : "no");
  for (const auto& [zone, size] : found->second.zones) {
    add("size_in_zone",
        fmt::format("{}: floor {}, needed {}, wanted {}{}", zone.value,
                    size.floor, size.needed, size.wanted,
                    size.reduced ? ", reduced" : ""));
  }
  for (const moves::Shortfall& shortfall : plan.moves.shortfalls) {
    if (shortfall.pool == rule.pool) {
      add("shortfall", fmt::format("{} of {} hosts in {}: {}", shortfall.hosts,
                                   shortfall.needed, input.zone.value,
                                   Describe(shortfall.blocker)));
    }
  }
}

void AddPostponement(const StatusInput& input, const core::HostId& host,
                     Explanation& explanation) {
  for (const auto& item : input.memory.plan.last.maintenance.postponed) {
    if (item.host == host) {
      explanation.figures.push_back(
          {"maintenance_postponed",
           fmt::format("{}; {} hosts available, {} must stay",
                       Describe(item.cause), item.available, item.minimum)});
    }
  }
}

}  // namespace internal

std::optional<Explanation> ExplainService(const StatusInput& input,
                                          const core::ServiceName& service) {
  if (!input.state.text.parsed) {
    return std::nullopt;
  }
  const auto& services = input.state.text.parsed->services;
  const auto found = services.find(service);
  if (found == services.end()) {
    return std::nullopt;
  }
  const text::Service& rule = found->second;
  const auto phase = [&](state::HostPhase which) {
    return std::to_string(
        internal::CountInPhase(input.state, rule.pool, which));
  };
  Explanation explanation{
      "service " + service.value,
      fmt::format("min_hosts {} over all zones, priority {}", rule.min_hosts,
                  rule.priority),
      {{"pool", rule.pool.value},
       {"zone", input.zone.value},
       {"admitted_in_all_zones", phase(state::HostPhase::kAdmitted)},
       {"draining_in_all_zones", phase(state::HostPhase::kDraining)}},
      input.state.text.revision};
  internal::AddSizing(input, rule, explanation);
  return explanation;
}

std::optional<Explanation> ExplainHost(const StatusInput& input,
                                       const core::HostId& host) {
  const auto found = input.state.hosts.find(host);
  if (found == input.state.hosts.end()) {
    return std::nullopt;
  }
  const state::Host& known = found->second;
  Explanation explanation{
      "host " + host.value,
      internal::ExplainPhase(input, known),
      {{"zone", known.zone.value},
       {"rack", known.rack.value},
       {"pool", known.pool ? known.pool->value : "none"},
       {"phase", Describe(known.phase)},
       {"drain_reason", Describe(known.drain_reason)},
       {"generation", std::to_string(known.generation.value)},
       {"since_offset", std::to_string(known.phase_offset.value)}},
      input.state.text.revision};
  internal::AddPostponement(input, host, explanation);
  return explanation;
}

std::string ExplanationText(const Explanation& explanation) {
  std::string text =
      fmt::format("{}: {}\nrevision: {}\n", explanation.subject,
                  explanation.constraint, explanation.revision.value);
  for (const Figure& figure : explanation.figures) {
    text += fmt::format("{}: {}\n", figure.name, figure.value);
  }
  return text;
}

std::string ExplanationJson(const Explanation& explanation) {
  nlohmann::json figures = nlohmann::json::array();
  for (const Figure& figure : explanation.figures) {
    figures.push_back({{"name", figure.name}, {"value", figure.value}});
  }
  const nlohmann::json body{{"subject", explanation.subject},
                            {"constraint", explanation.constraint},
                            {"revision", explanation.revision.value},
                            {"figures", std::move(figures)}};
  return body.dump(2);
}

}  // namespace camphormux::controller
