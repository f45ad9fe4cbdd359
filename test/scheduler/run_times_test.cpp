#include "camphormux/scheduler/run_times.hpp"

#include <cmath>
#include <random>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "test/scheduler/fleet.hpp"

namespace camphormux::scheduler {
namespace {

const RunTimeKind kKind{{"q"}, ""};

core::Millis Scaled(core::Millis time, double factor) {
  return core::Millis(std::max<std::int64_t>(
      1, std::llround(static_cast<double>(time.count()) * factor)));
}

/// A load of tasks whose estimates are off by a factor of up to three.
struct Load {
  std::mt19937 random{7};
  RunTimes run_times;
  double estimate_error = 0;
  double expected_error = 0;

  void Run(int count, core::Millis mean, double bias) {
    std::normal_distribution<double> work(0, 0.3);
    std::uniform_real_distribution<double> off(-std::log(3.0), std::log(3.0));
    for (int i = 0; i < count; ++i) {
      const core::Millis took = Scaled(mean, std::exp(work(random)));
      const core::Millis estimate = Scaled(took, bias * std::exp(off(random)));
      const core::Millis expected = ExpectedRunTime(run_times, kKind, estimate);
      estimate_error += Error(estimate, took);
      expected_error += Error(expected, took);
      Learn(run_times, {kKind, estimate, took});
    }
  }

  static double Error(core::Millis expected, core::Millis took) {
    return std::abs(std::log(static_cast<double>(expected.count()) /
                             static_cast<double>(took.count())));
  }
};

// Guards against estimates that order work although finished runs know better.
TEST(RunTimesTest, ErrorIsLessThanThatOfEstimatesOffByAFactorOfThree) {
  for (const double bias : {1.0, 3.0, 1.0 / 3.0}) {
    Load load;
    load.Run(400, core::Millis(800), bias);
    EXPECT_LT(load.expected_error, 0.75 * load.estimate_error) << bias;
  }
}

// Guards against an expectation that sticks to work of the past.
TEST(RunTimesTest, ChangeOfTheWorkOnTheWayIsFollowed) {
  Load load;
  load.Run(400, core::Millis(200), 1.0);
  load.Run(600, core::Millis(2000), 1.0);
  const auto expected =
      ExpectedRunTime(load.run_times, kKind, core::Millis(2000));
  EXPECT_GT(expected, core::Millis(1300));
  EXPECT_LT(expected, core::Millis(3000));
}

// Guards against losing good estimates of different work in one queue.
TEST(RunTimesTest, TwoKindsOfWorkBehindOneNameKeepTheirGoodEstimates) {
  RunTimes run_times;
  for (int i = 0; i < 200; ++i) {
    Learn(run_times, {kKind, core::Millis(100), core::Millis(100)});
    Learn(run_times, {kKind, core::Millis(5000), core::Millis(5000)});
  }
  EXPECT_NEAR(static_cast<double>(
                  ExpectedRunTime(run_times, kKind, core::Millis(100)).count()),
              100, 15);
  EXPECT_NEAR(
      static_cast<double>(
          ExpectedRunTime(run_times, kKind, core::Millis(5000)).count()),
      5000, 750);
}

// Guards against a stalled host that is taken for a change of the work.
TEST(RunTimesTest, SingleRunOnAStalledHostHardlyCounts) {
  Load load;
  load.Run(100, core::Millis(500), 1.0);
  const auto before = ExpectedRunTime(load.run_times, kKind, core::Millis(500));
  Learn(load.run_times, {kKind, core::Millis(500), core::Millis(600'000)});
  EXPECT_LT(ExpectedRunTime(load.run_times, kKind, core::Millis(500)).count(),
            before.count() * 11 / 10);
}

// Guards against adversarial estimates and run times.
RC_GTEST_PROP(RunTimesPropertyTest, ExpectationStaysWithinABoundOfTheEstimate,
              (const std::vector<std::pair<std::uint32_t, std::uint32_t>>& runs,
               std::uint32_t estimate)) {
  RunTimes run_times;
  for (const auto& [given, took] : runs) {
    Learn(run_times, {kKind, core::Millis(given), core::Millis(took)});
  }
  const core::Millis given(estimate);
  const core::Millis expected = ExpectedRunTime(run_times, kKind, given);
  if (runs.empty()) {
    RC_ASSERT(expected == given);
  } else if (estimate > 0) {
    RC_ASSERT(expected <= given * 8);
    RC_ASSERT(expected * 9 + core::Millis(9) >= given);
  }
}

// Guards against memory that grows with the number of queues and images.
TEST(RunTimesTest, NumberOfKindsIsBounded) {
  RunTimes run_times;
  for (int i = 0; i < 1000; ++i) {
    Learn(
        run_times,
        {{{"q" + std::to_string(i)}, ""}, core::Millis(10), core::Millis(20)});
  }
  EXPECT_EQ(run_times.models.size(), kMaxRunTimeKinds);
  EXPECT_TRUE(run_times.models.contains({{"q999"}, ""}));
}

// Guards against a holder that takes over without what was learned, or with
// bytes of another writer.
TEST(RunTimesTest, StoredRunTimesAreReadBack) {
  Load load;
  load.Run(100, core::Millis(800), 3.0);
  const RunTimes read = DecodeRunTimes(EncodeRunTimes(load.run_times));
  EXPECT_EQ(ExpectedRunTime(read, kKind, core::Millis(1200)),
            ExpectedRunTime(load.run_times, kKind, core::Millis(1200)));
  EXPECT_TRUE(DecodeRunTimes("\x82\x01").models.empty());
}

// Guards against learning although the settings do not ask for it, and from
// runs that say nothing about the work.
TEST(RunTimesTest, OnlyWholeRunsOfSingleTasksAreLearnedFrom) {
  Fleet fleet;
  fleet.state.token = core::Epoch{1};
  fleet.AddQueue("q", "pool");
  fleet.AddHosts("pool", 2);
  fleet.run_time = core::Millis(300);
  (void)fleet.Submit(MakeJob(1, "q", 4, 1, core::Millis(900)));
  fleet.Advance(core::Millis(1000));
  EXPECT_EQ(fleet.state.run_times.runs, 0U);
  fleet.state.settings.learn_run_times = true;
  workload::JobSpec gang = MakeJob(2, "q", 4, 1, core::Millis(900));
  gang.steps[0].gang = true;
  (void)fleet.Submit(gang);
  fleet.Advance(core::Millis(1000));
  EXPECT_EQ(fleet.state.run_times.runs, 0U);
  (void)fleet.Submit(MakeJob(3, "q", 4, 1, core::Millis(900)));
  fleet.Advance(core::Millis(1000));
  EXPECT_EQ(fleet.state.run_times.runs, 4U);
}

}  // namespace
}  // namespace camphormux::scheduler
