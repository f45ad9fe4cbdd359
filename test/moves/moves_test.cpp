#include "camphormux/moves/moves.hpp"

#include <algorithm>
#include <set>
#include <string>

#include <gtest/gtest.h>

namespace camphormux::moves {
namespace {

using state::DrainReason;
using state::HostPhase;

/// Adds admitted hosts of a pool, four per rack.
void AddHosts(MoveInput& input, const char* pool, int count) {
  for (int i = 0; i < count; ++i) {
    state::Host host;
    const std::size_t number = input.hosts.size();
    host.id = {"h" + std::to_string(100 + number)};
    host.rack = {"r" + std::to_string(number / 4)};
    host.pool = core::PoolName{pool};
    host.phase = HostPhase::kAdmitted;
    input.hosts.push_back(host);
  }
}

MoveInput MakeInput() {
  MoveInput input;
  input.spare_pool = {"spare"};
  AddHosts(input, "x", 4);
  AddHosts(input, "y", 4);
  AddHosts(input, "spare", 4);
  input.pools = {{{"x"}, 2, 2, 4, 0.5, 2, {}, 0},
                 {{"y"}, 2, 2, 4, 0.5, 1, {}, 0},
                 {{"spare"}, 1, 1, 1, 0.25, 1, {}, 0}};
  return input;
}

// Guards against unnecessary moves: pools with a size between needed and wanted
// must not change.
TEST(DecideMovesTest, MakesNoMovesBetweenNeededAndWantedSize) {
  const MoveDecision decision = DecideMoves(MakeInput());
  EXPECT_TRUE(decision.drains.empty());
  EXPECT_TRUE(decision.assignments.empty());
  EXPECT_TRUE(decision.reversals.empty());
}

// Guards against taking hosts from a pool in use while the spare pool can give
// some.
TEST(DecideMovesTest, TakesSpareHostsFirstAndKeepsDonorsAtTheirNeededSize) {
  MoveInput input = MakeInput();
  input.pools[0].needed = 9;
  const MoveDecision decision = DecideMoves(input);
  ASSERT_EQ(decision.drains.size(), 5U);
  for (std::size_t i = 0; i < 5; ++i) {
    const Move& move = decision.drains[i];
    EXPECT_EQ(move.from->value, i < 3 ? "spare" : "y");
    EXPECT_EQ(move.to.value, "x");
    EXPECT_EQ(move.reason.cause, MoveCause::kBelowNeeded);
    EXPECT_GT(move.reason.from_hosts, move.reason.from_minimum);
  }
}

// Guards against a drain that violates the donor's availability budget.
TEST(DecideMovesTest, RespectsTheAvailabilityBudget) {
  MoveInput input = MakeInput();
  input.pools[0].needed = 9;
  input.pools[1].host_availability = 1.0;
  input.hosts[4].phase = HostPhase::kDraining;
  input.hosts[4].drain_reason = DrainReason::kMaintenance;
  const MoveDecision decision = DecideMoves(input);
  EXPECT_EQ(decision.drains.size(), 3U);
  ASSERT_EQ(decision.shortfalls.size(), 1U);
  EXPECT_EQ(decision.shortfalls[0].blocker, MoveBlocker::kBudget);
}

// Guards against completing a move after the surge that caused it has ended.
TEST(DecideMovesTest, ReversesUnneededDrains) {
  MoveInput input = MakeInput();
  for (const std::size_t host : {std::size_t{4}, std::size_t{8}}) {
    input.hosts[host].phase = HostPhase::kDraining;
    input.hosts[host].drain_reason = DrainReason::kMove;
  }
  const MoveDecision decision = DecideMoves(input);
  ASSERT_EQ(decision.reversals.size(), 2U);
  EXPECT_EQ(decision.reversals[0].pool.value, "y");
  EXPECT_TRUE(decision.drains.empty());
  input.pools[0].needed = 6;
  EXPECT_TRUE(DecideMoves(input).reversals.empty());
}

// Guards against a released host that remains without a pool, or is assigned to
// a pool that no longer needs it.
TEST(DecideMovesTest, AssignsReleasedHostsByPresentNeed) {
  MoveInput input = MakeInput();
  input.hosts[8].phase = HostPhase::kReleased;
  input.hosts[8].pool.reset();
  EXPECT_EQ(DecideMoves(input).assignments.at(0).to.value, "spare");
  input.pools[1].needed = 5;
  const MoveDecision decision = DecideMoves(input);
  EXPECT_EQ(decision.assignments.at(0).to.value, "y");
  EXPECT_TRUE(decision.drains.empty());
}

// Guards against many moves at once in response to a correlated failure or a
// wrong host list.
TEST(DecideMovesTest, KeepsTheAssignmentWhenManyHostsAreMissing) {
  MoveInput input = MakeInput();
  input.pools[0].needed = 6;
  input.missing = {input.hosts[0].id, input.hosts[1].id};
  EXPECT_FALSE(DecideMoves(input).drains.empty());
  input.missing.insert(input.hosts[2].id);
  const MoveDecision decision = DecideMoves(input);
  EXPECT_TRUE(decision.frozen);
  EXPECT_TRUE(decision.drains.empty());
  ASSERT_EQ(decision.shortfalls.size(), 1U);
  EXPECT_EQ(decision.shortfalls[0].blocker, MoveBlocker::kManyMissing);
}

// Guards against more concurrent moves than the limits allow.
TEST(DecideMovesTest, LimitsMovesInFlight) {
  MoveInput input = MakeInput();
  input.pools[0].needed = 8;
  input.limits.in_flight_per_pool = 1;
  EXPECT_EQ(DecideMoves(input).drains.size(), 2U);
  input.limits.in_flight_per_pool = 6;
  input.limits.in_flight_per_rack = 2;
  const MoveDecision decision = DecideMoves(input);
  EXPECT_EQ(decision.drains.size(), 4U);
  EXPECT_TRUE(decision.shortfalls.empty());
}

// Guards against filling a renamed pool from other pools while the hosts under
// its old name, which must move anyway, drain as well.
TEST(DecideMovesTest, FillsARenamedPoolWithItsOwnHosts) {
  for (const int in_flight_per_rack : {1, 4}) {
    MoveInput input = MakeInput();
    input.limits.in_flight_per_rack = in_flight_per_rack;
    input.pools[0].pool = {"renamed"};
    input.pools[0].needed = 4;
    std::set<core::HostId> drained;
    for (int step = 0; step < 20; ++step) {
      const MoveDecision decision = DecideMoves(input);
      for (const Move& move : decision.drains) {
        EXPECT_EQ(move.from->value, "x");
        EXPECT_EQ(move.to.value, "renamed");
        EXPECT_EQ(move.reason.cause, MoveCause::kUnknownPool);
        drained.insert(move.host);
      }
      EXPECT_TRUE(decision.reversals.empty());
      for (state::Host& host : input.hosts) {
        const bool released = std::any_of(
            decision.assignments.begin(), decision.assignments.end(),
            [&](const Move& move) { return move.host == host.id; });
        if (released) {
          host.pool = core::PoolName{"renamed"};
          host.phase = HostPhase::kAdmitted;
        } else if (host.phase == HostPhase::kDraining && step % 3 == 2) {
          host.phase = HostPhase::kReleased;
          host.pool.reset();
        } else if (host.phase == HostPhase::kAdmitted &&
                   drained.contains(host.id) && host.pool->value == "x") {
          host.phase = HostPhase::kDraining;
          host.drain_reason = DrainReason::kMove;
        }
      }
    }
    EXPECT_EQ(drained.size(), 4U);
    EXPECT_EQ(std::count_if(input.hosts.begin(), input.hosts.end(),
                            [](const state::Host& host) {
                              return host.pool == core::PoolName{"renamed"};
                            }),
              4);
  }
}

}  // namespace
}  // namespace camphormux::moves
