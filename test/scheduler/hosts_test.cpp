#include "camphormux/scheduler/hosts.hpp"

#include <gtest/gtest.h>

#include "test/scheduler/fleet.hpp"

namespace camphormux::scheduler {
namespace {

Fleet SmallFleet() {
  Fleet fleet;
  fleet.AddQueue("q", "pool");
  fleet.AddHosts("pool", 2);
  return fleet;
}

// Guards against keeping runs of a host that has restarted and lost them.
TEST(HostsTest, NewIncarnationOfAHostEndsItsRuns) {
  Fleet fleet = SmallFleet();
  (void)fleet.Submit(MakeJob(1, "q", 1, 4, core::Millis(5000)));
  fleet.Advance(core::Millis(20));
  ASSERT_EQ(fleet.state.runs.size(), 1U);
  for (HostListing& listing : fleet.listings) {
    listing.incarnation.value = 2;
  }
  ApplyListings(fleet.state, fleet.listings, fleet.now, fleet.now);
  EXPECT_TRUE(fleet.state.runs.empty());
}

// Guards against abandoning work because the list of hosts was unavailable.
TEST(HostsTest, MissingHostIsKeptUntilTheListIsTrusted) {
  Fleet fleet = SmallFleet();
  ApplyListings(fleet.state, {}, fleet.now, fleet.now + core::Millis(2500));
  CheckHosts(fleet.state, fleet.now + core::Millis(2000));
  EXPECT_EQ(fleet.state.hosts.size(), 2U);
  ApplyListings(fleet.state, fleet.listings, fleet.now, fleet.now);
  CheckHosts(fleet.state, fleet.now + core::Millis(3000));
  EXPECT_EQ(fleet.state.hosts.size(), 2U);
  ApplyListings(fleet.state, {}, fleet.now, fleet.now);
  CheckHosts(fleet.state, fleet.now + core::Millis(3000));
  EXPECT_TRUE(fleet.state.hosts.empty());
}

// Guards against a faulty host that attracts all tasks: it fails each one
// quickly, so it always has free resources.
TEST(HostsTest, AHostThatFailsSeveralJobsIsQuarantined) {
  Fleet fleet = SmallFleet();
  Host& host = fleet.state.hosts.begin()->second;
  RecordFailure(fleet.state, host, {"a"}, fleet.now);
  RecordFailure(fleet.state, host, {"a"}, fleet.now);
  RecordFailure(fleet.state, host, {"b"}, fleet.now);
  EXPECT_TRUE(IsUsable(host, fleet.now));
  RecordFailure(fleet.state, host, {"c"}, fleet.now);
  EXPECT_FALSE(IsUsable(host, fleet.now));
  EXPECT_TRUE(IsUsable(host, fleet.now + core::Millis(3001)));
}

// Guards against starting tasks on a host that is about to leave.
TEST(HostsTest, ADrainingHostGetsNoRuns) {
  Fleet fleet = SmallFleet();
  for (HostListing& listing : fleet.listings) {
    listing.draining = true;
  }
  fleet.Publish();
  (void)fleet.Submit(MakeJob(1, "q", 1, 4, core::Millis(100)));
  fleet.Advance(core::Millis(100));
  EXPECT_TRUE(fleet.running.empty());
}

// Guards against counting a moved machine as an idle host of its old pool while
// the list still contains its previous incarnation.
TEST(HostsTest, EndedIncarnationIsNotAddedAgainWhileListed) {
  Fleet fleet;
  fleet.AddQueue("q", "pool");
  fleet.AddHosts("pool", 2);
  const HostListing listing = fleet.listings[0];
  RemoveHost(fleet.state, listing.id, EndEvidence::kMachineOrdered);
  ApplyListings(fleet.state, fleet.listings, fleet.now, fleet.now);
  EXPECT_FALSE(fleet.state.hosts.contains(listing.id));
  // Another incarnation under the same id is a new host.
  fleet.listings[0].incarnation.value = 2;
  ApplyListings(fleet.state, fleet.listings, fleet.now, fleet.now);
  EXPECT_TRUE(fleet.state.hosts.contains(listing.id));
  // Once the list no longer contains the incarnation, its entry is removed.
  std::erase_if(fleet.listings, [&](const HostListing& other) {
    return other.id == listing.id;
  });
  ApplyListings(fleet.state, fleet.listings, fleet.now, fleet.now);
  EXPECT_TRUE(fleet.state.ended_incarnations.empty());
}

}  // namespace
}  // namespace camphormux::scheduler
