#include <set>

#include <gtest/gtest.h>

#include "camphormux/load/demand.hpp"
#include "camphormux/load/plan.hpp"
#include "camphormux/load/recorder.hpp"

namespace camphormux::load {
namespace {

using std::chrono::seconds;

// Guards against a demand whose mean, peak or idle rate differs from the
// configured one, and against overlapping bursts.
TEST(DemandTest, ServicesBurstOneAtATimeAndKeepTheMeanRate) {
  const Demand demand{5, 1000, 5, 0.05, seconds(4), false};
  std::size_t most_bursts = 0;
  double sum = 0;
  const RunDuration cycle = CycleLength(demand);
  constexpr int kSteps = 10'000;
  for (int step = 0; step < kSteps; ++step) {
    std::size_t bursts = 0;
    for (std::size_t service = 0; service < demand.services; ++service) {
      const double rate = RateAt(demand, service, cycle * step / kSteps);
      EXPECT_TRUE(rate == 5000 || rate == 250) << rate;
      bursts += rate == 5000 ? 1 : 0;
      sum += service == 0 ? rate : 0;
    }
    most_bursts = std::max(most_bursts, bursts);
  }
  EXPECT_EQ(most_bursts, 1U);
  EXPECT_NEAR(sum / kSteps, demand.mean_rate, demand.mean_rate * 0.01);
}

// Guards against arrivals that do not follow the configured rate, and against
// arrivals that differ for the same seed.
TEST(DemandTest, ArrivalsFollowRateAndSeed) {
  const Demand demand{1, 500, 5, 0.05, seconds(2), false};
  ArrivalStream first{0, RunDuration(0), core::SeededRandom(3)};
  ArrivalStream second{0, RunDuration(0), core::SeededRandom(3)};
  const RunDuration end = CycleLength(demand) * 10;
  double arrivals = 0;
  while (NextArrival(demand, first) < end) {
    ASSERT_EQ(NextArrival(demand, second), first.last);
    ++arrivals;
  }
  const double expected =
      demand.mean_rate * std::chrono::duration<double>(end).count();
  EXPECT_NEAR(arrivals, expected, expected * 0.05);
}

// Guards against keys that do not encode their time and identities or keys that
// repeat.
TEST(PlanTest, KeysAreUuidsOfVersionSeven) {
  text::Service service;
  service.name.value = "venue";
  service.non_repeatable = {{"POST", "/holds"}};
  core::Random random = core::SeededRandom(9);
  PlanOptions options;
  options.non_repeatable = 1;
  options.keyed = 1;
  std::set<std::string> seen;
  for (int n = 0; n < 1000; ++n) {
    const Plan plan = MakePlan(service, options, random, 0x0123456789ab);
    ASSERT_EQ(plan.key.size(), 36U);
    EXPECT_EQ(plan.key.substr(0, 15), "01234567-89ab-7");
    EXPECT_NE(std::string("89ab").find(plan.key[19]), std::string::npos);
    EXPECT_EQ(plan.path, "/venue/holds/" + plan.identity);
    EXPECT_FALSE(plan.repeatable);
    EXPECT_TRUE(seen.insert(plan.key).second);
    EXPECT_TRUE(seen.insert(plan.identity).second);
  }
}

// Guards against percentiles that are off by one rank and against outcomes that
// are not counted.
TEST(RecorderTest, SummarisesByClassAndOutcome) {
  Recorder recorder("", core::Millis(1));
  for (int n = 1; n <= 100; ++n) {
    Sample sample;
    sample.end = n;
    sample.outcome = "answered";
    sample.status = n == 1 ? 500 : 200;
    sample.plan.urgent = true;
    recorder.Add(sample);
  }
  Sample rejected;
  rejected.outcome = "not-run";
  recorder.Add(rejected);
  recorder.Add(Sample{});
  Sample late;
  late.end = 1001;
  late.outcome = "answered";
  late.status = 200;
  recorder.Add(late);
  const Summary summary = recorder.Summarise(10);
  EXPECT_EQ(summary.requests, 103U);
  EXPECT_EQ(summary.none, 1U);
  EXPECT_EQ(summary.not_run, 1U);
  EXPECT_EQ(summary.classes[1].p50_us, 50);
  EXPECT_EQ(summary.classes[1].p99_us, 99);
  EXPECT_DOUBLE_EQ(summary.goodput, 9.9);
}

}  // namespace
}  // namespace camphormux::load
