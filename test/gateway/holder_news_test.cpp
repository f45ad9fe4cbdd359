#include "camphormux/gateway/holder_news.hpp"

#include <gtest/gtest.h>

namespace camphormux::gateway {
namespace {

using Names = std::set<core::ProcessId>;

state::FleetState TwoZones() {
  state::FleetState state;
  state.leases[{"a"}].holder = {"holder-a"};
  state.leases[{"b"}].holder = {"holder-b"};
  state::Host host;
  host.id = {"h"};
  host.zone = {"a"};
  host.phase = state::HostPhase::kAdmitted;
  state.hosts[host.id] = host;
  return state;
}

demand::Summary Load(double arrivals) {
  demand::Summary demand;
  demand.services[{"web"}].arrivals_per_s = arrivals;
  return demand;
}

void Drain(state::FleetState& state, std::uint64_t offset) {
  state.hosts.at({"h"}).phase = state::HostPhase::kDraining;
  state.hosts.at({"h"}).phase_offset = {offset};
}

// Guards against a drain that waits seconds for relayed reports, against a
// report of a drain that some thread has not applied, and against repeats.
TEST(HolderNewsTest, TellsTheZonesHolderOnceThatADrainIsApplied) {
  state::FleetState state = TwoZones();
  HolderNews news;
  EXPECT_EQ(HoldersToTell(state, {5}, Load(0), news).size(), 2U);
  Drain(state, 7);
  EXPECT_EQ(HoldersToTell(state, {7}, Load(0), news), Names{});
  EXPECT_EQ(HoldersToTell(state, {8}, Load(0), news), Names{{"holder-a"}});
  EXPECT_EQ(HoldersToTell(state, {9}, Load(0), news), Names{});
  Drain(state, 12);
  EXPECT_EQ(HoldersToTell(state, {13}, Load(0), news), Names{{"holder-a"}});
}

// Guards against a surge that reaches other zones seconds late, and against a
// message for each random change of a steady load.
TEST(HolderNewsTest, TellsAllHoldersOfAClearChangeOfLoad) {
  const state::FleetState state = TwoZones();
  HolderNews news;
  (void)HoldersToTell(state, {5}, Load(3), news);
  EXPECT_EQ(HoldersToTell(state, {5}, Load(8), news), Names{});
  const Names both{{"holder-a"}, {"holder-b"}};
  EXPECT_EQ(HoldersToTell(state, {5}, Load(57), news), both);
  EXPECT_EQ(HoldersToTell(state, {5}, Load(70), news), Names{});
  EXPECT_EQ(HoldersToTell(state, {5}, {}, news), both);
}

// Guards against a new holder that decides without the load of other zones.
TEST(HolderNewsTest, TellsANewHolder) {
  state::FleetState state = TwoZones();
  HolderNews news;
  (void)HoldersToTell(state, {5}, Load(50), news);
  state.leases.at({"b"}).holder = {"successor"};
  EXPECT_EQ(HoldersToTell(state, {5}, Load(50), news), Names{{"successor"}});
}

}  // namespace
}  // namespace camphormux::gateway
