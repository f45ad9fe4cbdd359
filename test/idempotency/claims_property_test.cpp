#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "test/idempotency/world.hpp"

namespace camphormux::idempotency {
namespace {

using world::AppendFate;
using world::Gateway;
using world::World;

/// One event; `kind` is a percentage, `where` and `what` choose the gateway,
/// key or amount.
struct Event {
  std::uint8_t kind = 0;
  std::uint8_t where = 0;
  std::uint8_t what = 0;
};

std::ostream& operator<<(std::ostream& out, const Event& event) {
  return out << '{' << int{event.kind} << ',' << int{event.where} << ','
             << int{event.what} << '}';
}

/// The size is fixed, because RapidCheck otherwise draws small numbers only at
/// first and rare events would not occur.
rc::Gen<Event> AnyEvent() {
  return rc::gen::resize(
      rc::kNominalSize,
      rc::gen::construct<Event>(rc::gen::inRange<std::uint8_t>(0, 100),
                                rc::gen::arbitrary<std::uint8_t>(),
                                rc::gen::arbitrary<std::uint8_t>()));
}

std::size_t RecentKey(World& world, std::uint8_t what) {
  if (world.keys.empty() || what % 4 == 0) {
    return world::NewKey(world, std::chrono::seconds(what % 64));
  }
  const std::size_t recent = std::min<std::size_t>(world.keys.size(), 4);
  return world.keys.size() - 1 - (what / 4) % recent;
}

core::Millis Amount(std::uint8_t what) {
  // Mostly short; sometimes around the lifetime of a key.
  return what % 32 == 1 ? core::Millis(std::chrono::seconds(what * 5))
                        : core::Millis(what);
}

void LandLate(World& world, std::uint8_t what) {
  if (!world.late.empty()) {
    const auto chosen = world.late.begin() +
                        static_cast<std::ptrdiff_t>(what % world.late.size());
    world.log.Append(*chosen);
    if (what % 2 == 0) {
      world.late.erase(chosen);  // Otherwise it may arrive once more.
    }
  }
}

void Apply(World& world, const Event& event) {
  ++world.step;
  const std::size_t index = event.where % world.gateways.size();
  Gateway& gateway = world.gateways[index];
  const auto below = [&event](int percent) { return event.kind < percent; };
  if (below(1)) {
    world::Crash(world, index);
  } else if (below(3)) {
    world.log.earliest +=
        (world.log.records.size() - world.log.earliest) * event.what / 512;
  } else if (below(6)) {
    world::FailRead(world, gateway);
  } else if (below(9)) {
    world::Release(world, gateway);
  } else if (below(14)) {
    world::Finish(world, gateway);
  } else if (below(18)) {
    LandLate(world, event.what);
  } else if (below(22)) {
    world::AnswerAppend(world, gateway, event.what, AppendFate::kAnswerLost);
  } else if (below(25)) {
    world::AnswerAppend(world, gateway, event.what, AppendFate::kDelayed);
  } else if (below(29)) {
    world::AnswerAppend(world, gateway, event.what, AppendFate::kRefused);
  } else if (below(40)) {
    world::Run(world, gateway);
  } else if (below(54)) {
    world::Pass(world, Amount(event.what));
  } else if (below(74)) {
    world::AnswerRead(world, gateway, event.what % 5 + 1);
  } else if (below(87)) {
    world::AnswerAppend(world, gateway, event.what, AppendFate::kAnswered);
  } else {
    world::Claim(world, gateway, RecentKey(world, event.what));
  }
}

// Guards against keys that run twice and against "not run" for a key that ran,
// whatever is delayed, lost, repeated, paused, crashed or no longer kept.
TEST(ClaimsPropertyTest, NoKeyRunsTwiceAndNotRunIsTrue) {
  std::size_t runs = 0;
  std::map<DecisionKind, std::size_t> decisions;
  const bool holds = rc::check("at most once", [&] {
    const auto length =
        *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(50, 1500));
    const auto events = *rc::gen::container<std::vector<Event>>(
        static_cast<std::size_t>(length), AnyEvent());
    World world = world::MakeWorld(3);
    for (const Event& event : events) {
      Apply(world, event);
      world::CheckHolders(world);
      RC_ASSERT(world.violations.empty());
    }
    runs += world.run_claims.size();
    for (const auto& [kind, count] : world.decisions) {
      decisions[kind] += count;
    }
  });
  EXPECT_TRUE(holds);
  // The runs must have reached the cases that they are about.
  EXPECT_GT(runs, 100U);
  for (const DecisionKind kind :
       {DecisionKind::kElsewhere, DecisionKind::kGap, DecisionKind::kNotRun,
        DecisionKind::kNotConfirmed, DecisionKind::kExpired}) {
    EXPECT_GT(decisions[kind], 0U) << static_cast<int>(kind);
  }
}

// Guards against gateways that read the same records and differ.
TEST(ClaimsPropertyTest, AllGatewaysAgreeOnHolders) {
  EXPECT_TRUE(rc::check("agreement", [] {
    const auto events =
        *rc::gen::container<std::vector<Event>>(200, AnyEvent());
    World world = world::MakeWorld(3);
    for (Event event : events) {
      // Without retention every gateway reads every record.
      const bool retention = event.kind >= 1 && event.kind < 3;
      event.kind = retention ? 0 : event.kind;
      Apply(world, event);
    }
    world::Settle(world);
    for (const Key& key : world.keys) {
      const auto hold = FindHold(world.gateways[0].claims.fold, key);
      for (const Gateway& gateway : world.gateways) {
        RC_ASSERT(gateway.claims.fold.next.value == world.log.records.size());
        const auto other = FindHold(gateway.claims.fold, key);
        RC_ASSERT(hold.has_value() == other.has_value());
        RC_ASSERT(!hold || (hold->claimant == other->claimant &&
                            hold->number == other->number));
      }
    }
  }));
}

}  // namespace
}  // namespace camphormux::idempotency
