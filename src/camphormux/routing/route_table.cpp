#include "camphormux/routing/route_table.hpp"

#include <algorithm>
#include <map>

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
  // In an operator text each service has a pool of its own, so a pool maps to
  // one service and one pass over the hosts is enough.
  std::map<core::PoolName, ServiceRoutes*> routes_of_pool;
  for (const auto& [name, service] : state.text.parsed->services) {
    ServiceRoutes& routes = table.services[name];
    routes.service = service;
    routes_of_pool.emplace(service.pool, &routes);
  }
  for (const auto& [id, host] : state.hosts) {
    if (host.phase != state::HostPhase::kAdmitted || !host.pool) {
      continue;
    }
    const auto found = routes_of_pool.find(*host.pool);
    if (found != routes_of_pool.end() &&
        internal::ServesZone(found->second->service, host.zone)) {
      found->second->endpoints.push_back(
          {id, host.zone, host.address, host.generation, host.phase_offset});
    }
  }
  return table;
}

}  // namespace camphormux::routing
