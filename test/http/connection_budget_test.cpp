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
  void Admit(std::size_t index, std::int64_t bytes, std::int64_t may_hold) {
    Hold(index, bytes);
    uses[index].may_hold = may_hold;
    EXPECT_TRUE(MayRead(budget, uses[index], kStart));
  }
  ConnectionBudget budget;
  std::array<ConnectionUse, 4> uses;
  std::vector<std::size_t> closed;
};

// Guards against closing more than is needed, or connections that still move
// or wait.
TEST_F(ConnectionBudgetTest, ClosesTheLargestStalledConnectionFirst) {
  Admit(0, 200, 300);
  Admit(1, 200, 400);
  Admit(2, 200, 250);
  Hold(3, 150);
  uses[2].moved = kStart + core::Millis(900);
  uses[3].may_hold = 200;
  EXPECT_FALSE(MayRead(budget, uses[3], kStart + core::Millis(500)));
  EXPECT_TRUE(closed.empty());
  EXPECT_TRUE(MayRead(budget, uses[3], kStart + core::Millis(1'000)));
  EXPECT_EQ(closed, std::vector<std::size_t>{1});
  EXPECT_EQ(budget.held, 750);
  EXPECT_EQ(uses[3].moved, kStart + core::Millis(1'000));
}

// Guards against an admission that is kept by a byte now and then, and against
// closing a request that arrives at the rate that is asked for.
TEST_F(ConnectionBudgetTest, ClosesAnAdmittedConnectionThatIsTooSlow) {
  budget.options.min_rate = {100};
  Admit(0, 200, 500);
  Admit(1, 200, 500);
  Hold(2, 150);
  uses[2].may_hold = 400;
  const auto at = [&](core::Millis since, std::int64_t first_read) {
    uses[0].read = first_read;
    uses[1].read = 1;
    uses[0].moved = uses[1].moved = uses[2].moved = kStart + since;
    return MayRead(budget, uses[2], kStart + since);
  };
  EXPECT_FALSE(at(core::Millis(3'000), 1));
  EXPECT_TRUE(closed.empty());
  EXPECT_TRUE(at(core::Millis(4'000), 100));
  EXPECT_EQ(closed, std::vector<std::size_t>{1});
}

// Guards against requests that all wait for each other half-way, and against a
// budget that is smaller than one request.
TEST_F(ConnectionBudgetTest, ReadsAnAdmittedRequestToItsEnd) {
  Admit(0, 150, 2'000);
  Hold(1, 150);
  Hold(2, 100);
  uses[1].may_hold = 300;
  EXPECT_FALSE(MayRead(budget, uses[1], kStart));
  EXPECT_TRUE(MayRead(budget, uses[2], kStart));
  Hold(0, 2'000);
  EXPECT_TRUE(MayRead(budget, uses[0], kStart));
  Hold(0, 0);
  EXPECT_TRUE(MayRead(budget, uses[1], kStart));
  EXPECT_EQ(budget.held, 400);
  EXPECT_TRUE(closed.empty());
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

// Guards against strangers that push out a node which is served now and then.
TEST_F(ConnectionBudgetTest, MakesRoomByConnectionsThatWereNeverServed) {
  for (std::size_t i = 0; i < uses.size(); ++i) {
    uses[i].moved = kStart + core::Millis(i);
    uses[i].served = i != 2;
  }
  MakeRoom(budget, budget.connections, uses[3]);
  EXPECT_EQ(closed, std::vector<std::size_t>{2});
}

// Guards against small requests that find no memory, and against unfinished
// requests that keep it.
TEST_F(ConnectionBudgetTest, RefusesOnlyWhatIsLargeWhileMemoryIsShort) {
  Hold(0, 600);
  Hold(1, 350);
  uses[0].moved = kStart + core::Millis(500);
  EXPECT_TRUE(MayHold(budget, uses[2], 50, kStart));
  EXPECT_TRUE(MayHold(budget, uses[2], 100, kStart));
  EXPECT_FALSE(MayHold(budget, uses[2], 101, kStart));
  EXPECT_TRUE(MayHold(budget, uses[2], 400, kStart + core::Millis(1'000)));
  EXPECT_EQ(closed, std::vector<std::size_t>{1});
  uses[0].closing = true;
  EXPECT_FALSE(MayHold(budget, uses[0], 0, kStart + core::Millis(1'000)));
}

}  // namespace
}  // namespace camphormux::http
