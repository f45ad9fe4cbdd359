#include "camphormux/maintenance/maintenance.hpp"

#include <string>

#include <gtest/gtest.h>

namespace camphormux::maintenance {
namespace {

using state::DrainReason;
using state::HostPhase;

/// Two pools over three racks of four hosts, all overdue at hour 500.
MaintenanceInput MakeInput() {
  MaintenanceInput input;
  for (int i = 0; i < 12; ++i) {
    state::Host host;
    host.id = {"h" + std::to_string(100 + i)};
    host.rack = {"r" + std::to_string(i / 4)};
    host.pool = core::PoolName{i % 2 == 0 ? "x" : "y"};
    host.phase = HostPhase::kAdmitted;
    input.hosts.push_back(host);
  }
  input.budgets = {{{"x"}, 2, 3, 0.5, false}, {{"y"}, 2, 3, 0.5, false}};
  input.now = core::WallTime{} + std::chrono::hours(500);
  return input;
}

void StartMaintenance(MaintenanceInput& input, std::size_t host,
                      HostPhase phase) {
  input.hosts[host].phase = phase;
  input.hosts[host].drain_reason = DrainReason::kMaintenance;
}

// Guards against a wave over several racks at once.
TEST(DecideMaintenanceTest, DrainsOneRackWithinTheBudgets) {
  MaintenanceInput input = MakeInput();
  const MaintenanceDecision decision = DecideMaintenance(input);
  ASSERT_EQ(decision.drains.size(), 4U);
  for (const Drain& drain : decision.drains) {
    EXPECT_EQ(drain.rack.value, "r0");
    EXPECT_GT(drain.available, drain.minimum);
  }
  EXPECT_EQ(decision.postponed.at(0).cause, PostponeCause::kRacks);
}

// Guards against a wave that takes what budget or demand needs, and against
// waiting forever for a pool without slack.
TEST(DecideMaintenanceTest, PostponesForBudgetDemandAndSurge) {
  MaintenanceInput input = MakeInput();
  input.budgets[0].floor = 6;
  input.budgets[1].surging = true;
  const MaintenanceDecision decision = DecideMaintenance(input);
  EXPECT_TRUE(decision.drains.empty());
  EXPECT_EQ(decision.postponed.at(0).cause, PostponeCause::kBudget);
  EXPECT_EQ(decision.postponed.at(0).minimum, 6);
  EXPECT_EQ(decision.postponed.at(1).cause, PostponeCause::kSurge);
  ASSERT_EQ(decision.reserve.size(), 1U);
  EXPECT_EQ(decision.reserve[0].value, "x");
}

// Guards against a wave that goes on while a rack is down.
TEST(DecideMaintenanceTest, StopsAndGivesBackWhenARackFails) {
  MaintenanceInput input = MakeInput();
  StartMaintenance(input, 0, HostPhase::kDraining);
  StartMaintenance(input, 1, HostPhase::kEmpty);
  input.missing = {input.hosts[8].id, input.hosts[9].id};
  const MaintenanceDecision decision = DecideMaintenance(input);
  EXPECT_TRUE(decision.stopped);
  EXPECT_TRUE(decision.drains.empty());
  EXPECT_TRUE(decision.reboots.empty());
  ASSERT_EQ(decision.give_backs.size(), 2U);
  EXPECT_EQ(decision.give_backs[0].cause, GiveBackCause::kRackFailed);
}

// Guards against rebooting what a surge needs, and against stopping for hosts
// that are down for their own maintenance.
TEST(DecideMaintenanceTest, RebootsEmptyHostsUnlessDemandWantsThemBack) {
  MaintenanceInput input = MakeInput();
  StartMaintenance(input, 0, HostPhase::kEmpty);
  StartMaintenance(input, 1, HostPhase::kEmpty);
  input.rebooting = {input.hosts[1].id};
  input.missing = {input.hosts[1].id};
  EXPECT_EQ(DecideMaintenance(input).reboots.size(), 1U);
  input.budgets[0].needed = 6;
  const MaintenanceDecision decision = DecideMaintenance(input);
  EXPECT_TRUE(decision.reboots.empty());
  ASSERT_EQ(decision.give_backs.size(), 1U);
  EXPECT_EQ(decision.give_backs[0].cause, GiveBackCause::kSurge);
}

// Guards against reboots in answer to a correlated failure.
TEST(DecideMaintenanceTest, StartsNothingWhenManyHostsAreMissing) {
  MaintenanceInput input = MakeInput();
  StartMaintenance(input, 1, HostPhase::kEmpty);
  input.missing = {input.hosts[0].id, input.hosts[4].id, input.hosts[8].id};
  const MaintenanceDecision decision = DecideMaintenance(input);
  EXPECT_TRUE(decision.drains.empty());
  EXPECT_TRUE(decision.reboots.empty());
  EXPECT_EQ(decision.give_backs.size(), 1U);
}

// Guards against a miss of the period that operators learn of too late.
TEST(DecideMaintenanceTest, ForecastsAMissDaysAhead) {
  MaintenanceInput input = MakeInput();
  input.now = core::WallTime{} + std::chrono::hours(21 * 24 - 100);
  EXPECT_FALSE(DecideMaintenance(input).forecast.has_value());
  input.host_duration = std::chrono::hours(40);
  const MaintenanceDecision decision = DecideMaintenance(input);
  ASSERT_TRUE(decision.forecast.has_value());
  EXPECT_GT(decision.forecast->expected, decision.forecast->deadline);
  EXPECT_EQ(decision.forecast->late_hosts, 4);
}

}  // namespace
}  // namespace camphormux::maintenance
