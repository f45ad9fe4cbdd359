#include "camphormux/controller/assignment.hpp"

#include <algorithm>
#include <set>

#include "camphormux/controller/host_list.hpp"
#include "camphormux/controller/phases.hpp"

namespace camphormux::controller {
namespace internal {

using state::Host;
using state::HostPhase;

/// Hosts of one pool per rack.
using RackCounts = std::map<std::pair<core::PoolName, core::RackName>, int>;

std::vector<core::ZoneName> ZonesOf(const text::OperatorText& text,
                                    const text::Service& service) {
  std::vector<core::ZoneName> zones = service.zones;
  if (zones.empty()) {
    for (const auto& [name, zone] : text.zones) {
      zones.push_back(name);
    }
  }
  std::sort(zones.begin(), zones.end());
  return zones;
}

std::vector<const text::Service*> ByPriority(const text::OperatorText& text) {
  std::vector<const text::Service*> services;
  for (const auto& [name, service] : text.services) {
    services.push_back(&service);
  }
  std::stable_sort(services.begin(), services.end(),
                   [](const text::Service* a, const text::Service* b) {
                     return a->priority > b->priority;
                   });
  return services;
}

/// Whether a host counts as its pool's: it serves the pool, will serve it, or
/// returns to it after maintenance.
bool CountsForPool(const Host& host) {
  const bool leaving_phase =
      host.phase == HostPhase::kDraining || host.phase == HostPhase::kEmpty;
  return host.pool && (!leaving_phase ||
                       host.drain_reason == state::DrainReason::kMaintenance);
}

RackCounts CountRacks(const StepInput& input) {
  RackCounts counts;
  for (const auto& [id, host] : input.state.hosts) {
    if (host.zone == input.zone && CountsForPool(host)) {
      ++counts[{*host.pool, host.rack}];
    }
  }
  return counts;
}

std::vector<const Host*> ReleasedHosts(const StepInput& input) {
  std::vector<const Host*> hosts;
  for (const auto& [id, host] : input.state.hosts) {
    if (host.zone == input.zone && host.phase == HostPhase::kReleased &&
        IsListedToStay(input, id)) {
      hosts.push_back(&host);
    }
  }
  return hosts;
}

/// Removes and returns the host whose rack has the fewest hosts of the pool.
const Host* TakeHost(std::vector<const Host*>& hosts,
                     const core::PoolName& pool, RackCounts& racks) {
  const auto best = std::min_element(
      hosts.begin(), hosts.end(), [&](const Host* a, const Host* b) {
        return racks[{pool, a->rack}] < racks[{pool, b->rack}];
      });
  const Host* host = *best;
  hosts.erase(best);
  ++racks[{pool, host->rack}];
  return host;
}

state::Assign AssignTo(const StepInput& input, const Host& host,
                       const core::PoolName& pool) {
  state::Assign record =
      NextPhase(host, *input.seen.lease, HostPhase::kAssigned);
  record.pool = pool;
  record.generation = core::Next(host.generation);
  return record;
}

}  // namespace internal

PoolSizes MinimumSizes(const text::OperatorText& text,
                       const core::ZoneName& zone) {
  PoolSizes sizes;
  // The zones that get the remainder differ from service to service, so that
  // small services do not all land in the same zone.
  std::size_t turn = 0;
  for (const auto& [name, service] : text.services) {
    const auto zones = internal::ZonesOf(text, service);
    const auto found = std::find(zones.begin(), zones.end(), zone);
    const std::size_t shift = turn++;
    if (found == zones.end()) {
      continue;
    }
    const auto count = static_cast<int>(zones.size());
    const auto place = static_cast<int>(
        (static_cast<std::size_t>(found - zones.begin()) + shift) %
        zones.size());
    sizes[service.pool] =
        service.min_hosts / count + (place < service.min_hosts % count ? 1 : 0);
  }
  return sizes;
}

PoolSizes PresentSizes(const StepInput& input) {
  PoolSizes sizes;
  for (const auto& [id, host] : input.state.hosts) {
    if (host.zone == input.zone && internal::CountsForPool(host)) {
      ++sizes[*host.pool];
    }
  }
  return sizes;
}

void AssignReleased(const StepInput& input, const PoolSizes& wanted,
                    StepResult& result) {
  const text::OperatorText& text = *input.state.text.parsed;
  std::vector<const state::Host*> hosts = internal::ReleasedHosts(input);
  internal::RackCounts racks = internal::CountRacks(input);
  PoolSizes present = PresentSizes(input);
  for (const text::Service* service : internal::ByPriority(text)) {
    const auto size = wanted.find(service->pool);
    const int target = size == wanted.end() ? 0 : size->second;
    while (!hosts.empty() && present[service->pool] < target) {
      const state::Host* host = internal::TakeHost(hosts, service->pool, racks);
      ++present[service->pool];
      result.records.emplace_back(
          internal::AssignTo(input, *host, service->pool));
    }
  }
  for (const state::Host* host : hosts) {
    result.records.emplace_back(
        internal::AssignTo(input, *host, text.spare_pool));
  }
}

void DrainHomeless(const StepInput& input, StepResult& result) {
  std::set<core::PoolName> pools;
  for (const auto& [name, service] : input.state.text.parsed->services) {
    pools.insert(service.pool);
  }
  for (const auto& [id, host] : input.state.hosts) {
    const bool serves =
        host.zone == input.zone && host.phase == state::HostPhase::kAdmitted;
    if (!serves || (pools.contains(*host.pool) && !IsLeaving(input, id))) {
      continue;
    }
    state::Assign record =
        NextPhase(host, *input.seen.lease, state::HostPhase::kDraining);
    record.drain_reason = state::DrainReason::kMove;
    result.records.emplace_back(std::move(record));
  }
}

}  // namespace camphormux::controller
