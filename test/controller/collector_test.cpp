#include "camphormux/controller/collector.hpp"

#include <gtest/gtest.h>

#include "test/controller/fake_fleet.hpp"

namespace camphormux::controller {
namespace {

/// A platform whose answers the test delivers by hand.
struct ManualPlatform {
  std::vector<std::function<void(std::optional<HostReport>)>> reports;
  std::vector<std::function<void(CallAnswer)>> calls;

  PlatformPort Port() {
    return {[](const auto& done) { done(nullptr); },
            [this](const core::HostId&, auto done) {
              reports.push_back(std::move(done));
            },
            [this](const PlatformCall&, auto done) {
              calls.push_back(std::move(done));
            }};
  }
};

state::FleetState OneAssignedHost() {
  state::FleetState state;
  state::Host host;
  host.id = {"h"};
  host.zone = kZone;
  host.phase = state::HostPhase::kAssigned;
  state.hosts[host.id] = host;
  return state;
}

// Guards against a phase that waits for the next periodic report although its
// call was answered, and against a callback into a destroyed collector.
TEST(CollectorTest, RequestsAReportAfterACallAndNotifiesOfChanges) {
  ManualPlatform platform;
  const state::FleetState state = OneAssignedHost();
  const core::MonotonicTime now{std::chrono::hours(1)};
  int changes = 0;
  std::optional<Collector> collector;
  collector.emplace(platform.Port(), kZone, [&changes] { ++changes; });
  collector->Poll(state, true, now);
  ASSERT_EQ(platform.reports.size(), 1U);
  platform.reports[0](HostReport{});
  EXPECT_EQ(changes, 1);
  const PlatformCall call{CallKind::kPool, {"h"}, {}, {}, {}, {}, {}};
  collector->Send({call, call});
  platform.calls[0]({call, CallOutcome::kDone, now});
  EXPECT_EQ(changes, 2);
  collector->Poll(state, true, now);
  ASSERT_EQ(platform.reports.size(), 2U);
  platform.reports[1](HostReport{});  // The same report, but after the call.
  EXPECT_EQ(changes, 3);
  collector->Poll(state, true, now);
  EXPECT_EQ(platform.reports.size(), 2U);
  collector.reset();
  platform.calls[1]({call, CallOutcome::kDone, now});
  EXPECT_EQ(changes, 3);
}

}  // namespace
}  // namespace camphormux::controller
