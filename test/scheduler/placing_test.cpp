#include "camphormux/scheduler/placing.hpp"

#include <algorithm>

#include <gtest/gtest.h>

#include "camphormux/scheduler/hosts.hpp"
#include "test/scheduler/fleet.hpp"

namespace camphormux::scheduler {
namespace {

// Guards against permanent tasks that are spread over a pool which a surge has
// enlarged: a host with one of them can never leave the pool again.
TEST(PlacingTest, PermanentTasksShareHosts) {
  Fleet fleet;
  fleet.AddQueue("q", "pool");
  fleet.AddHosts("pool", 30);
  // Short tasks fill some hosts, but for 14 cores.
  (void)fleet.Submit(MakeJob(1, "q", 6, 50, core::Millis(60'000)));
  fleet.Advance(core::Millis(100));
  for (std::uint64_t i = 2; i <= 3; ++i) {
    auto job = MakeJob(i, "q", 6, i == 2 ? 20 : 4, core::Millis(1000));
    job.steps[0].permanent = true;
    job.steps[0].max_per_host = 1;
    (void)fleet.Submit(job);
    fleet.Advance(core::Millis(100));
  }
  std::size_t hosts = 0;
  std::size_t runs = 0;
  for (const auto& [id, host] : fleet.state.hosts) {
    const auto permanent = static_cast<std::size_t>(std::count_if(
        host.runs.begin(), host.runs.end(),
        [&](RunId run) { return fleet.state.runs.at(run).permanent; }));
    hosts += permanent > 0 ? 1U : 0U;
    runs += permanent;
  }
  EXPECT_EQ(runs, 12U);
  EXPECT_EQ(hosts, 6U);
}

// Guards against placing more than a host's capacity.
TEST(PlacingTest, RunsNeverExceedAHostsCapacity) {
  Fleet fleet;
  fleet.AddQueue("q", "pool");
  fleet.AddHosts("pool", 3);
  for (std::uint64_t i = 1; i < 40; ++i) {
    (void)fleet.Submit(MakeJob(i, "q", 4, 1 + static_cast<std::int64_t>(i % 23),
                               core::Millis(300)));
    fleet.Advance(core::Millis(30));
    for (const auto& [id, host] : fleet.state.hosts) {
      ASSERT_GE(FreeResources(host).cores.value, 0);
      ASSERT_GE(FreeResources(host).memory.value, 0);
    }
  }
}

// Guards against a gang that reserves resources while some of its members
// cannot be placed.
TEST(PlacingTest, AGangStartsAsAWholeOrNotAtAll) {
  Fleet fleet;
  fleet.AddQueue("q", "pool");
  fleet.AddHosts("pool", 1);
  auto gang = MakeJob(1, "q", 4, 30, core::Millis(200));
  gang.steps[0].gang = true;
  (void)fleet.Submit(gang);
  fleet.Advance(core::Millis(100));
  EXPECT_TRUE(fleet.running.empty());
  EXPECT_EQ(FreeResources(fleet.state.hosts.begin()->second).cores.value,
            64'000);
  fleet.AddHosts("pool", 1);
  fleet.Advance(core::Millis(20));
  ASSERT_EQ(fleet.running.size(), 4U);
  for (const Fleet::Running& run : fleet.running) {
    EXPECT_EQ(run.name.attempt, fleet.running[0].name.attempt);
  }
}

// Guards against placing too many tasks of a step on one host, which would fail
// together.
TEST(PlacingTest, KeepsToTheLimitOfTasksOnOneHost) {
  Fleet fleet;
  fleet.AddQueue("q", "pool");
  fleet.AddHosts("pool", 2);
  auto job = MakeJob(1, "q", 5, 1, core::Millis(5000));
  job.steps[0].max_per_host = 1;
  (void)fleet.Submit(job);
  fleet.Advance(core::Millis(50));
  EXPECT_EQ(fleet.running.size(), 2U);
}

TEST(PlacingTest, KeepsToTheRequiredLabel) {
  Fleet fleet;
  fleet.AddQueue("q", "pool");
  fleet.AddHosts("pool", 2);
  auto job = MakeJob(1, "q", 1, 1, core::Millis(100));
  job.steps[0].required_label = "b";
  (void)fleet.Submit(job);
  fleet.Advance(core::Millis(50));
  EXPECT_TRUE(fleet.running.empty());
}

// Guards against placing tasks away from their data while its rack has free
// resources.
TEST(PlacingTest, PrefersTheRackOfTheData) {
  Fleet fleet;
  fleet.AddQueue("q", "pool");
  fleet.AddHosts("pool", 3, 64, "r1");
  fleet.AddHosts("pool", 1, 64, "r2");
  auto job = MakeJob(1, "q", 2, 4, core::Millis(100));
  job.steps[0].data_rack.value = "r2";
  (void)fleet.Submit(job);
  fleet.Step();
  ASSERT_EQ(fleet.running.size(), 2U);
  for (const Fleet::Running& run : fleet.running) {
    EXPECT_EQ(fleet.state.hosts.at(run.host).listing.rack.value, "r2");
  }
}

// Guards against a straggler that delays its job.
TEST(PlacingTest, ACopyOfASlowSpeculativeTaskStartsElsewhere) {
  Fleet fleet;
  fleet.AddQueue("q", "pool", 10.0);
  fleet.AddHosts("pool", 2);
  fleet.run_time = core::Millis(60'000);
  auto job = MakeJob(1, "q", 1, 4, core::Millis(400));
  job.steps[0].speculative = true;
  (void)fleet.Submit(job);
  fleet.Advance(core::Millis(1000));
  EXPECT_EQ(fleet.running.size(), 1U);
  fleet.Advance(core::Millis(200));
  ASSERT_EQ(fleet.running.size(), 2U);
  EXPECT_NE(fleet.running[0].host, fleet.running[1].host);
  EXPECT_EQ(fleet.state.counters.copies, 1U);
}

}  // namespace
}  // namespace camphormux::scheduler
