#include "camphormux/sizing/zones.hpp"

#include <algorithm>
#include <cstdint>
#include <numeric>

namespace camphormux::sizing::internal {
namespace {

struct ZoneEntry {
  const text::Service* service;
  ZoneSize* size;
};

std::vector<core::ZoneName> LiveZones(const SizingInput& input,
                                      const text::Service& service) {
  std::vector<core::ZoneName> zones;
  for (const auto& [name, zone] : input.text->zones) {
    const bool allowed = service.zones.empty() ||
                         std::find(service.zones.begin(), service.zones.end(),
                                   name) != service.zones.end();
    const auto usable = input.usable_hosts.find(name);
    if (allowed && usable != input.usable_hosts.end() && usable->second > 0) {
      zones.push_back(name);
    }
  }
  return zones;
}

int Reserve(const SizingInput& input, const core::PoolName& pool,
            const core::ZoneName& zone) {
  const auto by_zone = input.maintenance_reserve.find(pool);
  if (by_zone == input.maintenance_reserve.end()) {
    return 0;
  }
  const auto reserve = by_zone->second.find(zone);
  return reserve == by_zone->second.end() ? 0 : reserve->second;
}

void DivideService(const SizingInput& input, const text::Service& service,
                   const TotalSize& total, std::size_t first,
                   ServiceSize& size) {
  const std::vector<core::ZoneName> zones = LiveZones(input, service);
  if (zones.empty()) {
    return;
  }
  std::vector<int> weights;
  weights.reserve(zones.size());
  for (const core::ZoneName& zone : zones) {
    weights.push_back(input.usable_hosts.at(zone));
  }
  const std::vector<int> needed = Apportion(total.needed, weights, first);
  const std::vector<int> wanted = Apportion(total.wanted, weights, first);
  const std::vector<int> expected = Apportion(total.expected, weights, first);
  // Rounding up makes the zones' floors add up to at least min_hosts, so that
  // the controllers of the zones need not coordinate.
  const int count = static_cast<int>(zones.size());
  const int floor = (service.min_hosts + count - 1) / count;
  for (std::size_t i = 0; i < zones.size(); ++i) {
    const int reserve = Reserve(input, service.pool, zones[i]);
    ZoneSize& zone = size.zones[zones[i]];
    zone.floor = floor;
    zone.reserve = reserve;
    zone.needed = std::max(floor, needed[i]) + reserve;
    zone.wanted = std::max(zone.needed, wanted[i] + reserve);
    zone.expected = expected[i];
  }
}

/// Takes one host from the service of the lowest priority whose size is above
/// its floor; among equal priorities from the one furthest above it.
bool ReduceOne(std::vector<ZoneEntry>& entries) {
  ZoneEntry* best = nullptr;
  for (ZoneEntry& entry : entries) {
    if (entry.size->needed <= entry.size->floor) {
      continue;
    }
    const bool better = best == nullptr ||
                        entry.service->priority < best->service->priority ||
                        (entry.service->priority == best->service->priority &&
                         entry.size->needed - entry.size->floor >
                             best->size->needed - best->size->floor);
    best = better ? &entry : best;
  }
  if (best == nullptr) {
    return false;
  }
  --best->size->needed;
  best->size->reduced = true;
  return true;
}

void FitZone(int usable, std::vector<ZoneEntry>& entries) {
  int sum = 0;
  for (const ZoneEntry& entry : entries) {
    sum += entry.size->needed;
  }
  while (sum > usable && ReduceOne(entries)) {
    --sum;
  }
}

}  // namespace

std::vector<int> Apportion(int total, const std::vector<int>& weights,
                           std::size_t first) {
  const std::int64_t sum =
      std::accumulate(weights.begin(), weights.end(), std::int64_t{0});
  std::vector<int> parts(weights.size(), 0);
  if (sum <= 0) {
    return parts;
  }
  std::vector<std::size_t> order(weights.size());
  int left = total;
  for (std::size_t i = 0; i < weights.size(); ++i) {
    parts[i] = static_cast<int>(std::int64_t{total} * weights[i] / sum);
    left -= parts[i];
    order[i] = (first + i) % weights.size();
  }
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t a, std::size_t b) {
                     return std::int64_t{total} * weights[a] % sum >
                            std::int64_t{total} * weights[b] % sum;
                   });
  for (int i = 0; i < left; ++i) {
    ++parts[order[static_cast<std::size_t>(i) % order.size()]];
  }
  return parts;
}

void DivideOverZones(const SizingInput& input,
                     const std::map<core::ServiceName, TotalSize>& totals,
                     Sizes& sizes) {
  std::size_t index = 0;
  for (const auto& [name, total] : totals) {
    const text::Service& service = input.text->services.at(name);
    DivideService(input, service, total, index++, sizes.services[name]);
  }
  for (const auto& [zone, usable] : input.usable_hosts) {
    std::vector<ZoneEntry> entries;
    for (auto& [name, size] : sizes.services) {
      const auto found = size.zones.find(zone);
      if (found != size.zones.end()) {
        entries.push_back({&input.text->services.at(name), &found->second});
      }
    }
    FitZone(usable, entries);
  }
}

}  // namespace camphormux::sizing::internal
