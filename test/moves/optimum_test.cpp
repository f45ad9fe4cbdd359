#include <algorithm>
#include <iostream>
#include <string>

#include <gtest/gtest.h>

#include "camphormux/core/random.hpp"
#include "camphormux/moves/moves.hpp"

namespace camphormux::moves {
namespace {

constexpr std::uint64_t kSeed = 4711;
constexpr int kCases = 400;
constexpr int kPools = 3;

/// Cost of an assignment of hosts: missing hosts first, then moves.
struct Cost {
  int shortfall = 0;
  int moves = 0;

  friend auto operator<=>(const Cost&, const Cost&) = default;
};

using Sizes = std::vector<int>;

Cost CostOfSizes(const MoveInput& input, const Sizes& sizes, int moves) {
  Cost cost{0, moves};
  for (int i = 0; i < kPools; ++i) {
    const std::size_t pool = static_cast<std::size_t>(i);
    cost.shortfall += std::max(0, input.pools[pool].needed - sizes[pool]);
  }
  return cost;
}

/// Random pools of admitted hosts. No pool has surplus hosts, as each may want
/// all hosts, and no host is in motion.
MoveInput MakeRandomInput(core::Random& random) {
  MoveInput input;
  input.spare_pool = {"p0"};
  const int hosts = 5 + static_cast<int>(core::UniformBelow(random, 4));
  for (int i = 0; i < hosts; ++i) {
    state::Host host;
    host.id = {"h" + std::to_string(i)};
    host.rack = {"r" + std::to_string(i / 2)};
    host.phase = state::HostPhase::kAdmitted;
    host.pool =
        core::PoolName{"p" + std::to_string(core::UniformBelow(random, 3))};
    input.hosts.push_back(std::move(host));
  }
  for (int i = 0; i < kPools; ++i) {
    PoolTarget target;
    target.pool = {"p" + std::to_string(i)};
    target.floor = 1;
    target.needed = 1 + static_cast<int>(core::UniformBelow(random, 4));
    target.wanted = hosts;
    target.host_availability = 0.5;
    input.pools.push_back(target);
  }
  return input;
}

int PoolOf(const core::PoolName& pool) { return pool.value.back() - '0'; }

Sizes CurrentPoolSizes(const MoveInput& input) {
  Sizes sizes(kPools, 0);
  for (const state::Host& host : input.hosts) {
    ++sizes[static_cast<std::size_t>(PoolOf(*host.pool))];
  }
  return sizes;
}

/// Tries every pool for every host. A pool gives hosts only while it keeps its
/// floor and its needed size.
Cost FindOptimum(const MoveInput& input) {
  const Sizes before = CurrentPoolSizes(input);
  const std::size_t hosts = input.hosts.size();
  std::size_t choices = 1;
  for (std::size_t i = 0; i < hosts; ++i) {
    choices *= kPools;
  }
  Cost best{1000, 1000};
  for (std::size_t choice = 0; choice < choices; ++choice) {
    Sizes after(kPools, 0);
    Sizes left = before;
    int moves = 0;
    std::size_t rest = choice;
    for (const state::Host& host : input.hosts) {
      const int to = static_cast<int>(rest % kPools);
      rest /= kPools;
      ++after[static_cast<std::size_t>(to)];
      if (to != PoolOf(*host.pool)) {
        --left[static_cast<std::size_t>(PoolOf(*host.pool))];
        ++moves;
      }
    }
    bool allowed = true;
    for (std::size_t pool = 0; pool < kPools; ++pool) {
      const PoolTarget& target = input.pools[pool];
      const bool gives = left[pool] < before[pool];
      allowed = allowed &&
                (!gives || left[pool] >= std::max(target.floor, target.needed));
    }
    if (allowed) {
      best = std::min(best, CostOfSizes(input, after, moves));
    }
  }
  return best;
}

// Guards against unserved demand and unnecessary moves where an exhaustive
// search finds a better assignment.
TEST(DecideMovesTest, MatchesExhaustiveSearchOnSmallCases) {
  core::Random random = core::SeededRandom(kSeed);
  int excess_moves = 0;
  int total_moves = 0;
  for (int i = 0; i < kCases; ++i) {
    const MoveInput input = MakeRandomInput(random);
    const MoveDecision decision = DecideMoves(input);
    Sizes sizes = CurrentPoolSizes(input);
    for (const Move& move : decision.drains) {
      --sizes[static_cast<std::size_t>(PoolOf(*move.from))];
      ++sizes[static_cast<std::size_t>(PoolOf(move.to))];
    }
    const Cost greedy =
        CostOfSizes(input, sizes, static_cast<int>(decision.drains.size()));
    const Cost optimum = FindOptimum(input);
    EXPECT_EQ(greedy, optimum) << "case " << i << " of seed " << kSeed;
    excess_moves += greedy.moves - optimum.moves;
    total_moves += optimum.moves;
  }
  std::cout << kCases << " cases, seed " << kSeed << ": " << total_moves
            << " moves of the optimum, " << excess_moves
            << " more by the greedy choice\n";
}

}  // namespace
}  // namespace camphormux::moves
