#include "camphormux/gateway/lease_holder_reports.hpp"

#include <algorithm>
#include <cmath>

namespace camphormux::gateway {
namespace internal {

/// The load of a service changed significantly if it differs from the last
/// reported load by more than this fraction of it, and by more than this many
/// standard deviations of random arrivals.
constexpr double kMinRelativeChange = 0.3;
constexpr double kMinDeviations = 4.0;

double Load(const demand::Summary& demand, const core::ServiceName& service) {
  const auto found = demand.services.find(service);
  return found == demand.services.end()
             ? 0.0
             : found->second.arrivals_per_s + found->second.queued;
}

bool Differs(double sent, double load) {
  const double change = std::abs(load - sent);
  const double random_change =
      kMinDeviations * std::sqrt(std::max({sent, load, 1.0}));
  return change > kMinRelativeChange * sent && change > random_change;
}

bool LoadChanged(const demand::Summary& sent, const demand::Summary& demand) {
  const auto differs = [&](const auto& entry) {
    return Differs(Load(sent, entry.first), Load(demand, entry.first));
  };
  return std::any_of(sent.services.begin(), sent.services.end(), differs) ||
         std::any_of(demand.services.begin(), demand.services.end(), differs);
}

/// Returns the zones with an applied drain that was not reported to their lease
/// holder yet.
std::set<core::ZoneName> ZonesWithNewDrains(const state::FleetState& state,
                                            core::LogOffset applied,
                                            const LeaseHolderReports& reports) {
  std::set<core::ZoneName> zones;
  for (const auto& [id, host] : state.hosts) {
    if (host.phase != state::HostPhase::kDraining ||
        host.phase_offset >= applied) {
      continue;
    }
    const auto sent = reports.sent.find(host.zone);
    if (sent == reports.sent.end() ||
        sent->second.applied <= host.phase_offset) {
      zones.insert(host.zone);
    }
  }
  return zones;
}

}  // namespace internal

std::set<core::ProcessId> HoldersToReportTo(const state::FleetState& state,
                                            core::LogOffset applied,
                                            const demand::Summary& demand,
                                            LeaseHolderReports& reports) {
  std::set<core::ProcessId> holders;
  const std::set<core::ZoneName> drains =
      internal::ZonesWithNewDrains(state, applied, reports);
  for (const auto& [zone, lease] : state.leases) {
    const auto sent = reports.sent.find(zone);
    const bool is_new =
        sent == reports.sent.end() || sent->second.holder != lease.holder;
    if (is_new || drains.contains(zone) ||
        internal::LoadChanged(sent->second.demand, demand)) {
      reports.sent[zone] = {lease.holder, applied, demand};
      holders.insert(lease.holder);
    }
  }
  return holders;
}

}  // namespace camphormux::gateway
