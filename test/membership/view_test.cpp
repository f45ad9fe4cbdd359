#include "camphormux/membership/view.hpp"

#include <gtest/gtest.h>

#include "test/membership/simulation.hpp"

namespace camphormux::membership {
namespace {

using simulation::Fleet;
using simulation::MakeFleet;
using simulation::SeenAs;
using simulation::Steps;

// Guards against processes that are not found from one seed.
TEST(ViewTest, AllProcessesFindEachOther) {
  Fleet fleet = MakeFleet(30, 3, 48, 1);
  Steps(fleet, 60);
  for (const auto& process : fleet.processes) {
    EXPECT_EQ(process.view.members.size(), 29U);
    EXPECT_TRUE(UnreachableZones(process.view, fleet.now).empty());
    for (const auto& [id, member] : process.view.members) {
      EXPECT_GT(member.report.sequence, 0U) << id.value;
    }
  }
}

// Guards against processes that are declared dead because heartbeats are lost.
TEST(ViewTest, DoesNotFlapWhenAFifthOfHeartbeatsIsLost) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    for (const std::size_t size : {6, 14, 30}) {
      Fleet fleet = MakeFleet(size, 3, 48, seed);
      Steps(fleet, 30);
      fleet.loss = 0.2;
      fleet.counts = {};
      Steps(fleet, 600);
      EXPECT_EQ(fleet.counts.deaths, 0U) << "seed " << seed << ", " << size;
    }
  }
}

// Guards against a dead process that is not noticed, also where most observers
// do not exchange heartbeats with it, and against its return being ignored.
TEST(ViewTest, FindsADeadProcessAndItsReturn) {
  Fleet fleet = MakeFleet(40, 2, 48, 7);
  Steps(fleet, 40);
  const Identity dead = fleet.processes[17].view.self;
  fleet.processes[17].running = false;
  Steps(fleet, 20);
  EXPECT_EQ(SeenAs(fleet, dead.process, Health::kDead), 39U);
  EXPECT_EQ(fleet.counts.deaths, 0U);

  Identity restarted = dead;
  restarted.incarnation = {dead.incarnation.value + 1};
  fleet.processes[17].view = MakeView(
      restarted, {fleet.processes[0].view.self.address}, {}, fleet.now);
  fleet.processes[17].running = true;
  Steps(fleet, 20);
  EXPECT_EQ(SeenAs(fleet, dead.process, Health::kAlive), 39U);
}

// Guards against a paused process that stays dead after it woke, and against
// one that declares all others dead when it wakes.
TEST(ViewTest, APausedProcessRefutesItsDeath) {
  Fleet fleet = MakeFleet(6, 1, 48, 7);
  Steps(fleet, 20);
  const core::ProcessId paused = fleet.processes[3].view.self.process;
  fleet.processes[3].running = false;
  Steps(fleet, 30);
  EXPECT_EQ(SeenAs(fleet, paused, Health::kDead), 5U);
  fleet.processes[3].running = true;
  Steps(fleet, 30);
  EXPECT_EQ(SeenAs(fleet, paused, Health::kAlive), 5U);
  for (const auto& [id, member] : fleet.processes[3].view.members) {
    EXPECT_EQ(member.health, Health::kAlive) << id.value;
  }
  EXPECT_GT(fleet.processes[3].view.self.incarnation.value, 1U);
}

// Guards against a partition that is taken for the death of a zone, and
// against zones that do not find each other when it heals.
TEST(ViewTest, APartitionedZoneIsUnreachableNotDead) {
  Fleet fleet = MakeFleet(12, 3, 48, 7);
  Steps(fleet, 30);
  const core::ZoneName cut{"zone-1"};
  fleet.connected = [&cut](const core::ZoneName& a, const core::ZoneName& b) {
    return (a == cut) == (b == cut);
  };
  Steps(fleet, 120);
  EXPECT_EQ(fleet.counts.deaths, 0U);
  for (const auto& process : fleet.processes) {
    const std::size_t expected = process.view.self.zone == cut ? 2 : 1;
    EXPECT_EQ(UnreachableZones(process.view, fleet.now).size(), expected);
  }
  fleet.connected = [](const auto&, const auto&) { return true; };
  Steps(fleet, 30);
  for (const auto& process : fleet.processes) {
    EXPECT_TRUE(UnreachableZones(process.view, fleet.now).empty());
    EXPECT_EQ(SeenAs(fleet, process.view.self.process, Health::kAlive), 11U);
  }
}

// Guards against heartbeats that grow with the fleet.
TEST(ViewTest, BoundsTheSizeOfHeartbeats) {
  Fleet fleet = MakeFleet(100, 4, 48, 7);
  fleet.loss = 0.2;
  Steps(fleet, 20);
  for (auto& process : fleet.processes) {
    const Heartbeat heartbeat =
        MakeHeartbeat(process.view, std::nullopt, nullptr, fleet.now);
    EXPECT_LE(heartbeat.changes.size(), process.view.config.max_changes);
    EXPECT_LE(Encode(heartbeat).size(), 1024U);
  }
}

}  // namespace
}  // namespace camphormux::membership
