#include "camphormux/gateway/lease_holder_reports.hpp"

#include <gtest/gtest.h>

namespace camphormux::gateway {
namespace {

using ProcessIds = std::set<core::ProcessId>;

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

// Guards against a drain that waits seconds for relayed heartbeats, against
// reporting a drain that some thread has not applied, and against repeated
// reports.
TEST(LeaseHolderReportsTest, ReportsAnAppliedDrainOnceToTheZonesHolder) {
  state::FleetState state = TwoZones();
  LeaseHolderReports reports;
  EXPECT_EQ(HoldersToReportTo(state, {5}, Load(0), reports).size(), 2U);
  Drain(state, 7);
  EXPECT_EQ(HoldersToReportTo(state, {7}, Load(0), reports), ProcessIds{});
  EXPECT_EQ(HoldersToReportTo(state, {8}, Load(0), reports),
            ProcessIds{{"holder-a"}});
  EXPECT_EQ(HoldersToReportTo(state, {9}, Load(0), reports), ProcessIds{});
  Drain(state, 12);
  EXPECT_EQ(HoldersToReportTo(state, {13}, Load(0), reports),
            ProcessIds{{"holder-a"}});
}

// Guards against a load surge that is reported to other zones seconds late, and
// against a message for each random change of a steady load.
TEST(LeaseHolderReportsTest, ReportsALargeLoadChangeToAllHolders) {
  const state::FleetState state = TwoZones();
  LeaseHolderReports reports;
  (void)HoldersToReportTo(state, {5}, Load(3), reports);
  EXPECT_EQ(HoldersToReportTo(state, {5}, Load(8), reports), ProcessIds{});
  const ProcessIds both{{"holder-a"}, {"holder-b"}};
  EXPECT_EQ(HoldersToReportTo(state, {5}, Load(57), reports), both);
  EXPECT_EQ(HoldersToReportTo(state, {5}, Load(70), reports), ProcessIds{});
  EXPECT_EQ(HoldersToReportTo(state, {5}, {}, reports), both);
}

// Guards against a new lease holder that decides without the load of other
// zones.
TEST(LeaseHolderReportsTest, ReportsToANewHolder) {
  state::FleetState state = TwoZones();
  LeaseHolderReports reports;
  (void)HoldersToReportTo(state, {5}, Load(50), reports);
  state.leases.at({"b"}).holder = {"successor"};
  EXPECT_EQ(HoldersToReportTo(state, {5}, Load(50), reports),
            ProcessIds{{"successor"}});
}

}  // namespace
}  // namespace camphormux::gateway
