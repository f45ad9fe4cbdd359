#include "camphormux/scheduler/pacing.hpp"

#include <algorithm>
#include <variant>

#include <gtest/gtest.h>

#include "camphormux/scheduler/runs.hpp"
#include "test/scheduler/fleet.hpp"

namespace camphormux::scheduler {
namespace {

/// A host with a serving task (latency target 100 ms) and a best-effort task.
Fleet SharedHost() {
  Fleet fleet;
  fleet.AddQueue("q", "pool");
  fleet.AddHosts("pool", 1);
  auto serving = MakeJob(1, "q", 1, 4, core::Millis(100));
  serving.steps[0].permanent = true;
  serving.steps[0].latency_target = core::Millis(100);
  auto best_effort = MakeJob(2, "q", 1, 4, core::Millis(100));
  best_effort.steps[0].permanent = true;
  best_effort.steps[0].best_effort = true;
  (void)fleet.Submit(serving);
  (void)fleet.Submit(best_effort);
  fleet.Advance(core::Millis(50));
  return fleet;
}

/// Sets the serving task's tail latency and returns the resulting pace of the
/// best-effort task.
int PaceAfter(Fleet& fleet, std::int64_t latency) {
  Host& host = fleet.state.hosts.begin()->second;
  int pace = 0;
  for (auto& [id, run] : fleet.state.runs) {
    if (!run.best_effort) {
      run.load = latency;
    }
  }
  PaceBestEffortRuns(fleet.state, host, fleet.now);
  for (const auto& [id, run] : fleet.state.runs) {
    pace = run.best_effort ? run.pace : pace;
  }
  return pace;
}

// Guards against a service that stays above its latency target because of
// best-effort tasks.
TEST(PacingTest, BestEffortRunsHaltWhileAServingTaskIsOverItsTarget) {
  Fleet fleet = SharedHost();
  int pace = 100;
  for (int i = 0; i < 3; ++i) {
    const int next = PaceAfter(fleet, 150);
    EXPECT_LT(next, pace);
    pace = next;
  }
  EXPECT_EQ(pace, 0);
}

// Guards against an oscillating pace: it does not change between the two
// thresholds.
TEST(PacingTest, BestEffortRunsSpeedUpOnlyWellBelowTheTarget) {
  Fleet fleet = SharedHost();
  const int slowed = PaceAfter(fleet, 150);
  EXPECT_EQ(PaceAfter(fleet, 80), slowed);
  EXPECT_GT(PaceAfter(fleet, 30), slowed);
}

// Guards against a best-effort task that does not work any more after a
// takeover: the previous holder halted it, and the next one takes it for one at
// full pace.
TEST(PacingTest, RunThatThePreviousHolderHaltedIsPacedAgain) {
  Fleet previous = SharedHost();
  for (int i = 0; i < 3; ++i) {
    (void)PaceAfter(previous, 150);
  }
  ASSERT_EQ(PaceAfter(previous, 150), 0);
  ASSERT_EQ(previous.running.size(), 2U);
  // The next holder knows the jobs and learns of the runs by a report.
  Fleet next;
  next.running = previous.running;
  next.AddQueue("q", "pool");
  for (const auto& [id, job] : previous.state.jobs) {
    (void)next.Submit(job.spec);
  }
  next.AddHosts("pool", 1);
  ASSERT_EQ(next.state.runs.size(), 2U);
  // The serving task is well below its target.
  next.Advance(core::Millis(1000));
  ASSERT_EQ(next.state.runs.size(), 2U);
  EXPECT_TRUE(
      std::any_of(next.sent.begin(), next.sent.end(), [](const Order& order) {
        return std::holds_alternative<PaceRun>(order);
      }));
}

}  // namespace
}  // namespace camphormux::scheduler
