#include "camphormux/http/connection_budget.hpp"

#include <array>
#include <vector>

#include <gtest/gtest.h>

namespace camphormux::http {
namespace {

constexpr core::MonotonicTime kStart{std::chrono::seconds(100)};

struct ConnectionBudgetTest : testing::Test {
  ConnectionBudgetTest() {
    budget.options.total = {1'000};
    budget.options.always_read = {100};
    for (std::size_t i = 0; i < uses.size(); ++i) {
      uses[i].moved = kStart;
      uses[i].unfinished = true;
      uses[i].shut_down = [this, i] {
        closed.push_back(i);
        Forget(budget, uses[i]);
      };
      budget.connections.insert(&uses[i]);
    }
  }
  void Hold(std::size_t index, std::int64_t bytes) {
    uses[index].held = bytes;
    Count(budget, uses[index]);
  }
  ConnectionBudget budget;
  std::array<ConnectionUse, 4> uses;
  std::vector<std::size_t> closed;
};

// Guards against closing more than is needed, or connections that still move.
TEST_F(ConnectionBudgetTest, ClosesTheLargestStalledConnectionFirst) {
  Hold(0, 300);
  Hold(1, 400);
  Hold(2, 500);
  Hold(3, 200);
  uses[2].moved = kStart + core::Millis(900);
  EXPECT_FALSE(MayRead(budget, uses[2], kStart + core::Millis(500)) &&
               MayRead(budget, uses[3], kStart + core::Millis(500)));
  EXPECT_TRUE(closed.empty());
  EXPECT_TRUE(MayRead(budget, uses[3], kStart + core::Millis(1'000)));
  EXPECT_EQ(closed, (std::vector<std::size_t>{1, 0}));
  EXPECT_EQ(budget.held, 700);
}

// Guards against connections that all wait for each other, and against a wait
// that counts as a stall of the client.
TEST_F(ConnectionBudgetTest, ReadsOneLargeRequestAtATimePastTheBudget) {
  Hold(0, 600);
  Hold(1, 600);
  Hold(2, 50);
  EXPECT_TRUE(MayRead(budget, uses[0], kStart));
  EXPECT_FALSE(MayRead(budget, uses[1], kStart));
  EXPECT_TRUE(MayRead(budget, uses[2], kStart));
  uses[0].moved = kStart + core::Millis(4'900);
  EXPECT_FALSE(MayRead(budget, uses[1], kStart + core::Millis(5'000)));
  EXPECT_EQ(closed, std::vector<std::size_t>{2});
  Hold(0, 0);
  EXPECT_TRUE(MayRead(budget, uses[1], kStart + core::Millis(5'100)));
  EXPECT_EQ(uses[1].moved, kStart + core::Millis(5'100));
}

// Guards against closing a connection whose request is being handled.
TEST_F(ConnectionBudgetTest, MakesRoomByTheConnectionThatRestedLongest) {
  uses[0].handling = true;
  for (std::size_t i = 1; i < uses.size(); ++i) {
    uses[i].moved = kStart + core::Millis(10 - i);
  }
  MakeRoom(budget, budget.connections, uses[3]);
  EXPECT_EQ(closed, std::vector<std::size_t>{2});
}

}  // namespace
}  // namespace camphormux::http
