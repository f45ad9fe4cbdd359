#include "camphormux/routing/route_table.hpp"

#include <memory>

#include <gtest/gtest.h>

namespace camphormux::routing {
namespace {

// Guards against routing requests to hosts that are not admitted, belong to
// another pool or are outside the service's zones.
TEST(RouteTableTest, ListsAdmittedHostsOfThePoolOnly) {
  state::FleetState state;
  auto text = std::make_shared<text::OperatorText>();
  text::Service& service = text->services[{"venue"}];
  service.name = {"venue"};
  service.pool = {"venue"};
  service.zones = {{"a"}};
  state.text.parsed = text;
  const auto add = [&](const std::string& id, const std::string& zone,
                       const std::string& pool, state::HostPhase phase) {
    state::Host& host = state.hosts[{id}];
    host.id = {id};
    host.zone = {zone};
    host.pool = core::PoolName{pool};
    host.phase = phase;
  };
  using state::HostPhase;
  add("admitted", "a", "venue", HostPhase::kAdmitted);
  add("assigned", "a", "venue", HostPhase::kAssigned);
  add("draining", "a", "venue", HostPhase::kDraining);
  add("empty", "a", "venue", HostPhase::kEmpty);
  add("other-pool", "a", "freight", HostPhase::kAdmitted);
  add("other-zone", "b", "venue", HostPhase::kAdmitted);
  const RouteTable table = BuildRouteTable(state);
  const auto& endpoints = table.services.at({"venue"}).endpoints;
  ASSERT_EQ(endpoints.size(), 1U);
  EXPECT_EQ(endpoints[0].host.value, "admitted");
}

}  // namespace
}  // namespace camphormux::routing
