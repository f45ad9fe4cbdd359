#include "camphormux/gateway/holder_news.hpp"

#include <algorithm>
#include <cmath>

namespace camphormux::gateway {
namespace internal {

/// A service's load changed clearly if it differs by this share of what was
/// told, and by this many standard deviations of random arrivals.
constexpr double kChangedShare = 0.3;
constexpr double kDeviations = 4.0;

double Load(const demand::Summary& demand, const core::ServiceName& service) {
  const auto found = demand.services.find(service);
  return found == demand.services.end()
             ? 0.0
             : found->second.arrivals_per_s + found->second.queued;
}

bool Differs(double told, double load) {
  const double change = std::abs(load - told);
  const double noise = kDeviations * std::sqrt(std::max({told, load, 1.0}));
  return change > kChangedShare * told && change > noise;
}

bool LoadChanged(const demand::Summary& told, const demand::Summary& demand) {
  const auto differs = [&](const auto& entry) {
    return Differs(Load(told, entry.first), Load(demand, entry.first));
  };
  return std::any_of(told.services.begin(), told.services.end(), differs) ||
         std::any_of(demand.services.begin(), demand.services.end(), differs);
}

/// Zones with a drain that was applied and that the holder was not told of.
std::set<core::ZoneName> ZonesWithNewDrains(const state::FleetState& state,
                                            core::LogOffset applied,
                                            const HolderNews& news) {
  std::set<core::ZoneName> zones;
  for (const auto& [id, host] : state.hosts) {
    if (host.phase != state::HostPhase::kDraining ||
        host.phase_offset >= applied) {
      continue;
    }
    const auto told = news.told.find(host.zone);
    if (told == news.told.end() || told->second.applied <= host.phase_offset) {
      zones.insert(host.zone);
    }
  }
  return zones;
}

}  // namespace internal

std::set<core::ProcessId> HoldersToTell(const state::FleetState& state,
                                        core::LogOffset applied,
                                        const demand::Summary& demand,
                                        HolderNews& news) {
  std::set<core::ProcessId> holders;
  const std::set<core::ZoneName> drains =
      internal::ZonesWithNewDrains(state, applied, news);
  for (const auto& [zone, lease] : state.leases) {
    const auto told = news.told.find(zone);
    const bool is_new =
        told == news.told.end() || told->second.holder != lease.holder;
    if (is_new || drains.contains(zone) ||
        internal::LoadChanged(told->second.demand, demand)) {
      news.told[zone] = {lease.holder, applied, demand};
      holders.insert(lease.holder);
    }
  }
  return holders;
}

}  // namespace camphormux::gateway
