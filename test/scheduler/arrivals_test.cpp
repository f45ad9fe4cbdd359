#include "camphormux/scheduler/arrivals.hpp"

#include <gtest/gtest.h>

#include "test/scheduler/fleet.hpp"

namespace camphormux::scheduler {
namespace {

constexpr core::Millis kGap{20};
const core::PoolName kPool{"pool"};

/// Simulates arrivals whose work changes linearly from `first` to `last` core
/// seconds per gap.
void SimulateArrivals(State& state, core::MonotonicTime& now, core::Millis span,
                      double first, double last) {
  Job job;
  job.policy.pool = kPool;
  job.policy.objective = core::Millis(1000);
  const auto steps = span.count() / kGap.count();
  for (std::int64_t i = 0; i < steps; ++i) {
    job.core_seconds = first + (last - first) * static_cast<double>(i) /
                                   static_cast<double>(steps);
    now += kGap;
    RecordArrival(state, job, now);
  }
}

// Guards against ordering hosts for a load that does not grow.
TEST(ArrivalsTest, SteadyRateIsForecastUnchanged) {
  State state;
  core::MonotonicTime now{core::Millis(1000)};
  SimulateArrivals(state, now, core::Millis(20'000), 10, 10);  // 500 cores.
  EXPECT_NEAR(CurrentArrivalRate(state, kPool, now), 500, 25);
  EXPECT_NEAR(ForecastArrivalRate(state, kPool, now), 500, 50);
}

// Guards against hosts that join too late in a growing surge.
TEST(ArrivalsTest, ForecastOfARisingRateIsAboveIt) {
  State state;
  core::MonotonicTime now{core::Millis(1000)};
  SimulateArrivals(state, now, core::Millis(4000), 0,
                   20);  // Rises by 250 cores per second.
  EXPECT_LT(CurrentArrivalRate(state, kPool, now), 1000);
  EXPECT_GT(ForecastArrivalRate(state, kPool, now), 1250);
  EXPECT_LT(ForecastArrivalRate(state, kPool, now), 1750);
}

// Guards against a forecast below the current rate, and against one that does
// not decay.
TEST(ArrivalsTest, ForecastFallsWithTheRateAfterASurge) {
  State state;
  core::MonotonicTime now{core::Millis(1000)};
  SimulateArrivals(state, now, core::Millis(5000), 20, 20);
  now += core::Millis(1000);
  EXPECT_EQ(ForecastArrivalRate(state, kPool, now),
            CurrentArrivalRate(state, kPool, now));
  EXPECT_LT(ForecastArrivalRate(state, kPool, now + core::Millis(5000)), 1);
}

// Guards against a new lease holder that ignores a surge in progress.
TEST(ArrivalsTest, RatesAreRebuiltFromOpenJobsAfterATakeover) {
  Fleet fleet;
  fleet.AddQueue("q", "pool");
  for (std::uint64_t i = 0; i < 50; ++i) {
    (void)fleet.Submit(MakeJob(i, "q", 4, 5, core::Millis(500)));
    fleet.now += kGap;
  }
  const double before = CurrentArrivalRate(fleet.state, kPool, fleet.now);
  EXPECT_GT(before, 100);
  fleet.state.arrival_rates.clear();
  RebuildArrivalRates(fleet.state, fleet.now);
  EXPECT_NEAR(CurrentArrivalRate(fleet.state, kPool, fleet.now), before,
              before * 0.01);
}

}  // namespace
}  // namespace camphormux::scheduler
