#include "camphormux/text/diff.hpp"

#include <algorithm>
#include <map>
#include <sstream>

namespace camphormux::text {
namespace internal {

using KeyTable = std::map<std::string, std::string>;

std::string Show(double value) {
  std::ostringstream stream;
  stream << value;
  return stream.str();
}

std::string Show(core::Millis value) {
  return std::to_string(value.count()) + " ms";
}

template <typename Range, typename Format>
std::string Join(const Range& items, Format format) {
  std::string text;
  for (const auto& item : items) {
    text += (text.empty() ? "" : ", ") + format(item);
  }
  return text;
}

void AddService(const Service& service, KeyTable& keys) {
  const std::string prefix = "service " + service.name.value + ".";
  keys[prefix + "pool"] = service.pool.value;
  keys[prefix + "depends_on"] =
      Join(service.depends_on, [](const Dependency& dependency) {
        return dependency.service.value + ":" +
               Show(dependency.calls_per_request);
      });
  keys[prefix + "zones"] = Join(
      service.zones, [](const core::ZoneName& zone) { return zone.value; });
  keys[prefix + "min_hosts"] = std::to_string(service.min_hosts);
  keys[prefix + "host_availability"] = Show(service.host_availability);
  keys[prefix + "request_availability"] = Show(service.request_availability);
  keys[prefix + "request_window"] = Show(service.request_window);
  keys[prefix + "priority"] = std::to_string(service.priority);
  keys[prefix + "slots_per_host"] = std::to_string(service.slots_per_host);
  keys[prefix + "connections_per_host"] =
      std::to_string(service.connections_per_host);
  keys[prefix + "non_repeatable"] =
      Join(service.non_repeatable, [](const RequestPattern& pattern) {
        return pattern.method + " " + pattern.path_prefix;
      });
}

KeyTable KeysOf(const OperatorText& text) {
  constexpr std::int64_t kMilli = 1000;
  KeyTable keys;
  keys["deployment.name"] = text.deployment;
  keys["deployment.spare_pool"] = text.spare_pool.value;
  keys["policy.moves_weight"] = Show(text.policy.moves_weight);
  keys["policy.buffer_weight"] = Show(text.policy.buffer_weight);
  keys["policy.rollout_weight"] = Show(text.policy.rollout_weight);
  for (const auto& [name, zone] : text.zones) {
    keys["zone " + name.value + ".region"] = zone.region.value;
  }
  for (const auto& [name, service] : text.services) {
    AddService(service, keys);
  }
  for (const auto& [name, team] : text.teams) {
    const std::string prefix = "team " + name.value + ".";
    keys[prefix + "cores"] = std::to_string(team.cores.value / kMilli);
    keys[prefix + "memory_mib"] = std::to_string(team.memory.value);
    keys[prefix + "accelerators"] = std::to_string(team.accelerators.value);
  }
  keys["maintenance.period"] = Show(text.maintenance.period);
  keys["maintenance.window"] = Show(text.maintenance.window_start) + " - " +
                               Show(text.maintenance.window_end);
  keys["maintenance.max_parallel_racks"] =
      std::to_string(text.maintenance.max_parallel_racks);
  return keys;
}

std::vector<KeyChange> DiffKeys(const KeyTable& before, const KeyTable& after) {
  KeyTable all = before;
  all.insert(after.begin(), after.end());
  std::vector<KeyChange> changes;
  const auto value_of = [](const KeyTable& table, const std::string& key) {
    const auto found = table.find(key);
    return found == table.end() ? std::string() : found->second;
  };
  for (const auto& [key, value] : all) {
    std::string old_value = value_of(before, key);
    std::string new_value = value_of(after, key);
    const bool differs =
        old_value != new_value || before.contains(key) != after.contains(key);
    if (differs) {
      changes.push_back({key, std::move(old_value), std::move(new_value)});
    }
  }
  return changes;
}

/// Present hosts of each pool in the zones where its service may have hosts.
std::map<core::PoolName, int> CountHosts(const std::vector<FleetHost>& hosts) {
  std::map<core::PoolName, int> counts;
  for (const FleetHost& host : hosts) {
    if (host.pool) {
      ++counts[*host.pool];
    }
  }
  return counts;
}

bool HasPool(const OperatorText& text, const core::PoolName& pool) {
  return std::any_of(
      text.services.begin(), text.services.end(),
      [&pool](const auto& entry) { return entry.second.pool == pool; });
}

/// Hosts in zones that the new text forbids to their pool.
int MisplacedHosts(const OperatorText& after,
                   const std::vector<FleetHost>& hosts) {
  int misplaced = 0;
  for (const auto& [name, service] : after.services) {
    if (service.zones.empty()) {
      continue;
    }
    for (const FleetHost& host : hosts) {
      const bool allowed = std::find(service.zones.begin(), service.zones.end(),
                                     host.zone) != service.zones.end();
      misplaced += host.pool == service.pool && !allowed ? 1 : 0;
    }
  }
  return misplaced;
}

}  // namespace internal

TextDiff DiffTexts(const OperatorText& before, const OperatorText& after,
                   const std::vector<FleetHost>& hosts) {
  TextDiff diff;
  diff.keys =
      internal::DiffKeys(internal::KeysOf(before), internal::KeysOf(after));
  const auto counts = internal::CountHosts(hosts);
  int gained = 0;
  int freed = internal::MisplacedHosts(after, hosts);
  for (const auto& [name, service] : after.services) {
    const auto found = counts.find(service.pool);
    const int present = found == counts.end() ? 0 : found->second;
    if (present < service.min_hosts) {
      gained += service.min_hosts - present;
      diff.pools.push_back({service.pool, present, service.min_hosts});
      diff.under_budget.push_back({name, present, service.min_hosts});
    }
  }
  for (const auto& [pool, count] : counts) {
    if (!internal::HasPool(after, pool)) {
      freed += count;
      diff.pools.push_back({pool, count, 0});
    }
  }
  diff.hosts_moved = std::max(gained, freed);
  return diff;
}

}  // namespace camphormux::text
