#include "camphormux/coordinator/election.hpp"

#include <algorithm>
#include <list>
#include <set>
#include <string>

#include <gtest/gtest.h>

namespace camphormux::coordinator {
namespace {

/// One node on a store that answers as the test says.
struct World {
  explicit World(bool last_resort = false) {
    ElectionPort port;
    port.join = [this](auto done) {
      ++joins;
      done(answer);
    };
    port.leave = [this](auto done) {
      ++leaves;
      done();
    };
    port.find_holder = [this](auto done) {
      ++looks;
      done(ownership);
    };
    port.evict_previous_process = [this](auto done) {
      ++evictions;
      ownership = Ownership{};
      done();
    };
    port.announce = [](auto done) { done(std::nullopt); };
    election = std::make_shared<Election>(
        loop, port,
        Election::Listener{
            [this](core::Epoch token) { tokens.push_back(token); },
            [this] { ++losses; },
            [](const std::vector<coordinator::Member>&) {}},
        0, last_resort);
  }

  void RunFor(std::chrono::milliseconds span) {
    loop.restart();
    loop.run_for(span);
  }

  asio::io_context loop;
  std::optional<MembershipAnswer> answer = MembershipAnswer{{1}, false};
  std::optional<Ownership> ownership = Ownership{};
  std::vector<core::Epoch> tokens;
  int joins = 0;
  int leaves = 0;
  int looks = 0;
  int losses = 0;
  int evictions = 0;
  std::shared_ptr<Election> election;
};

// Guards against a dead holder that is not noticed because callers in trouble
// ask for a refresh again and again.
TEST(ElectionTest, RefreshesDoNotPutLooksOff) {
  World world;
  world.ownership->holder = core::Address{"10.0.0.1", 1};
  world.election->Start();
  const int before = world.looks;
  for (int i = 0; i < 100 && world.looks == before; ++i) {
    world.election->Refresh();
    world.RunFor(std::chrono::milliseconds(10));
  }
  EXPECT_GT(world.looks, before);
}

// Guards against a membership that lapses because its node is busy with
// callers in trouble.
TEST(ElectionTest, RefreshesDoNotPutJoinsOff) {
  World world;
  world.election->Start();
  const int before = world.joins;
  EXPECT_GT(before, 0);
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
  world.answer = MembershipAnswer{{5}, true};
  world.election->Start();
  EXPECT_TRUE(world.election->is_confirmed());
  world.answer.reset();
  world.RunFor(kOwnershipTtl + core::Millis(200));
  EXPECT_FALSE(world.election->is_confirmed());
}

// Guards against a restarted or added node that takes the ownership from a
// working holder: decisions rest at each change.
TEST(ElectionTest, AWorkingHolderIsLeftAlone) {
  World world;
  world.ownership->holder = core::Address{"10.0.0.1", 1};
  world.election->Start();
  world.RunFor(std::chrono::milliseconds(2500));
  EXPECT_EQ(world.joins, 0);
  EXPECT_EQ(world.election->holder(), world.ownership->holder);
}

// Guards against a candidate that stays in the group beside the holder: the
// store may deal the ownership anew.
TEST(ElectionTest, ACandidateWithdrawsWhenAnotherNodeHolds) {
  World world;
  world.election->Start();
  EXPECT_EQ(world.joins, 1);
  world.ownership->holder = core::Address{"10.0.0.1", 1};
  world.RunFor(std::chrono::milliseconds(500));
  EXPECT_EQ(world.leaves, 1);
  const int joins = world.joins;
  world.RunFor(std::chrono::milliseconds(1000));
  EXPECT_EQ(world.joins, joins);
}

// Guards against a restarted holder that waits until its own earlier
// membership lapses.
TEST(ElectionTest, ThePastLifeOfANodeIsEvicted) {
  World world;
  world.ownership = Ownership{core::Address{"10.0.0.9", 1}, true};
  world.answer = MembershipAnswer{{3}, true};
  world.election->Start();
  world.RunFor(std::chrono::milliseconds(600));
  EXPECT_EQ(world.evictions, 1);
  EXPECT_EQ(world.tokens.size(), 1U);
}

// Guards against a small node that becomes the holder of a large fleet, and
// against a fleet of small nodes that has no holder at all.
TEST(ElectionTest, AReluctantNodeJoinsOnlyWithoutAHolder) {
  World world(true);
  world.ownership->holder = core::Address{"10.0.0.1", 1};
  world.election->Start();
  world.RunFor(std::chrono::milliseconds(2500));
  EXPECT_EQ(world.joins, 0);
  EXPECT_TRUE(world.election->holder());
  world.ownership = Ownership{};
  world.RunFor(std::chrono::milliseconds(3000));
  EXPECT_EQ(world.joins, 0);
  world.RunFor(std::chrono::milliseconds(3500));
  EXPECT_GT(world.joins, 0);
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

/// Several nodes on one group, which deals the ownership to the candidate
/// that joined last.
struct Group {
  struct Member {
    core::Address address;
    std::shared_ptr<Election> election;
    int gains = 0;
    bool holds = false;
  };

  void Add(std::size_t candidate_rank) {
    Member& member = members.emplace_back();
    member.address = {"10.0.0." + std::to_string(members.size()), 1};
    ElectionPort port;
    port.join = [this, &member](auto done) {
      if (std::find(joined.begin(), joined.end(), &member) == joined.end()) {
        joined.push_back(&member);
        ++generation;
      }
      done(MembershipAnswer{{generation}, joined.back() == &member});
    };
    port.leave = [this, &member](auto done) {
      Remove(member);
      done();
    };
    port.find_holder = [this](auto done) {
      done(joined.empty() ? Ownership{} : Ownership{joined.back()->address});
    };
    port.announce = [](auto done) { done(std::nullopt); };
    member.election = std::make_shared<Election>(
        loop, port,
        Election::Listener{[&member](core::Epoch) {
                             ++member.gains;
                             member.holds = true;
                           },
                           [&member] { member.holds = false; },
                           [](const std::vector<coordinator::Member>&) {}},
        candidate_rank);
  }

  void Remove(Member& member) {
    generation += static_cast<std::uint64_t>(std::erase(joined, &member));
  }

  void Kill(Member& member) {
    member.election->Close();
    member.holds = false;
    Remove(member);  // Its time to live is over.
  }

  [[nodiscard]] std::ptrdiff_t Holders() const {
    return std::count_if(members.begin(), members.end(),
                         [](const Member& member) { return member.holds; });
  }

  [[nodiscard]] int Gains() const {
    int gains = 0;
    for (const Member& member : members) {
      gains += member.gains;
    }
    return gains;
  }

  void RunFor(std::chrono::milliseconds span) {
    loop.restart();
    loop.run_for(span);
  }

  asio::io_context loop;
  std::list<Member> members;
  std::vector<Member*> joined;
  std::uint64_t generation = 0;
};

// Guards against ownership that goes from node to node: after a death one node
// takes it and keeps it, also while others start.
TEST(ElectionTest, OneDeathIsOneChangeOfHolder) {
  Group group;
  for (std::size_t candidate_rank = 0; candidate_rank < 5; ++candidate_rank) {
    group.Add(candidate_rank * 4);
    group.members.back().election->Start();
  }
  group.RunFor(std::chrono::milliseconds(1500));
  EXPECT_EQ(group.Holders(), 1);
  const int gains = group.Gains();
  const auto holder =
      std::find_if(group.members.begin(), group.members.end(),
                   [](const Group::Member& member) { return member.holds; });
  ASSERT_NE(holder, group.members.end());
  group.Kill(*holder);
  group.Add(0);
  group.RunFor(std::chrono::milliseconds(600));
  group.members.back().election->Start();
  group.RunFor(std::chrono::milliseconds(2500));
  EXPECT_EQ(group.Holders(), 1);
  EXPECT_EQ(group.Gains(), gains + 1);
}

}  // namespace
}  // namespace camphormux::coordinator
