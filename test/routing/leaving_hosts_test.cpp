#include "camphormux/routing/leaving_hosts.hpp"

#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "camphormux/routing/choice.hpp"

namespace camphormux::routing {
namespace {

constexpr core::MonotonicTime kStart{std::chrono::hours(1)};

core::HostId Name(int host) { return {"h" + std::to_string(host)}; }

state::FleetState ZoneOf(int hosts) {
  state::FleetState state;
  for (int i = 0; i < hosts; ++i) {
    state::Host& host = state.hosts[Name(i)];
    host.zone = {"a"};
    host.phase = state::HostPhase::kAdmitted;
  }
  return state;
}

RouteTable TableOf(int hosts) {
  RouteTable table;
  for (int i = 0; i < hosts; ++i) {
    table.services[{"s"}].endpoints.push_back(
        {Name(i), {"a"}, {"127.0.0.1", 1}, {1}, {1}});
  }
  return table;
}

// Guards against a wrong host list that excludes more than a fifth of a zone
// within a minute, in one list or gradually over several.
RC_GTEST_PROP(LeavingHostsTest, ExcludesAtMostAFifthOfAZonePerMinute, ()) {
  const int hosts = *rc::gen::inRange(5, 40);
  const auto state = ZoneOf(hosts);
  LeavingHostTracker tracker;
  std::set<core::HostId> named;
  std::set<core::HostId> ever_trusted;
  for (int second = 0; second < 59; ++second) {
    if (*rc::gen::inRange(0, 4) == 0) {
      const core::HostId host = Name(*rc::gen::inRange(0, hosts));
      named.contains(host) ? (void)named.erase(host) : (void)named.insert(host);
    }
    (void)UpdateLeaving(tracker, named, state,
                        kStart + std::chrono::seconds(second));
    for (const core::HostId& host : named) {
      RC_ASSERT(tracker.hosts.trusted.contains(host) !=
                tracker.hosts.doubted.contains(host));
    }
    ever_trusted.insert(tracker.hosts.trusted.begin(),
                        tracker.hosts.trusted.end());
    RC_ASSERT(static_cast<int>(ever_trusted.size()) * 5 <= hosts);
  }
}

// Guards against a doubted list that excludes endpoints without confirmation,
// and against ignoring it when a closed connection confirms it.
TEST(LeavingHostsTest, AConnectionCloseConfirmsADoubtedHost) {
  const auto state = ZoneOf(10);
  LeavingHostTracker tracker;
  EXPECT_EQ(UpdateLeaving(tracker, {Name(0), Name(1), Name(2)}, state, kStart),
            std::set<core::ZoneName>{{"a"}});
  const RouteTable table = TableOf(10);
  const ServiceRoutes& routes = table.services.at({"s"});
  const Limits limits{.connection_share = 9};
  core::Random random = core::SeededRandom(1);
  PoolHealth pool;
  Reconcile(pool, table, limits, kStart);
  ApplyLeaving(pool, tracker.hosts);
  const Query query{{"a"}, false, std::nullopt, true, kStart};
  EXPECT_TRUE(IsEligible(pool.endpoints.at(Name(0)), query, limits));
  OnStart(pool, Name(0));
  OnFinish(pool, {Name(0), {1}, AttemptOutcome::kServed, core::Millis(1), true},
           routes, limits, kStart, random);
  ApplyLeaving(pool, tracker.hosts);
  Query later = query;
  later.now = kStart + std::chrono::hours(1);
  EXPECT_FALSE(IsEligible(pool.endpoints.at(Name(0)), later, limits));
  EXPECT_TRUE(IsEligible(pool.endpoints.at(Name(1)), later, limits));
  ApplyLeaving(pool, {});
  EXPECT_TRUE(IsEligible(pool.endpoints.at(Name(0)), later, limits));
}

// Guards against misreading the answer of a platform that does not support the
// filter, and against accepting bodies that are not a list of hosts.
TEST(LeavingHostsTest, ParsesOnlyLeavingHosts) {
  const auto hosts = ParseLeavingList(
      R"([{"id":"x","state":"live"},{"id":"y","state":"leaving"}])");
  EXPECT_EQ(hosts, std::set<core::HostId>{{"y"}});
  for (const char* body : {"", "{}", "[1]", R"([{"id":1,"state":"live"}])"}) {
    EXPECT_FALSE(ParseLeavingList(body).has_value()) << body;
  }
}

}  // namespace
}  // namespace camphormux::routing
