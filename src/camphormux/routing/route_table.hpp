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
  core::LogOffset phase_offset;  ///< Of the record that admitted the host.
};

/// @brief A service and the endpoints that may receive its requests.
struct ServiceRoutes {
  text::Service service;
  std::vector<Endpoint> endpoints;  ///< Ordered by host id.
};

/// @brief The part of the fleet state that traffic threads need; immutable once
/// published.
struct RouteTable {
  core::LogOffset next;  ///< First log offset not included in the table.
  core::Revision revision;
  std::map<core::ServiceName, ServiceRoutes> services;
};

/// @brief Derives the route table from the fleet state.
/// @param state The fleet state.
/// @return The table; it has no services until an operator text is accepted.
[[nodiscard]] RouteTable BuildRouteTable(const state::FleetState& state);

}  // namespace camphormux::routing

#endif  // CAMPHORMUX_ROUTING_ROUTE_TABLE_HPP_
