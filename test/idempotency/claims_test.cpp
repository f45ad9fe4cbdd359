#include "camphormux/idempotency/claims.hpp"

#include <gtest/gtest.h>

#include "test/idempotency/world.hpp"

namespace camphormux::idempotency {
namespace {

using world::AppendFate;
using world::World;

// The first read of a stream tells the log's clock.
World ReadyWorld() {
  World world = world::MakeWorld(2);
  world.log.Append("not a batch");
  world::Settle(world);
  EXPECT_EQ(world.gateways[0].claims.fold.malformed_records, 1U);
  return world;
}

// Guards against a store that never lets anything run, and against a second
// gateway that does not learn who holds the key.
TEST(ClaimsTest, TheFirstIntentRunsAndOthersLearnTheHolder) {
  World world = ReadyWorld();
  const std::size_t key = world::NewKey(world);
  world::Claim(world, world.gateways[0], key);
  world::Claim(world, world.gateways[1], key);
  world::Settle(world);
  EXPECT_EQ(world.decisions[DecisionKind::kRun], 1U);
  EXPECT_EQ(world.decisions[DecisionKind::kElsewhere], 1U);
  EXPECT_EQ(world.gateways[0].granted.size(), 1U);
}

// Guards against a key that stays blocked after its holder gave it back.
TEST(ClaimsTest, AReleasedKeyCanRunElsewhere) {
  World world = ReadyWorld();
  const std::size_t key = world::NewKey(world);
  world::Claim(world, world.gateways[0], key);
  world::Settle(world);
  world::Release(world, world.gateways[0]);
  world::Settle(world);
  world::Claim(world, world.gateways[1], key);
  world::Settle(world);
  EXPECT_EQ(world.gateways[1].granted.size(), 1U);
}

// Guards against an intent that landed late and blocks its key for good.
TEST(ClaimsTest, AnIntentThatLandsAfterItsClaimEndedIsReleased) {
  World world = ReadyWorld();
  const std::size_t key = world::NewKey(world);
  world::Claim(world, world.gateways[0], key);
  world::AnswerAppend(world, world.gateways[0], 0, AppendFate::kDelayed);
  world::AnswerRead(world, world.gateways[0], 10);
  world::Pass(world, world::kClaimTimeout);
  EXPECT_EQ(world.decisions[DecisionKind::kNotConfirmed] +
                world.decisions[DecisionKind::kNotRun],
            1U);
  world.log.Append(world.late.at(0));
  world::Settle(world);
  EXPECT_FALSE(FindHold(world.gateways[1].claims.fold, world.keys[key]));
  EXPECT_TRUE(world.gateways[0].claims.releases.empty());
}

// Guards against "not run" when the log can be neither written nor read.
TEST(ClaimsTest, AnOutageProvesNothing) {
  World world = ReadyWorld();
  world::Claim(world, world.gateways[0], world::NewKey(world));
  world::FailRead(world, world.gateways[0]);
  world::AnswerAppend(world, world.gateways[0], 0, AppendFate::kRefused);
  world::Pass(world, world::kClaimTimeout);
  EXPECT_EQ(world.decisions[DecisionKind::kNotConfirmed], 1U);
  EXPECT_EQ(world.decisions[DecisionKind::kNotRun], 0U);
}

// Guards against keys that are forgotten while they can still be claimed, and
// against memory that grows without bound.
TEST(ClaimsTest, AFullMemoryRefusesOldKeys) {
  World world = ReadyWorld();
  Fold& fold = world.gateways[1].claims.fold;
  fold.max_keys = 2;
  const std::size_t first = world::NewKey(world);
  for (int i = 0; i < 4; ++i) {
    const std::size_t key = i == 0 ? first : world::NewKey(world);
    world::Claim(world, world.gateways[0], key);
    world::Settle(world);
  }
  EXPECT_EQ(fold.held.size(), 2U);
  world::Claim(world, world.gateways[1], first);
  world::Settle(world);
  EXPECT_TRUE(world.gateways[1].granted.empty());
  EXPECT_EQ(world.decisions[DecisionKind::kElsewhere] +
                world.decisions[DecisionKind::kGap],
            1U);
}

// Guards against appends above the pace that the log allows.
TEST(ClaimsTest, GroupsIntentsWithinThePace) {
  World world = ReadyWorld();
  const std::size_t before = world.log.records.size();
  for (int i = 0; i < 500; ++i) {
    world::Claim(world, world.gateways[0], world::NewKey(world));
  }
  world::Settle(world);
  EXPECT_EQ(world.gateways[0].granted.size(), 500U);
  EXPECT_LE(world.log.records.size() - before, 3U);
}

}  // namespace
}  // namespace camphormux::idempotency
