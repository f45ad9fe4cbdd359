#include "camphormux/coordinator/election.hpp"

#include <gtest/gtest.h>

namespace camphormux::coordinator {
namespace {

struct World {
  World() {
    ElectionPort port;
    port.join = [this](auto done) {
      ++joins;
      done(answer);
    };
    port.leave = [this](auto done) {
      ++leaves;
      done();
    };
    port.find_members = [this](auto done) { done(members); };
    election = std::make_shared<Election>(
        loop, port,
        Election::Listener{
            [this](core::Epoch token) { tokens.push_back(token); },
            [this] { ++losses; }, [](const std::vector<core::Address>&) {}});
  }

  void RunFor(std::chrono::milliseconds span) {
    loop.restart();
    loop.run_for(span);
  }

  asio::io_context loop;
  std::optional<MembershipAnswer> answer = MembershipAnswer{{1}, false};
  std::optional<Members> members;
  std::vector<core::Epoch> tokens;
  int joins = 0;
  int leaves = 0;
  int losses = 0;
  std::shared_ptr<Election> election;
};

// Guards against memberships that lapse because callers in trouble ask for a
// refresh again and again.
TEST(ElectionTest, RefreshesDoNotPutJoinsOff) {
  World world;
  world.election->Start();
  const int before = world.joins;
  for (int i = 0; i < 100 && world.joins == before; ++i) {
    world.election->Refresh();
    world.RunFor(std::chrono::milliseconds(10));
  }
  EXPECT_GT(world.joins, before);
}

// Guards against two holders with one token.
TEST(ElectionTest, EachGainHasTheGenerationOfItsAnswer) {
  World world;
  world.answer = MembershipAnswer{{5}, true};
  world.election->Start();
  ASSERT_EQ(world.tokens.size(), 1U);
  EXPECT_EQ(world.tokens[0].value, 5U);
  world.answer = MembershipAnswer{{6}, true};
  world.RunFor(std::chrono::milliseconds(500));
  EXPECT_EQ(world.tokens.size(), 1U);
  world.answer = MembershipAnswer{{7}, false};
  world.RunFor(std::chrono::milliseconds(500));
  EXPECT_EQ(world.losses, 1);
  world.answer = MembershipAnswer{{8}, true};
  world.RunFor(std::chrono::milliseconds(500));
  ASSERT_EQ(world.tokens.size(), 2U);
  EXPECT_EQ(world.tokens[1].value, 8U);
}

// Guards against a node that thinks it is confirmed while the store is away.
TEST(ElectionTest, ConfirmationEndsWithoutAnswers) {
  World world;
  world.election->Start();
  EXPECT_TRUE(world.election->is_confirmed());
  world.answer.reset();
  world.RunFor(kOwnershipTtl + core::Millis(200));
  EXPECT_FALSE(world.election->is_confirmed());
}

// Guards against a small node that becomes the holder of a large fleet, and
// against a fleet of small nodes that has no holder at all.
TEST(ElectionTest, AReluctantNodeJoinsOnlyWithoutAHolder) {
  World world;
  ElectionPort port;
  int joins = 0;
  port.join = [&](auto done) {
    ++joins;
    done(MembershipAnswer{{1}, false});
  };
  std::optional<Members> members =
      Members{core::Address{"10.0.0.1", 1}, {{"10.0.0.1", 1}}};
  port.find_members = [&](auto done) { done(members); };
  const auto election = std::make_shared<Election>(
      world.loop, port,
      Election::Listener{[](core::Epoch) {}, [] {},
                         [](const std::vector<core::Address>&) {}},
      true);
  election->Start();
  world.RunFor(std::chrono::milliseconds(2500));
  EXPECT_EQ(joins, 0);
  EXPECT_TRUE(election->holder());
  members = Members{};
  world.RunFor(std::chrono::milliseconds(5500));
  EXPECT_GT(joins, 0);
}

// Guards against a leaving node that takes the ownership again.
TEST(ElectionTest, ANodeThatLeftDoesNotJoinAgain) {
  World world;
  world.election->Start();
  world.election->Leave([] {});
  const int joins = world.joins;
  world.election->Refresh();
  world.RunFor(std::chrono::milliseconds(600));
  EXPECT_EQ(world.joins, joins);
  EXPECT_EQ(world.leaves, 1);
}

}  // namespace
}  // namespace camphormux::coordinator
