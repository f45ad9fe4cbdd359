#include "camphormux/routing/endpoint_health.hpp"

#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "camphormux/routing/choice.hpp"

namespace camphormux::routing {
namespace {

constexpr core::MonotonicTime kStart{std::chrono::hours(1)};

Limits TestLimits() {
  Limits limits;
  limits.connection_share = 9;
  return limits;
}

RouteTable Table(int size, std::uint64_t phase_offset = 1) {
  RouteTable table;
  ServiceRoutes& routes = table.services[{"s"}];
  for (int i = 0; i < size; ++i) {
    routes.endpoints.push_back({{"h" + std::to_string(i)},
                                {"a"},
                                {"127.0.0.1", 1},
                                {1},
                                {phase_offset}});
  }
  return table;
}

AttemptReport Report(int host, AttemptOutcome outcome) {
  return {{"h" + std::to_string(host)}, {1}, outcome, core::Millis(10), false};
}

// Guards against ejecting more than a third of a pool, a wrong count of
// requests in flight and a concurrency limit outside its bounds, after any
// sequence of attempt outcomes.
RC_GTEST_PROP(EndpointHealthTest, BoundsHoldForAnySequenceOfEvents, ()) {
  const int size = *rc::gen::inRange(1, 10);
  const RouteTable table = Table(size);
  const ServiceRoutes& routes = table.services.at({"s"});
  const Limits limits = TestLimits();
  core::Random random = core::SeededRandom(1);
  PoolHealth pool;
  core::MonotonicTime now = kStart;
  Reconcile(pool, table, limits, now);
  for (int step = 0; step < 200; ++step) {
    now += core::Millis(*rc::gen::inRange(0, 3000));
    const auto chosen = Choose(
        routes, pool, {{"a"}, false, std::nullopt, true, now}, limits, random);
    if (!chosen) {
      continue;
    }
    const core::HostId host = chosen.value()->host;
    OnStart(pool, host);
    const auto outcome = *rc::gen::weightedElement<AttemptOutcome>(
        {{3, AttemptOutcome::kServed},
         {6, AttemptOutcome::kFailed},
         {2, AttemptOutcome::kRefusedSlots},
         {1, AttemptOutcome::kRefusedMisdirected},
         {1, AttemptOutcome::kCancelled}});
    OnFinish(pool,
             {host, {1}, outcome, core::Millis(5), *rc::gen::arbitrary<bool>()},
             routes, limits, now, random);
    RC_ASSERT(CountEjected(pool, routes) <= EjectionCap(size));
    const EndpointHealth& health = pool.endpoints.at(host);
    RC_ASSERT(health.outstanding == 0);
    RC_ASSERT(health.concurrency_limit >= 1.0);
    RC_ASSERT(health.concurrency_limit <= limits.connection_share);
  }
}

// Guards against an endpoint that stays ejected for ever or becomes eligible
// again without a probe.
TEST(EndpointHealthTest, EjectedEndpointReturnsThroughOneProbe) {
  const RouteTable table = Table(3);
  const ServiceRoutes& routes = table.services.at({"s"});
  const Limits limits = TestLimits();
  core::Random random = core::SeededRandom(1);
  PoolHealth pool;
  Reconcile(pool, table, limits, kStart);
  const core::HostId host{"h0"};
  const EndpointHealth& health = pool.endpoints.at(host);
  for (int i = 0; i < limits.failures_to_eject; ++i) {
    OnStart(pool, host);
    OnFinish(pool, Report(0, AttemptOutcome::kFailed), routes, limits, kStart,
             random);
  }
  Query query{{"a"}, false, std::nullopt, true, kStart};
  EXPECT_FALSE(IsEligible(health, query, limits));
  query.now = kStart + limits.first_ejection;
  query.may_probe = false;
  EXPECT_FALSE(IsEligible(health, query, limits));
  query.may_probe = true;
  EXPECT_TRUE(IsEligible(health, query, limits));
  OnStart(pool, host);
  EXPECT_FALSE(IsEligible(health, query, limits));
  OnFinish(pool, Report(0, AttemptOutcome::kServed), routes, limits, query.now,
           random);
  EXPECT_TRUE(IsEligible(health, query, limits));
}

// Guards against an endpoint that closed a connection and gets its full load
// again when the ejection ends, without a probe.
TEST(EndpointHealthTest, AnEndpointThatClosedAConnectionIsProbed) {
  const RouteTable table = Table(3);
  const ServiceRoutes& routes = table.services.at({"s"});
  const Limits limits = TestLimits();
  core::Random random = core::SeededRandom(1);
  PoolHealth pool;
  Reconcile(pool, table, limits, kStart);
  const core::HostId host{"h0"};
  const EndpointHealth& health = pool.endpoints.at(host);
  Query query{{"a"}, false, std::nullopt, true, kStart};
  AttemptReport closed = Report(0, AttemptOutcome::kServed);
  closed.connection_closed = true;
  for (int round = 0; round < 2; ++round) {
    OnStart(pool, host);
    OnFinish(pool, closed, routes, limits, query.now, random);
    EXPECT_FALSE(IsEligible(health, query, limits));
    query.now += limits.connection_close_ejection;
    query.may_probe = false;
    EXPECT_FALSE(IsEligible(health, query, limits));
    query.may_probe = true;
    EXPECT_TRUE(IsEligible(health, query, limits));
  }
  OnStart(pool, host);
  EXPECT_FALSE(IsEligible(health, query, limits));
  OnFinish(pool, Report(0, AttemptOutcome::kServed), routes, limits, query.now,
           random);
  EXPECT_TRUE(IsEligible(health, query, limits));
}

// Guards against concurrency limits that do not adapt to the slots: seven
// gateways share the eight slots of an endpoint, and few attempts may end in
// refusals.
TEST(EndpointHealthTest, LimitsOfSevenGatewaysSettleAroundTheSlots) {
  constexpr int kGateways = 7;
  constexpr int kSlots = 8;
  constexpr int kRounds = 2000;
  const RouteTable table = Table(1);
  const ServiceRoutes& routes = table.services.at({"s"});
  const Limits limits = TestLimits();
  core::Random random = core::SeededRandom(1);
  std::vector<PoolHealth> pools(kGateways);
  core::MonotonicTime now = kStart;
  for (PoolHealth& pool : pools) {
    Reconcile(pool, table, limits, now);
  }
  int attempts = 0;
  int refusals = 0;
  int served = 0;
  for (int round = 0; round < kRounds; ++round) {
    now += core::Millis(10);  // All running requests end in each round.
    std::vector<int> running;
    for (int turn = 0; turn < kGateways * kSlots; ++turn) {
      const int gateway =
          static_cast<int>(core::UniformBelow(random, kGateways));
      PoolHealth& pool = pools[gateway];
      if (!Choose(routes, pool, {{"a"}, false, std::nullopt, true, now}, limits,
                  random)) {
        continue;
      }
      ++attempts;
      OnStart(pool, {"h0"});
      if (running.size() < kSlots) {
        running.push_back(gateway);
      } else {
        ++refusals;
        OnFinish(pool, Report(0, AttemptOutcome::kRefusedSlots), routes, limits,
                 now, random);
      }
    }
    for (const int gateway : running) {
      ++served;
      OnFinish(pools[gateway], Report(0, AttemptOutcome::kServed), routes,
               limits, now, random);
    }
  }
  RecordProperty("attempts", attempts);
  RecordProperty("refusals", refusals);
  RecordProperty("served", served);
  EXPECT_LT(refusals * 10, attempts);            // The retry budget is 10%.
  EXPECT_GT(served * 10, kRounds * kSlots * 9);  // 90% of the slots are used.
}

// Guards against new requests to a draining endpoint, and against an endpoint
// that stays excluded after its drain was reversed.
TEST(EndpointHealthTest, DrainingRefusalHoldsUntilANewRecord) {
  const Limits limits = TestLimits();
  core::Random random = core::SeededRandom(1);
  PoolHealth pool;
  const RouteTable table = Table(2);
  Reconcile(pool, table, limits, kStart);
  OnStart(pool, {"h0"});
  OnFinish(pool, Report(0, AttemptOutcome::kRefusedDraining),
           table.services.at({"s"}), limits, kStart, random);
  const core::MonotonicTime later = kStart + std::chrono::hours(1);
  const Query query{{"a"}, false, std::nullopt, true, later};
  Reconcile(pool, Table(2), limits, later);
  EXPECT_FALSE(IsEligible(pool.endpoints.at({"h0"}), query, limits));
  Reconcile(pool, Table(2, 5), limits, later);
  EXPECT_TRUE(IsEligible(pool.endpoints.at({"h0"}), query, limits));
}

// Guards against opening more connections than an endpoint accepts.
TEST(EndpointHealthTest, ConnectionSharesNeverExceedTheEndpoint) {
  for (int gateways = 1; gateways <= 64; ++gateways) {
    for (int threads = 1; threads <= 64; ++threads) {
      EXPECT_LE(ConnectionShare(64, gateways, threads) * gateways * threads,
                64);
    }
  }
  EXPECT_EQ(ConnectionShare(64, 7, 1), 9);
}

}  // namespace
}  // namespace camphormux::routing
