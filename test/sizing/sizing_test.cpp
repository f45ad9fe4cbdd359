#include "camphormux/sizing/sizing.hpp"

#include <chrono>
#include <cmath>

#include <gtest/gtest.h>

namespace camphormux::sizing {
namespace {

using std::chrono::seconds;

text::OperatorText MakeText() {
  text::OperatorText text;
  for (const char* zone : {"a", "b"}) {
    text.zones[{zone}] = {{zone}, {"r"}};
  }
  for (const char* name : {"front", "back", "spare"}) {
    text::Service service;
    service.name = {name};
    service.pool = {name};
    service.min_hosts = 2;
    text.services[{name}] = service;
  }
  text.services[{"front"}].depends_on = {{{"back"}, 0.5}};
  text.services[{"front"}].priority = 2;
  text.spare_pool = {"spare"};
  return text;
}

/// Runs sizing in steps of one second; one request per second fills 0.1 slots.
struct SizingSimulation {
  text::OperatorText text = MakeText();
  SizingState state;
  SizingInput input;

  SizingSimulation() {
    input.text = &text;
    input.usable_hosts = {{{"a"}, 20}, {{"b"}, 20}};
  }

  ServiceSize Step(const char* name, double arrivals) {
    input.demand[{name}].arrivals_per_s = arrivals;
    input.demand[{name}].running = arrivals * 0.1;
    input.now += seconds(1);
    return DecideSizes(state, input).services.at({name});
  }
};

int NeededHosts(const ServiceSize& size) {
  int sum = 0;
  for (const auto& [zone, zone_size] : size.zones) {
    sum += zone_size.needed;
  }
  return sum;
}

/// Hosts filled by the given arrivals per second, at 8 slots per host.
int HostsFilledBy(double arrivals) {
  return static_cast<int>(std::ceil(arrivals * 0.1 / 8.0));
}

int WantedHosts(const ServiceSize& size) {
  int sum = 0;
  for (const auto& [zone, zone_size] : size.zones) {
    sum += zone_size.wanted;
  }
  return sum;
}

// Guards against sizes that follow a surge late, or that fall as soon as it
// ends.
TEST(DecideSizesTest, RisesAtOnceAndFallsAfterHoldTime) {
  SizingSimulation simulation;
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(NeededHosts(simulation.Step("front", 50)), 2);
  }
  EXPECT_GE(NeededHosts(simulation.Step("front", 800)), HostsFilledBy(800));
  simulation.Step("front", 800);
  ServiceSize size = simulation.Step("front", 50);
  EXPECT_GE(NeededHosts(size), HostsFilledBy(800));
  for (int i = 0; i < 10; ++i) {
    size = simulation.Step("front", 50);
  }
  EXPECT_EQ(NeededHosts(size), 2);
  EXPECT_GE(WantedHosts(size), HostsFilledBy(800));
  for (int i = 0; i < 80; ++i) {
    size = simulation.Step("front", 50);
  }
  EXPECT_EQ(WantedHosts(size), 2);
}

// Guards against sizes that rise in a second surge only once demand reaches its
// peak.
TEST(DecideSizesTest, PlansForRememberedPeakOnLeadingEdge) {
  SizingSimulation simulation;
  for (const int arrivals : {50, 50, 50, 900, 900, 900, 50, 50, 50, 50,
                             50, 50, 50, 50,  50,  50,  50, 50, 50, 50}) {
    simulation.Step("front", arrivals);
  }
  const ServiceSize size = simulation.Step("front", 300);
  EXPECT_EQ(size.reason.constraint, SizeConstraint::kLeadingEdge);
  EXPECT_GE(NeededHosts(size), HostsFilledBy(900));
}

// Guards against a first sample of few requests that distorts the service time
// for long and so makes the size of a surge several times too large.
TEST(DecideSizesTest, RecoversFromOutlierFirstSample) {
  SizingSimulation simulation;
  simulation.input.demand[{"front"}] = {1.0, 0.0, 0.0, 4.0, {}, 0.0};
  (void)DecideSizes(simulation.state, simulation.input);
  for (int i = 0; i < 5; ++i) {
    simulation.Step("front", 50);
  }
  EXPECT_NEAR(simulation.Step("front", 50).reason.service_time_s, 0.1, 0.02);
}

// Guards against random arrivals between bursts that count as a surge, whose
// small peak then prevents planning ahead for a real surge.
TEST(DecideSizesTest, IgnoresRisesOfLessThanOneHost) {
  SizingSimulation simulation;
  for (const int arrivals : {20, 20, 20, 55, 20, 20, 55, 20}) {
    EXPECT_FALSE(simulation.Step("front", arrivals).surging);
  }
  const ServiceSize size = simulation.Step("front", 400);
  EXPECT_TRUE(size.surging);
  EXPECT_GT(size.reason.planned_slots, size.reason.demand_slots);
}

// Guards against a rollout_weight that has no effect, and against one that
// requests hosts without bound.
TEST(DecideSizesTest, WorksOffBacklogFasterForHighRolloutWeight) {
  const auto slots = [](double rollout_weight) {
    SizingSimulation simulation;
    simulation.text.policy.rollout_weight = rollout_weight;
    simulation.Step("front", 100);
    simulation.input.demand[{"front"}].queued = 1000;
    return simulation.Step("front", 100).reason.demand_slots;
  };
  EXPECT_GT(slots(5.0), slots(1.0) + 1.0);
  EXPECT_GT(slots(1.0), slots(0.0) + 1.0);
  text::Policy policy;
  policy.rollout_weight = 1e9;
  EXPECT_GE(BacklogTime(policy), seconds(8));
  policy.rollout_weight = 0.0;
  EXPECT_LE(BacklogTime(policy), seconds(300));
}

// Guards against a service that is sized for the surge of a calling service
// only once it is overloaded.
TEST(DecideSizesTest, PropagatesDemandOfCallers) {
  SizingSimulation simulation;
  simulation.input.usable_hosts = {{{"a"}, 40}, {{"b"}, 40}};
  simulation.input.demand[{"back"}] = {10.0, 0.0, 0.0, 1.0, {}, 0.0};
  simulation.Step("front", 50);
  simulation.Step("front", 1600);
  const Sizes sizes = DecideSizes(simulation.state, simulation.input);
  const ServiceSize& back = sizes.services.at({"back"});
  EXPECT_GE(NeededHosts(back), 11);
  EXPECT_GE(back.reason.from_callers_per_s, 800.0);
}

// Guards against an estimate without the requests that started after a delayed
// usage report.
TEST(RunningNowTest, CountsRequestsStartedSinceReport) {
  DemandSample sample;
  sample.running = 10.0;
  sample.started_since_report = 40.0;
  sample.report_age = seconds(2);
  EXPECT_DOUBLE_EQ(RunningNow(sample, 4.0), 45.0);
  EXPECT_DOUBLE_EQ(RunningNow(sample, 0.1), 2.0);
}

// Guards against sizes that exceed the hosts of a zone, and against a reduction
// of the service of higher priority.
TEST(DecideSizesTest, ReducesLowestPriorityFirst) {
  SizingSimulation simulation;
  simulation.input.usable_hosts = {{{"a"}, 10}, {{"b"}, 10}};
  simulation.Step("front", 700);
  const ServiceSize back = simulation.Step("back", 1300);
  EXPECT_EQ(back.reason.constraint, SizeConstraint::kFleet);
  const Sizes sizes = DecideSizes(simulation.state, simulation.input);
  EXPECT_GE(NeededHosts(sizes.services.at({"front"})), 10);
  for (const char* zone : {"a", "b"}) {
    int sum = 0;
    for (const auto& [name, size] : sizes.services) {
      EXPECT_GE(size.zones.at({zone}).needed, size.zones.at({zone}).floor);
      sum += size.zones.at({zone}).needed;
    }
    EXPECT_LE(sum, 10);
  }
}

// Guards against policy weights that have no effect.
TEST(HoldTimeTest, GrowsWithWeightOfMoves) {
  EXPECT_GT(HoldTime({5.0, 1.0, 1.0}), HoldTime({1.0, 1.0, 1.0}));
  EXPECT_LT(HoldTime({1.0, 5.0, 1.0}), HoldTime({1.0, 1.0, 1.0}));
}

}  // namespace
}  // namespace camphormux::sizing
