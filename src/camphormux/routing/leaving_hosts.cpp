#include "camphormux/routing/leaving_hosts.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace camphormux::routing {
namespace internal {

struct ZoneCount {
  std::size_t admitted = 0;
  std::size_t recent = 0;        ///< Became trusted within the window.
  std::set<core::HostId> added;  ///< Named now, but not trusted before.
};

std::size_t MaxNewlyTrusted(std::size_t admitted) {
  const auto share = static_cast<std::size_t>(kMaxNewlyTrustedShare *
                                              static_cast<double>(admitted));
  return std::max<std::size_t>(1, share);
}

/// Counts admitted hosts only: other hosts receive no requests, so a wrong
/// entry for them loses no capacity.
std::map<core::ZoneName, ZoneCount> CountByZone(
    const LeavingHostTracker& tracker, const std::set<core::HostId>& named,
    const state::FleetState& state, core::MonotonicTime now) {
  std::map<core::ZoneName, ZoneCount> zones;
  for (const auto& [id, host] : state.hosts) {
    if (host.phase != state::HostPhase::kAdmitted) {
      continue;
    }
    ZoneCount& zone = zones[host.zone];
    ++zone.admitted;
    const auto trusted = tracker.trusted_since.find(id);
    if (trusted != tracker.trusted_since.end()) {
      zone.recent += now - trusted->second < kNewlyTrustedWindow ? 1 : 0;
    } else if (named.contains(id)) {
      zone.added.insert(id);
    }
  }
  return zones;
}

}  // namespace internal

std::optional<std::set<core::HostId>> ParseLeavingList(
    const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_array()) {
    return std::nullopt;
  }
  std::set<core::HostId> hosts;
  for (const auto& entry : json) {
    if (!entry.is_object() || !entry.contains("id") ||
        !entry["id"].is_string() || !entry.contains("state")) {
      return std::nullopt;
    }
    // A platform that does not support the `state` filter returns all hosts.
    if (entry["state"] == "leaving") {
      hosts.insert({entry["id"].get<std::string>()});
    }
  }
  return hosts;
}

std::set<core::ZoneName> UpdateLeaving(LeavingHostTracker& tracker,
                                       const std::set<core::HostId>& named,
                                       const state::FleetState& state,
                                       core::MonotonicTime now) {
  const auto zones = internal::CountByZone(tracker, named, state, now);
  std::set<core::ZoneName> doubted_zones;
  tracker.hosts.doubted.clear();
  for (const auto& [name, zone] : zones) {
    const bool doubted =
        !zone.added.empty() && zone.recent + zone.added.size() >
                                   internal::MaxNewlyTrusted(zone.admitted);
    if (doubted) {
      doubted_zones.insert(name);
      tracker.hosts.doubted.insert(zone.added.begin(), zone.added.end());
      continue;
    }
    for (const core::HostId& host : zone.added) {
      tracker.trusted_since.emplace(host, now);
    }
  }
  tracker.hosts.trusted.clear();
  for (const auto& [host, since] : tracker.trusted_since) {
    if (named.contains(host)) {
      tracker.hosts.trusted.insert(host);
    }
  }
  // A host that is no longer named still counts towards the maximum until the
  // window ends.
  std::erase_if(tracker.trusted_since, [&](const auto& item) {
    return !named.contains(item.first) &&
           now - item.second >= kNewlyTrustedWindow;
  });
  return doubted_zones;
}

}  // namespace camphormux::routing
