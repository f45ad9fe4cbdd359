#include "camphormux/controller/watch.hpp"

namespace camphormux::controller {

void UpdateWatch(const state::FleetState& state, core::MonotonicTime now,
                 Watch& watch) {
  for (const auto& [zone, lease] : state.leases) {
    const auto [known, added] =
        watch.zones.try_emplace(zone, Watch::Zone{lease, now});
    if (known->second.lease != lease) {
      known->second = {lease, now};
    }
  }
  for (const auto& [id, presence] : state.presence) {
    if (presence.role == state::ProcessRole::kGateway) {
      watch.gateways.try_emplace(id, GatewayView{id, {}, now, {}});
    }
  }
  std::erase_if(watch.gateways, [&state](const auto& item) {
    return !state.presence.contains(item.first);
  });
}

std::vector<core::ZoneName> CutOffZones(const Watch& watch,
                                        const core::ZoneName& own_zone,
                                        core::MonotonicTime log_read,
                                        core::MonotonicTime now) {
  if (now - log_read >= kZoneCutOff) {
    return {own_zone};
  }
  std::vector<core::ZoneName> zones;
  for (const auto& [name, zone] : watch.zones) {
    if (now - zone.changed >= kZoneCutOff) {
      zones.push_back(name);
    }
  }
  return zones;
}

}  // namespace camphormux::controller
