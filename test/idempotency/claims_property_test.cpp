#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "test/idempotency/simulation.hpp"

namespace camphormux::idempotency {
namespace {

using simulation::AppendOutcome;
using simulation::Gateway;
using simulation::Simulation;

/// One event. `kind` from 0 to 99 selects the type of event by percentage;
/// `gateway_index` and `argument` select the gateway, key or amount.
struct Event {
  std::uint8_t kind = 0;
  std::uint8_t gateway_index = 0;
  std::uint8_t argument = 0;
};

std::ostream& operator<<(std::ostream& out, const Event& event) {
  return out << '{' << int{event.kind} << ',' << int{event.gateway_index} << ','
             << int{event.argument} << '}';
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

std::size_t RecentKey(Simulation& simulation, std::uint8_t argument) {
  if (simulation.keys.empty() || argument % 4 == 0) {
    return simulation::NewKey(simulation, std::chrono::seconds(argument % 64));
  }
  const std::size_t recent = std::min<std::size_t>(simulation.keys.size(), 4);
  return simulation.keys.size() - 1 - (argument / 4) % recent;
}

core::Millis EventDuration(std::uint8_t argument) {
  // Mostly short; sometimes close to the lifetime of a key.
  return argument % 32 == 1 ? core::Millis(std::chrono::seconds(argument * 5))
                            : core::Millis(argument);
}

void DeliverDelayedAppend(Simulation& simulation, std::uint8_t argument) {
  if (!simulation.delayed_appends.empty()) {
    const auto chosen = simulation.delayed_appends.begin() +
                        static_cast<std::ptrdiff_t>(
                            argument % simulation.delayed_appends.size());
    simulation.log.Append(*chosen);
    if (argument % 2 == 0) {
      simulation.delayed_appends.erase(
          chosen);  // If it stays, it may arrive again.
    }
  }
}

void Apply(Simulation& simulation, const Event& event) {
  ++simulation.step;
  const std::size_t index = event.gateway_index % simulation.gateways.size();
  Gateway& gateway = simulation.gateways[index];
  const auto below = [&event](int percent) { return event.kind < percent; };
  if (below(1)) {
    simulation::Crash(simulation, index);
  } else if (below(3)) {
    simulation.log.earliest +=
        (simulation.log.records.size() - simulation.log.earliest) *
        event.argument / 512;
  } else if (below(6)) {
    simulation::FailRead(simulation, gateway);
  } else if (below(9)) {
    simulation::Release(simulation, gateway);
  } else if (below(14)) {
    simulation::Finish(simulation, gateway);
  } else if (below(18)) {
    DeliverDelayedAppend(simulation, event.argument);
  } else if (below(22)) {
    simulation::AnswerAppend(simulation, gateway, event.argument,
                             AppendOutcome::kAnswerLost);
  } else if (below(25)) {
    simulation::AnswerAppend(simulation, gateway, event.argument,
                             AppendOutcome::kDelayed);
  } else if (below(29)) {
    simulation::AnswerAppend(simulation, gateway, event.argument,
                             AppendOutcome::kRefused);
  } else if (below(40)) {
    simulation::Run(simulation, gateway);
  } else if (below(54)) {
    simulation::AdvanceTime(simulation, EventDuration(event.argument));
  } else if (below(74)) {
    simulation::AnswerRead(simulation, gateway, event.argument % 5 + 1);
  } else if (below(87)) {
    simulation::AnswerAppend(simulation, gateway, event.argument,
                             AppendOutcome::kAnswered);
  } else {
    simulation::Claim(simulation, gateway,
                      RecentKey(simulation, event.argument));
  }
}

// Guards against keys that run twice and against claims that report a key as
// not run that ran, when appends and answers are delayed, lost or repeated,
// gateways pause or crash and the log drops old records.
TEST(ClaimsPropertyTest, NoKeyRunsTwiceAndNotRunIsTrue) {
  std::size_t runs = 0;
  std::map<DecisionKind, std::size_t> decisions;
  const bool holds = rc::check("at most once", [&] {
    const auto length =
        *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(50, 1500));
    const auto events = *rc::gen::container<std::vector<Event>>(
        static_cast<std::size_t>(length), AnyEvent());
    Simulation simulation = simulation::MakeSimulation(3);
    for (const Event& event : events) {
      Apply(simulation, event);
      simulation::CheckHolders(simulation);
      RC_ASSERT(simulation.violations.empty());
    }
    runs += simulation.run_claims.size();
    for (const auto& [kind, count] : simulation.decisions) {
      decisions[kind] += count;
    }
  });
  EXPECT_TRUE(holds);
  // The generated events must have covered these cases.
  EXPECT_GT(runs, 100U);
  for (const DecisionKind kind :
       {DecisionKind::kAlreadyHeld, DecisionKind::kRecordsUnread,
        DecisionKind::kNotRun, DecisionKind::kNotConfirmed,
        DecisionKind::kExpired}) {
    EXPECT_GT(decisions[kind], 0U) << static_cast<int>(kind);
  }
}

// Guards against gateways that have read the same records but disagree on who
// holds a key.
TEST(ClaimsPropertyTest, AllGatewaysAgreeOnHolders) {
  EXPECT_TRUE(rc::check("agreement", [] {
    const auto events =
        *rc::gen::container<std::vector<Event>>(200, AnyEvent());
    Simulation simulation = simulation::MakeSimulation(3);
    for (Event event : events) {
      // Events that drop old records are replaced, so that every gateway reads
      // every record.
      const bool retention = event.kind >= 1 && event.kind < 3;
      event.kind = retention ? 0 : event.kind;
      Apply(simulation, event);
    }
    simulation::RunUntilIdle(simulation);
    for (const Key& key : simulation.keys) {
      const auto hold = FindHold(simulation.gateways[0].claims.fold, key);
      for (const Gateway& gateway : simulation.gateways) {
        RC_ASSERT(gateway.claims.fold.next.value ==
                  simulation.log.records.size());
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
