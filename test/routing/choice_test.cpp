#include "camphormux/routing/choice.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace camphormux::routing {
namespace {

const core::MonotonicTime kNow{std::chrono::hours(1)};

Limits TestLimits() {
  Limits limits;
  limits.connection_share = 4;
  return limits;
}

struct Pool {
  ServiceRoutes routes;
  PoolHealth health;
};

/// Generates endpoints with random health.
Pool AnyPool() {
  Pool pool;
  const int size = *rc::gen::inRange(0, 8);
  for (int i = 0; i < size; ++i) {
    const core::HostId id{"h" + std::to_string(i)};
    const std::string zone = *rc::gen::element<std::string>("a", "b");
    pool.routes.endpoints.push_back({id, {zone}, {"127.0.0.1", 1}, {1}, {1}});
    EndpointHealth health;
    health.admitted_at = kNow - core::Millis(*rc::gen::inRange(0, 20'000));
    health.outstanding = *rc::gen::inRange(0, 5);
    health.concurrency_limit = *rc::gen::inRange(1, 5);
    health.latency_ms = *rc::gen::inRange(0, 100);
    health.refused_as_draining = *rc::gen::inRange(0, 4) == 0;
    health.hold_off_until = kNow + core::Millis(*rc::gen::inRange(-50, 10));
    if (*rc::gen::inRange(0, 4) == 0) {
      health.ejected_until = kNow + core::Millis(*rc::gen::inRange(-50, 50));
      health.probing = *rc::gen::arbitrary<bool>();
    }
    pool.health.endpoints[id] = health;
  }
  return pool;
}

Query AnyQuery() {
  Query query;
  query.own_zone = {"a"};
  query.own_zone_only = *rc::gen::arbitrary<bool>();
  query.may_probe = *rc::gen::arbitrary<bool>();
  query.now = kNow;
  if (*rc::gen::arbitrary<bool>()) {
    query.previous =
        core::HostId{"h" + std::to_string(*rc::gen::inRange(0, 4))};
  }
  return query;
}

/// Reference implementation: all endpoints that may be chosen; those of other
/// zones only if the own zone has none.
std::vector<std::string> Allowed(const Pool& pool, const Query& query,
                                 const Limits& limits) {
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const Endpoint& endpoint : pool.routes.endpoints) {
    const bool own = endpoint.zone == query.own_zone;
    if (query.previous != endpoint.host && (own || !query.own_zone_only) &&
        IsEligible(pool.health.endpoints.at(endpoint.host), query, limits)) {
      (own ? near : far).push_back(endpoint.host.value);
    }
  }
  return near.empty() ? far : near;
}

// Guards against requests to endpoints that are leaving, full, ejected or in a
// zone that must not be used, and against refusals while an endpoint is free.
RC_GTEST_PROP(ChooseTest, MatchesTheReferenceImplementation, ()) {
  const Pool pool = AnyPool();
  const Query query = AnyQuery();
  const Limits limits = TestLimits();
  core::Random random = core::SeededRandom(1);
  const auto chosen = Choose(pool.routes, pool.health, query, limits, random);
  const auto allowed = Allowed(pool, query, limits);
  RC_ASSERT(chosen.has_value() == !allowed.empty());
  if (!chosen) {
    return;
  }
  RC_ASSERT(std::count(allowed.begin(), allowed.end(),
                       chosen.value()->host.value) == 1);
  const EndpointHealth& health = pool.health.endpoints.at(chosen.value()->host);
  RC_ASSERT(!health.refused_as_draining);
  RC_ASSERT(health.outstanding < limits.connection_share);
}

// Guards against a choice that ignores cost: of two candidates, the costliest
// endpoint must never be chosen.
TEST(ChooseTest, NeverTakesTheCostliestEndpoint) {
  Pool pool;
  for (int i = 0; i < 5; ++i) {
    const core::HostId id{"h" + std::to_string(i)};
    pool.routes.endpoints.push_back({id, {"a"}, {"127.0.0.1", 1}, {1}, {1}});
    EndpointHealth& health = pool.health.endpoints[id];
    health.concurrency_limit = 4;
    health.latency_ms = i == 2 ? 100 : 1;
  }
  core::Random random = core::SeededRandom(7);
  const Query query{{"a"}, false, std::nullopt, true, kNow};
  for (int i = 0; i < 200; ++i) {
    const auto chosen =
        Choose(pool.routes, pool.health, query, TestLimits(), random);
    ASSERT_TRUE(chosen.has_value());
    EXPECT_NE(chosen.value()->host.value, "h2");
  }
}

// Guards against a new endpoint that gets its full share of requests at once.
TEST(ChooseTest, SlowStartRaisesTheLimitOverTime) {
  EndpointHealth health;
  health.concurrency_limit = 4;
  health.admitted_at = kNow;
  const Limits limits = TestLimits();
  EXPECT_EQ(EffectiveLimit(health, limits, kNow), 1);
  EXPECT_EQ(EffectiveLimit(health, limits, kNow + limits.slow_start / 2), 2);
  EXPECT_EQ(EffectiveLimit(health, limits, kNow + limits.slow_start), 4);
}

}  // namespace
}  // namespace camphormux::routing
