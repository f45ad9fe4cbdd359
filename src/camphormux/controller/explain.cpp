#include "camphormux/controller/explain.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "camphormux/controller/assignment.hpp"
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
  return {input.state, input.seen, input.zone, input.now, input.wall};
}

/// Gateways that a drain waits for.
std::string Behind(const StatusInput& input, core::LogOffset offset) {
  std::string names;
  for (const GatewayView& gateway : input.seen.gateways) {
    if (!Acknowledged({gateway}, offset, {}, input.now)) {
      names.append(names.empty() ? "" : ", ").append(gateway.process.value);
    }
  }
  return names;
}

std::string ExplainDrain(const StatusInput& input, const Host& host) {
  const std::string behind = Behind(input, host.phase_offset);
  if (!behind.empty()) {
    return fmt::format("waits until these gateways apply offset {}: {}",
                       host.phase_offset.value, behind);
  }
  const auto report = input.seen.reports.find(host.id);
  if (report == input.seen.reports.end()) {
    return "waits for the platform's report about the host";
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
  const PoolSizes minimum = MinimumSizes(*input.state.text.parsed, input.zone);
  const PoolSizes present = PresentSizes(internal::ToStepInput(input));
  const auto size = [&rule](const PoolSizes& sizes) {
    const auto entry = sizes.find(rule.pool);
    return std::to_string(entry == sizes.end() ? 0 : entry->second);
  };
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
       {"wanted_in_zone", size(minimum)},
       {"present_in_zone", size(present)},
       {"admitted_in_all_zones", phase(state::HostPhase::kAdmitted)},
       {"draining_in_all_zones", phase(state::HostPhase::kDraining)}},
      input.state.text.revision};
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
  nlohmann::json figures = nlohmann::json::object();
  for (const Figure& figure : explanation.figures) {
    figures[figure.name] = figure.value;
  }
  const nlohmann::json body{{"subject", explanation.subject},
                            {"constraint", explanation.constraint},
                            {"revision", explanation.revision.value},
                            {"figures", std::move(figures)}};
  return body.dump(2);
}

}  // namespace camphormux::controller
