#include "camphormux/routing/route_table.hpp"

#include <algorithm>

namespace camphormux::routing {
namespace internal {

bool ServesZone(const text::Service& service, const core::ZoneName& zone) {
  return service.zones.empty() ||
         std::find(service.zones.begin(), service.zones.end(), zone) !=
             service.zones.end();
}

}  // namespace internal

RouteTable BuildRouteTable(const state::FleetState& state) {
  RouteTable table;
  table.next = state.next;
  table.revision = state.text.revision;
  if (!state.text.parsed) {
    return table;
  }
  for (const auto& [name, service] : state.text.parsed->services) {
    ServiceRoutes& routes = table.services[name];
    routes.service = service;
    for (const auto& [id, host] : state.hosts) {
      if (host.phase == state::HostPhase::kAdmitted &&
          host.pool == service.pool &&
          internal::ServesZone(service, host.zone)) {
        routes.endpoints.push_back(
            {id, host.zone, host.address, host.generation, host.phase_offset});
      }
    }
  }
  return table;
}

}  // namespace camphormux::routing
