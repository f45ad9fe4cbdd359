#include "camphormux/text/check.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <set>

namespace camphormux::text {
namespace internal {

using Findings = std::vector<Finding>;

std::string KeyOf(const Service& service, const char* key) {
  return "service " + service.name.value + "." + key;
}

// ---- Dependency cycles

enum class Mark { kNew, kOpen, kDone };

/// Depth-first search; `path` holds the services from the root to the current
/// one.
std::optional<std::string> FindCycle(const OperatorText& text,
                                     const core::ServiceName& name,
                                     std::map<core::ServiceName, Mark>& marks,
                                     std::vector<core::ServiceName>& path) {
  marks[name] = Mark::kOpen;
  path.push_back(name);
  for (const Dependency& dependency : text.services.at(name).depends_on) {
    const core::ServiceName& next = dependency.service;
    if (!text.services.contains(next) || marks[next] == Mark::kDone) {
      continue;
    }
    if (marks[next] == Mark::kOpen) {
      std::string cycle;
      const auto start = std::find(path.begin(), path.end(), next);
      for (auto it = start; it != path.end(); ++it) {
        cycle += it->value + " -> ";
      }
      return cycle + next.value;
    }
    if (auto cycle = FindCycle(text, next, marks, path)) {
      return cycle;
    }
  }
  path.pop_back();
  marks[name] = Mark::kDone;
  return std::nullopt;
}

void CheckCycles(const OperatorText& text, Findings& findings) {
  std::map<core::ServiceName, Mark> marks;
  for (const auto& [name, service] : text.services) {
    std::vector<core::ServiceName> path;
    if (marks[name] != Mark::kNew) {
      continue;
    }
    if (const auto cycle = FindCycle(text, name, marks, path)) {
      findings.push_back({FindingKind::kDependencyCycle,
                          KeyOf(service, "depends_on"), *cycle,
                          "dependencies without a cycle"});
      return;
    }
  }
}

// ---- Fleet figures

struct ZoneFigures {
  int hosts = 0;
  std::set<core::RackName> racks;
};

using ZoneTable = std::map<core::ZoneName, ZoneFigures>;

ZoneTable MakeZoneTable(const OperatorText& text,
                        const std::vector<FleetHost>& hosts,
                        Findings& findings) {
  ZoneTable table;
  std::map<core::ZoneName, int> unknown;
  for (const FleetHost& host : hosts) {
    if (!text.zones.contains(host.zone)) {
      ++unknown[host.zone];
      continue;
    }
    ++table[host.zone].hosts;
    table[host.zone].racks.insert(host.rack);
  }
  for (const auto& [zone, count] : unknown) {
    findings.push_back({FindingKind::kUnknownZone, "zone " + zone.value,
                        std::to_string(count) + " hosts, no section",
                        "a section for every zone that has hosts"});
  }
  return table;
}

std::vector<core::ZoneName> ZonesOf(const OperatorText& text,
                                    const Service& service,
                                    const ZoneTable& table) {
  std::vector<core::ZoneName> zones;
  for (const auto& [name, zone] : text.zones) {
    const bool allowed = service.zones.empty() ||
                         std::find(service.zones.begin(), service.zones.end(),
                                   name) != service.zones.end();
    if (allowed && table.contains(name)) {
      zones.push_back(name);
    }
  }
  return zones;
}

/// Hosts of a service in each of its zones; the zones' parts add up to
/// min_hosts at least.
int FloorOf(const Service& service, std::size_t zones) {
  const int count = static_cast<int>(zones);
  return (service.min_hosts + count - 1) / count;
}

// ---- Quotas

void CheckQuota(const char* key, std::int64_t quota, std::int64_t fleet,
                Findings& findings) {
  if (quota > fleet) {
    findings.push_back({FindingKind::kQuota, std::string("team *.") + key,
                        "quotas of " + std::to_string(quota),
                        "at most the fleet's " + std::to_string(fleet)});
  }
}

void CheckQuotas(const OperatorText& text, const std::vector<FleetHost>& hosts,
                 Findings& findings) {
  constexpr std::int64_t kMilli = 1000;
  Team quota;
  for (const auto& [name, team] : text.teams) {
    quota.cores += team.cores;
    quota.memory += team.memory;
    quota.accelerators += team.accelerators;
  }
  FleetHost fleet;
  for (const FleetHost& host : hosts) {
    fleet.cores += host.cores;
    fleet.memory += host.memory;
    fleet.accelerators += host.accelerators;
  }
  CheckQuota("cores", quota.cores.value / kMilli, fleet.cores.value / kMilli,
             findings);
  CheckQuota("memory_mib", quota.memory.value, fleet.memory.value, findings);
  CheckQuota("accelerators", quota.accelerators.value, fleet.accelerators.value,
             findings);
}

// ---- Failure domains

/// A service whose loss of one domain breaks its budget has too few domains.
void CheckDomains(const OperatorText& text, const ZoneTable& table,
                  Findings& findings) {
  for (const auto& [name, service] : text.services) {
    const std::vector<core::ZoneName> zones = ZonesOf(text, service, table);
    std::size_t racks = 0;
    for (const core::ZoneName& zone : zones) {
      racks += table.at(zone).racks.size();
    }
    const double lost_share = zones.size() > 1
                                  ? 1.0 / static_cast<double>(zones.size())
                              : racks > 1 ? 1.0 / static_cast<double>(racks)
                                          : 1.0;
    if (zones.empty() || 1.0 - lost_share < service.host_availability) {
      findings.push_back(
          {FindingKind::kFailureDomains, KeyOf(service, "host_availability"),
           std::to_string(zones.size()) + " zones with " +
               std::to_string(racks) + " racks",
           "enough zones that host_availability holds without one of them"});
    }
  }
}

/// The zone must hold all floors and one host that stands in for the one in
/// maintenance.
void CheckZoneSizes(const OperatorText& text, const ZoneTable& table,
                    Findings& findings) {
  std::map<core::ZoneName, int> floors;
  for (const auto& [name, service] : text.services) {
    const std::vector<core::ZoneName> zones = ZonesOf(text, service, table);
    for (const core::ZoneName& zone : zones) {
      floors[zone] += FloorOf(service, zones.size());
    }
  }
  for (const auto& [zone, floor] : floors) {
    const int hosts = table.at(zone).hosts;
    if (floor > hosts) {
      findings.push_back({FindingKind::kFleetTooSmall, "zone " + zone.value,
                          std::to_string(hosts) + " hosts",
                          "at least " + std::to_string(floor) +
                              " hosts for min_hosts of its services"});
    } else if (floor == hosts) {
      findings.push_back(
          {FindingKind::kMaintenanceBudget, "zone " + zone.value,
           std::to_string(hosts) + " hosts, all of them needed for min_hosts",
           "one host more, which stands in for the one in "
           "maintenance"});
    }
  }
}

// ---- Maintenance

/// Hosts of a zone that all budgets together leave for maintenance at once.
int SparedHosts(const OperatorText& text, const ZoneTable& table,
                const core::ZoneName& zone) {
  int kept = 0;
  for (const auto& [name, service] : text.services) {
    const std::vector<core::ZoneName> zones = ZonesOf(text, service, table);
    if (std::find(zones.begin(), zones.end(), zone) != zones.end()) {
      kept += FloorOf(service, zones.size());
    }
  }
  return std::max(0, table.at(zone).hosts - kept);
}

void CheckMaintenanceTime(const OperatorText& text, const ZoneTable& table,
                          const CheckOptions& options, Findings& findings) {
  constexpr double kDayMs = 24.0 * 3600.0 * 1000.0;
  const MaintenancePlan& plan = text.maintenance;
  const double open_share =
      static_cast<double>((plan.window_end - plan.window_start).count()) /
      kDayMs;
  for (const auto& [zone, figures] : table) {
    const int racks = static_cast<int>(figures.racks.size());
    const int rack_size = (figures.hosts + racks - 1) / racks;
    const int parallel = std::min(SparedHosts(text, table, zone),
                                  plan.max_parallel_racks * rack_size);
    if (parallel == 0) {
      continue;  // Reported with the zone's size.
    }
    const int rounds = (figures.hosts + parallel - 1) / parallel;
    const double need_ms =
        static_cast<double>(options.host_maintenance.count()) * rounds /
        open_share;
    if (need_ms > static_cast<double>(plan.period.count())) {
      findings.push_back(
          {FindingKind::kMaintenanceBudget, "maintenance.period",
           "zone " + zone.value + " needs " +
               std::to_string(static_cast<std::int64_t>(need_ms / 1000.0)) +
               " s for " + std::to_string(figures.hosts) + " hosts, " +
               std::to_string(parallel) + " at once",
           "at most the period's " +
               std::to_string(plan.period.count() / 1000) + " s"});
    }
  }
}

/// A share of 1 allows no host to be away.
void CheckAvailabilityShares(const OperatorText& text, Findings& findings) {
  for (const auto& [name, service] : text.services) {
    if (service.host_availability >= 1.0) {
      findings.push_back({FindingKind::kMaintenanceBudget,
                          KeyOf(service, "host_availability"), "1",
                          "less than 1, so that a host can be maintained"});
    }
  }
}

}  // namespace internal

std::vector<Finding> CheckText(const OperatorText& text,
                               const std::vector<FleetHost>& hosts,
                               const CheckOptions& options) {
  std::vector<Finding> findings;
  internal::CheckCycles(text, findings);
  internal::CheckAvailabilityShares(text, findings);
  if (hosts.empty()) {
    return findings;
  }
  const internal::ZoneTable table =
      internal::MakeZoneTable(text, hosts, findings);
  internal::CheckQuotas(text, hosts, findings);
  internal::CheckDomains(text, table, findings);
  internal::CheckZoneSizes(text, table, findings);
  internal::CheckMaintenanceTime(text, table, options, findings);
  return findings;
}

const char* NameOf(FindingKind kind) {
  switch (kind) {
    case FindingKind::kDependencyCycle:
      return "dependency_cycle";
    case FindingKind::kMaintenanceBudget:
      return "maintenance_budget";
    case FindingKind::kQuota:
      return "quota";
    case FindingKind::kFailureDomains:
      return "failure_domains";
    case FindingKind::kFleetTooSmall:
      return "fleet_too_small";
    case FindingKind::kUnknownZone:
      return "unknown_zone";
  }
  return "unknown";
}

}  // namespace camphormux::text
