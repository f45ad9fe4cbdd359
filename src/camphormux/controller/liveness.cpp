#include "camphormux/controller/liveness.hpp"

#include <algorithm>

namespace camphormux::controller {

void UpdateZoneLiveness(const state::FleetState& state, core::MonotonicTime now,
                        ZoneLiveness& liveness) {
  for (const auto& [zone, lease] : state.leases) {
    const auto [known, added] =
        liveness.zones.try_emplace(zone, ZoneLiveness::Zone{lease, now});
    if (known->second.lease != lease) {
      known->second = {lease, now};
    }
  }
}

std::vector<core::ZoneName> CutOffZones(const ZoneLiveness& liveness,
                                        const core::ZoneName& own_zone,
                                        core::MonotonicTime log_read_at,
                                        core::MonotonicTime now) {
  if (now - log_read_at >= kZoneCutOff) {
    return {own_zone};
  }
  std::vector<core::ZoneName> zones;
  for (const auto& [name, zone] : liveness.zones) {
    if (now - zone.changed >= kZoneCutOff) {
      zones.push_back(name);
    }
  }
  return zones;
}

std::optional<core::ZoneName> LowestLiveZone(const ZoneLiveness& liveness,
                                             const core::ZoneName& own_zone,
                                             core::MonotonicTime log_read_at,
                                             core::MonotonicTime now) {
  const std::vector<core::ZoneName> cut_off =
      CutOffZones(liveness, own_zone, log_read_at, now);
  for (const auto& [name, zone] : liveness.zones) {
    if (std::find(cut_off.begin(), cut_off.end(), name) == cut_off.end()) {
      return name;
    }
  }
  return std::nullopt;
}

std::vector<GatewayView> CollectGatewayViews(
    const membership::View& view, const demand::ServiceIndexes& indexes) {
  std::vector<GatewayView> gateways;
  for (const auto& [id, member] : view.members) {
    if (member.identity.role != state::ProcessRole::kGateway) {
      continue;
    }
    gateways.push_back({id, member.identity.zone, member.report.applied,
                        member.health == membership::Health::kDead,
                        demand::DecodeSummary(member.report.payload, indexes)
                            .value_or(demand::Summary{}),
                        member.changed});
  }
  return gateways;
}

}  // namespace camphormux::controller
