#include "camphormux/scheduler/balance.hpp"

#include <algorithm>

#include <gtest/gtest.h>

#include "camphormux/scheduler/arrivals.hpp"
#include "camphormux/scheduler/hosts.hpp"
#include "camphormux/scheduler/jobs.hpp"
#include "camphormux/scheduler/upkeep.hpp"
#include "test/scheduler/fleet.hpp"

namespace camphormux::scheduler {
namespace {

std::size_t CountMovesTo(const Fleet& fleet, const std::string& pool) {
  return static_cast<std::size_t>(std::count_if(
      fleet.sent.begin(), fleet.sent.end(), [&](const Order& order) {
        const auto* move = std::get_if<MoveMachine>(&order);
        return move != nullptr && move->pool.value == pool;
      }));
}

// Guards against moving a machine that still has a run.
TEST(BalanceTest, OnlyMachinesWithoutRunsMove) {
  Fleet fleet;
  fleet.AddQueue("q", "busy");
  fleet.AddQueue("p", "rich");
  fleet.AddHosts("busy", 1);
  fleet.AddHosts("rich", 6);
  (void)fleet.Submit(MakeJob(1, "p", 4, 40, core::Millis(60'000)));
  fleet.Advance(core::Millis(100));
  (void)fleet.Submit(MakeJob(2, "q", 20, 40, core::Millis(2000)));
  fleet.Advance(core::Millis(3000));
  EXPECT_EQ(fleet.CountStarts(MakeJob(1, "p", 1, 1, {}).id.value), 4U);
  EXPECT_EQ(fleet.state.jobs.count(MakeJob(1, "p", 1, 1, {}).id), 1U);
}

// Guards against parking hosts during a store outage, when no job can be
// stored, just before the callers retry.
TEST(BalanceTest, PoolThatRejectsSubmissionsKeepsItsIdleHosts) {
  Fleet fleet;
  fleet.AddQueue("q", "pool");
  fleet.AddQueue("other", "calm");
  fleet.AddStandbyPool("spare");
  fleet.AddHosts("pool", 8);
  fleet.AddHosts("calm", 8);
  for (int i = 0; i < 60; ++i) {
    RecordRejectedSubmission(fleet.state, MakeJob(1, "q", 1, 1, {}), fleet.now);
    fleet.Advance(core::Millis(100));
  }
  std::size_t kept = 0;
  for (const MachineListing& machine : fleet.machines) {
    kept += machine.pool.value == "pool" ? 1U : 0U;
  }
  EXPECT_EQ(kept, 8U);
  EXPECT_GT(CountMovesTo(fleet, "spare"), 0U);
}

// Guards against ordering hosts only once the pool is full, which delays the
// first jobs of a surge. Hosts are ordered as soon as the arrival rate exceeds
// the pool's capacity.
TEST(BalanceTest, HostsAreOrderedBeforeThePoolIsFull) {
  Fleet fleet;
  fleet.AddQueue("q", "pool");
  fleet.AddStandbyPool("spare");
  fleet.AddHosts("pool", 4);
  fleet.AddHosts("spare", 8);
  for (std::uint64_t i = 1; i <= 20; ++i) {
    (void)fleet.Submit(MakeJob(i, "q", 1, 10, core::Millis(2000)));
    fleet.Advance(core::Millis(10));
  }
  std::int64_t free = 0;
  for (const auto& [id, host] : fleet.state.hosts) {
    free +=
        host.listing.pool.value == "pool" ? FreeResources(host).cores.value : 0;
  }
  EXPECT_GT(free, 0);
  EXPECT_GT(CountMovesTo(fleet, "pool"), 0U);
  EXPECT_GT(CurrentArrivalRate(fleet.state, {"pool"}, fleet.now), 256.0);
  EXPECT_LT(
      CurrentArrivalRate(fleet.state, {"pool"}, fleet.now + core::Millis(5000)),
      1.0);
}

// Guards against permanent tasks that wait although their pool has free cores:
// with at most one task per host, each needs a host of its own.
TEST(BalanceTest, HostsAreAddedForTasksLimitedPerHost) {
  Fleet fleet;
  fleet.AddQueue("q", "pool");
  fleet.AddStandbyPool("spare");
  fleet.AddHosts("pool", 4);
  fleet.AddHosts("spare", 30);
  workload::JobSpec job = MakeJob(1, "q", 24, 2, core::Millis(1000));
  job.steps[0].permanent = true;
  job.steps[0].max_per_host = 1;
  (void)fleet.Submit(job);
  fleet.Advance(core::Millis(5000));
  EXPECT_EQ(fleet.CountStarts(job.id.value), 24U);
}

// Guards against a surge that waits for its hosts although the platform accepts
// more moves per second.
TEST(BalanceTest, MovesKeepUpWithTheLimitOfThePlatform) {
  for (const std::uint32_t limit : {64U, 300U}) {
    Fleet fleet;
    fleet.state.settings.machine_orders_per_second = limit;
    fleet.AddQueue("q", "pool");
    fleet.AddStandbyPool("spare");
    fleet.AddHosts("pool", 4);
    fleet.AddHosts("spare", 200);
    for (std::uint64_t i = 1; i <= 100; ++i) {
      (void)fleet.Submit(MakeJob(i, "q", 8, 20, core::Millis(2000)));
    }
    fleet.Advance(core::Millis(1000));
    const std::size_t moves = CountMovesTo(fleet, "pool");
    EXPECT_GE(moves, limit / 2);
    EXPECT_LE(moves, limit + limit / 2);
  }
}

// Guards against powering on a host while another pool pays for idle ones,
// which are parked later.
TEST(BalanceTest, IdleHostsOfOtherPoolsMoveBeforeStandbyOnes) {
  Fleet fleet;
  fleet.AddQueue("q", "pool");
  fleet.AddQueue("other", "calm");
  fleet.AddStandbyPool("spare");
  fleet.AddHosts("pool", 4);
  fleet.AddHosts("calm", 6);
  fleet.AddHosts("spare", 20);
  (void)fleet.Submit(MakeJob(1, "q", 16, 20, core::Millis(100)));
  fleet.Advance(core::Millis(10));
  std::size_t from_calm = 0;
  for (const Order& order : fleet.sent) {
    const auto* move = std::get_if<MoveMachine>(&order);
    from_calm +=
        move != nullptr && move->machine.value.starts_with("m-calm") ? 1U : 0U;
  }
  EXPECT_GT(from_calm, 0U);
  EXPECT_EQ(CountMovesTo(fleet, "pool"), from_calm);
}

// Guards against paying for idle hosts.
TEST(BalanceTest, IdleHostsGoToTheStandbyPool) {
  Fleet fleet;
  fleet.AddQueue("q", "pool");
  fleet.AddStandbyPool("spare");
  fleet.AddHosts("pool", 8);
  fleet.Advance(core::Millis(6000));
  EXPECT_GT(CountMovesTo(fleet, "spare"), 0U);
  EXPECT_LT(CountMovesTo(fleet, "spare"), 8U);
}

// Guards against parked machines that cannot be used for seconds because their
// move is not seen to complete: a standby pool has no hosts whose listing would
// show it.
TEST(BalanceTest, AParkedMachineCanReturnAtOnce) {
  Fleet fleet;
  fleet.AddQueue("q", "pool");
  fleet.AddStandbyPool("spare");
  fleet.AddHosts("pool", 8);
  for (int i = 0; i < 100 && CountMovesTo(fleet, "spare") == 0; ++i) {
    fleet.Advance(core::Millis(100));
  }
  fleet.Advance(core::Millis(1700));
  (void)fleet.Submit(MakeJob(1, "q", 30, 60, core::Millis(2000)));
  fleet.Advance(core::Millis(300));
  EXPECT_GT(CountMovesTo(fleet, "pool"), 0U);
}

// Guards against a pool that has no hosts when its own surge begins.
TEST(BalanceTest, PoolKeepsItsLastHosts) {
  Fleet fleet;
  fleet.AddQueue("p", "first");
  fleet.AddQueue("q", "second");
  fleet.AddHosts("first", 4);
  fleet.AddHosts("second", 1);
  (void)fleet.Submit(MakeJob(1, "q", 40, 60, core::Millis(2000)));
  fleet.Advance(core::Millis(3000));
  EXPECT_EQ(CountMovesTo(fleet, "second"), 2U);
}

// Guards against machine orders that conflict with those of the previous lease
// holder, and against blocking all machines after a takeover so that no host
// can follow a surge.
TEST(BalanceTest, OnlyRecentlyOrderedMachinesWaitAfterATakeover) {
  Fleet fleet;
  fleet.state.took_over = fleet.now;
  fleet.AddQueue("q", "pool");
  fleet.AddStandbyPool("spare");
  fleet.AddHosts("spare", 4);
  for (std::size_t i = 0; i < 3; ++i) {
    LoadMachineOrder(fleet.state, fleet.machines[i].id, core::Millis(1000));
  }
  LoadMachineOrder(fleet.state, fleet.machines[3].id, core::Millis(60'000));
  (void)fleet.Submit(MakeJob(1, "q", 4, 40, core::Millis(1000)));
  fleet.Advance(core::Millis(2900));
  EXPECT_EQ(CountMovesTo(fleet, "pool"), 1U);
  fleet.Advance(core::Millis(500));
  EXPECT_GT(CountMovesTo(fleet, "pool"), 1U);
}

// Guards against a wave that orders a machine right after the previous lease
// holder did.
TEST(BalanceTest, RecentlyOrderedMachineIsNotMaintainedAfterATakeover) {
  Fleet fleet;
  fleet.state.took_over = fleet.now;
  fleet.AddQueue("q", "pool");
  fleet.AddHosts("pool", 1);
  LoadMachineOrder(fleet.state, fleet.machines[0].id, core::Millis(0));
  AddWave(fleet.state, {{1}, {fleet.machines[0].id}, core::Millis(20'000), 1},
          fleet.now);
  const auto count_upkeeps = [&] {
    return std::count_if(fleet.sent.begin(), fleet.sent.end(),
                         [](const Order& order) {
                           return std::holds_alternative<UpkeepMachine>(order);
                         });
  };
  fleet.Advance(core::Millis(2900));
  EXPECT_EQ(count_upkeeps(), 0);
  fleet.Advance(core::Millis(500));
  EXPECT_EQ(count_upkeeps(), 1);
}

// Guards against a surging pool that waits for idle hosts of another pool
// because that pool's own surge has only just ended.
TEST(BalanceTest, IdleHostsLeaveARecentlyBusyPool) {
  Fleet fleet;
  fleet.AddQueue("p", "first");
  fleet.AddQueue("q", "second");
  fleet.AddHosts("first", 10);
  fleet.AddHosts("second", 1);
  (void)fleet.Submit(MakeJob(1, "p", 12, 60, core::Millis(500)));
  fleet.Advance(core::Millis(1600));
  (void)fleet.Submit(MakeJob(2, "q", 8, 60, core::Millis(500)));
  fleet.Advance(core::Millis(200));
  EXPECT_GE(CountMovesTo(fleet, "second"), 5U);
}

}  // namespace
}  // namespace camphormux::scheduler
