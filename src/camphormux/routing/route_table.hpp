#ifndef CAMPHORMUX_ROUTING_ROUTE_TABLE_HPP_
#define CAMPHORMUX_ROUTING_ROUTE_TABLE_HPP_

#include <cstdint>
#include <map>
#include <vector>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/units.hpp"
#include "camphormux/state/fleet_state.hpp"
#include "camphormux/text/operator_text.hpp"

namespace camphormux::routing {

/// @brief An admitted host of a service's pool.
struct Endpoint {
  core::HostId host;
  core::ZoneName zone;
  core::Address address;
  core::Generation generation;
  core::LogOffset phase_offset;  ///< Record that admitted the host.
};

/// @brief A service and where its requests may go.
struct ServiceRoutes {
  text::Service service;
  std::vector<Endpoint> endpoints;  ///< In the order of host ids.
};

/// @brief What traffic threads need of the fleet state; immutable once
/// published.
struct RouteTable {
  core::LogOffset next;  ///< First log offset that the table does not include.
  core::Revision revision;
  std::map<core::ServiceName, ServiceRoutes> services;
};

/// @brief Derives the routes from the fleet state.
/// @param state The fleet state.
/// @return The routes; without services until a text is accepted.
[[nodiscard]] RouteTable BuildRouteTable(const state::FleetState& state);

}  // namespace camphormux::routing

#endif  // CAMPHORMUX_ROUTING_ROUTE_TABLE_HPP_
