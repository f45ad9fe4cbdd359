#include "camphormux/idempotency/claims.hpp"

#include <gtest/gtest.h>

#include "test/idempotency/simulation.hpp"

namespace camphormux::idempotency {
namespace {

using simulation::AppendOutcome;
using simulation::Simulation;

// Returns two gateways that know the log's clock, which they learn from the
// first record that they read.
Simulation ReadySimulation() {
  Simulation simulation = simulation::MakeSimulation(2);
  simulation.log.Append("not a batch");
  simulation::RunUntilIdle(simulation);
  EXPECT_EQ(simulation.gateways[0].claims.fold.malformed_records, 1U);
  return simulation;
}

// Guards against claims that are never decided as `kRun`, and against a second
// gateway that is not told who holds the key.
TEST(ClaimsTest, FirstIntentRunsAndOthersGetTheHolder) {
  Simulation simulation = ReadySimulation();
  const std::size_t key = simulation::NewKey(simulation);
  simulation::Claim(simulation, simulation.gateways[0], key);
  simulation::Claim(simulation, simulation.gateways[1], key);
  simulation::RunUntilIdle(simulation);
  EXPECT_EQ(simulation.decisions[DecisionKind::kRun], 1U);
  EXPECT_EQ(simulation.decisions[DecisionKind::kAlreadyHeld], 1U);
  EXPECT_EQ(simulation.gateways[0].granted.size(), 1U);
}

// Guards against a key that stays held after its holder released it.
TEST(ClaimsTest, ReleasedKeyCanRunAtAnotherGateway) {
  Simulation simulation = ReadySimulation();
  const std::size_t key = simulation::NewKey(simulation);
  simulation::Claim(simulation, simulation.gateways[0], key);
  simulation::RunUntilIdle(simulation);
  simulation::Release(simulation, simulation.gateways[0]);
  simulation::RunUntilIdle(simulation);
  simulation::Claim(simulation, simulation.gateways[1], key);
  simulation::RunUntilIdle(simulation);
  EXPECT_EQ(simulation.gateways[1].granted.size(), 1U);
}

// Guards against a key that stays held by an intent that was stored after its
// claim had ended.
TEST(ClaimsTest, IntentStoredAfterItsClaimEndedIsReleased) {
  Simulation simulation = ReadySimulation();
  const std::size_t key = simulation::NewKey(simulation);
  simulation::Claim(simulation, simulation.gateways[0], key);
  simulation::AnswerAppend(simulation, simulation.gateways[0], 0,
                           AppendOutcome::kDelayed);
  simulation::AnswerRead(simulation, simulation.gateways[0], 10);
  simulation::AdvanceTime(simulation, simulation::kClaimTimeout);
  EXPECT_EQ(simulation.decisions[DecisionKind::kNotConfirmed] +
                simulation.decisions[DecisionKind::kNotRun],
            1U);
  simulation.log.Append(simulation.delayed_appends.at(0));
  simulation::RunUntilIdle(simulation);
  EXPECT_FALSE(
      FindHold(simulation.gateways[1].claims.fold, simulation.keys[key]));
  EXPECT_TRUE(simulation.gateways[0].claims.releases.empty());
}

// Guards against claims that end as not run while the log can be neither
// written nor read, which proves nothing about the key.
TEST(ClaimsTest, ClaimsDuringAnOutageAreNotConfirmed) {
  Simulation simulation = ReadySimulation();
  simulation::Claim(simulation, simulation.gateways[0],
                    simulation::NewKey(simulation));
  simulation::FailRead(simulation, simulation.gateways[0]);
  simulation::AnswerAppend(simulation, simulation.gateways[0], 0,
                           AppendOutcome::kRefused);
  simulation::AdvanceTime(simulation, simulation::kClaimTimeout);
  EXPECT_EQ(simulation.decisions[DecisionKind::kNotConfirmed], 1U);
  EXPECT_EQ(simulation.decisions[DecisionKind::kNotRun], 0U);
}

// Guards against keys that are removed from memory and can then be claimed
// again, and against memory that grows without limit.
TEST(ClaimsTest, FullKeyTableRefusesOldKeys) {
  Simulation simulation = ReadySimulation();
  Fold& fold = simulation.gateways[1].claims.fold;
  fold.max_keys = 2;
  const std::size_t first = simulation::NewKey(simulation);
  for (int i = 0; i < 4; ++i) {
    const std::size_t key = i == 0 ? first : simulation::NewKey(simulation);
    simulation::Claim(simulation, simulation.gateways[0], key);
    simulation::RunUntilIdle(simulation);
  }
  EXPECT_EQ(fold.held.size(), 2U);
  simulation::Claim(simulation, simulation.gateways[1], first);
  simulation::RunUntilIdle(simulation);
  EXPECT_TRUE(simulation.gateways[1].granted.empty());
  EXPECT_EQ(simulation.decisions[DecisionKind::kAlreadyHeld] +
                simulation.decisions[DecisionKind::kRecordsUnread],
            1U);
}

// Guards against more appends than the log accepts per second.
TEST(ClaimsTest, GroupsIntentsWithinTheAppendRate) {
  Simulation simulation = ReadySimulation();
  const std::size_t before = simulation.log.records.size();
  for (int i = 0; i < 500; ++i) {
    simulation::Claim(simulation, simulation.gateways[0],
                      simulation::NewKey(simulation));
  }
  simulation::RunUntilIdle(simulation);
  EXPECT_EQ(simulation.gateways[0].granted.size(), 500U);
  EXPECT_LE(simulation.log.records.size() - before, 3U);
}

}  // namespace
}  // namespace camphormux::idempotency
