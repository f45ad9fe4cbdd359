#include "camphormux/controller/plan.hpp"

#include <algorithm>

#include <gtest/gtest.h>

#include "test/controller/fake_fleet.hpp"

namespace camphormux::controller {
namespace {

using state::HostPhase;

constexpr core::Millis kStepTime{500};

long CountAdmitted(const state::FleetState& state, const std::string& pool) {
  return std::count_if(state.hosts.begin(), state.hosts.end(),
                       [&pool](const auto& item) {
                         return item.second.phase == HostPhase::kAdmitted &&
                                item.second.pool == core::PoolName{pool};
                       });
}

GatewayView GatewayWith(const FakeController& controller, double arrivals,
                        double queued) {
  GatewayView gateway{{"g1"}, kZone, controller.state.next, false, {}};
  gateway.demand.services[{"web"}] = {arrivals, 0.0, queued, arrivals * 0.1};
  return gateway;
}

// Guards against hosts that are kept for the last reported demand of a dead
// gateway.
TEST(PlanTest, SumsTheDemandOfLiveGateways) {
  GatewayView live{{"g1"}, kZone, {}, false, {}};
  live.demand.services[{"web"}] = {10.0, 1.0, 2.0, 3.0};
  GatewayView dead = live;
  dead.dead = true;
  const auto demand = SumDemand({live, live, dead});
  const sizing::DemandSample& web = demand.at({"web"});
  EXPECT_DOUBLE_EQ(web.arrivals_per_s, 20.0);
  EXPECT_DOUBLE_EQ(web.refused_per_s, 2.0);
  EXPECT_DOUBLE_EQ(web.queued, 4.0);
  EXPECT_DOUBLE_EQ(web.running, 6.0);
}

// Guards against reported demand that does not move any host.
TEST(PlanTest, FollowsASurgeWithSpareHosts) {
  FakeLog log;
  FakePlatform platform = MakePlatform(8);
  FakeController controller{{"c1"}, {}, {}, {}};
  core::MonotonicTime now{std::chrono::hours(1)};
  log.Append({MakePublish("1", {}, MakeOperatorText(2))});
  controller.Claim(log);
  const auto run = [&](int steps, double arrivals, double queued) {
    for (int i = 0; i < steps; ++i) {
      now += kStepTime;
      controller.observed.gateways = {
          GatewayWith(controller, arrivals, queued)};
      RunStep(controller, log, platform, now);
    }
  };
  run(60, 20.0, 0.0);
  EXPECT_EQ(CountAdmitted(controller.state, "web"), 2);
  run(60, 400.0, 200.0);
  EXPECT_GE(CountAdmitted(controller.state, "web"), 5);
  EXPECT_GE(CountAdmitted(controller.state, "spare"), 1);
}

bool AnyReleased(const state::FleetState& state) {
  return std::any_of(state.hosts.begin(), state.hosts.end(),
                     [](const auto& item) {
                       return item.second.phase == HostPhase::kReleased;
                     });
}

// Guards against a released host without a pool until the next plan, and
// against assignments by the sizes of an operator text that is no longer in
// force.
TEST(PlanTest, AssignsAReleasedHostBetweenPlans) {
  FakeLog log;
  FakePlatform platform = MakePlatform(8);
  FakeController controller{{"c1"}, {}, {}, {}};
  core::MonotonicTime now{std::chrono::hours(1)};
  log.Append({MakePublish("1", {}, MakeOperatorText(2))});
  controller.Claim(log);
  const auto step = [&] {
    now += core::Millis(20);
    controller.observed.gateways = {GatewayWith(controller, 0.0, 0.0)};
    RunStep(controller, log, platform, now);
    log.Read(controller.state, log.records.size());
  };
  for (int i = 0; i < 100; ++i) {
    step();
  }
  const auto publish = [&](core::Revision base, const std::string& text) {
    log.Append({MakePublish(std::to_string(base.value + 1), base, text)});
  };
  const auto step_until_released = [&] {
    for (int i = 0; i < 1000 && !AnyReleased(controller.state); ++i) {
      step();
    }
    ASSERT_TRUE(AnyReleased(controller.state));
  };
  publish({1}, MakeOperatorText(6));
  step_until_released();
  step();
  EXPECT_FALSE(AnyReleased(controller.state));
  publish({2}, MakeOperatorText(7));
  step_until_released();
  // The next step runs before the next plan and sees a newer text.
  std::string text = MakeOperatorText(7);
  publish({3}, text.replace(text.find("service web"), 11, "service shop"));
  step();
  EXPECT_TRUE(AnyReleased(controller.state));
}

// Guards against a due host that is never maintained, and against maintenance
// that takes a service below its availability budget.
TEST(PlanTest, MaintainsEveryHostWithinThePeriod) {
  FakeLog log;
  FakePlatform platform = MakePlatform(6);
  FakeController controller{{"c1"}, {}, {}, {}};
  core::MonotonicTime now{std::chrono::hours(1)};
  log.Append({MakePublish(
      "1", {}, MakeOperatorText(3) + "[maintenance]\nperiod = 4h\n")});
  controller.Claim(log);
  long lowest = 3;
  bool filled = false;
  // Half-minute steps over six hours.
  for (int i = 0; i < 720; ++i) {
    now += std::chrono::seconds(30);
    RunStep(controller, log, platform, now);
    filled = filled || CountAdmitted(controller.state, "web") >= 3;
    if (filled) {
      lowest = std::min(lowest, CountAdmitted(controller.state, "web"));
    }
  }
  EXPECT_GE(platform.reboots, 6);
  EXPECT_GE(lowest, 2);
  for (const auto& [id, host] : platform.hosts) {
    EXPECT_GE(host.boots, 1) << id.value;
  }
}

}  // namespace
}  // namespace camphormux::controller
