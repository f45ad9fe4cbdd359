#include "camphormux/coordinator/election.hpp"

#include <algorithm>
#include <list>
#include <set>
#include <string>
#include <thread>

#include <gtest/gtest.h>

namespace camphormux::coordinator {
namespace {

/// One node and a fake store whose answers the test sets.
struct Harness {
  explicit Harness(bool last_resort = false) {
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
      const std::optional<Ownership> read = ownership;
      if (stop_in_lookup.count() > 0) {
        std::this_thread::sleep_for(stop_in_lookup);
        stop_in_lookup = core::Millis(0);
        ownership = Ownership{core::Address{"10.0.0.2", 1}};
      }
      done(read);
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
        [] { return std::size_t{0}; }, last_resort);
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
  /// Time for which the process is stopped between the answer to the next
  /// lookup and its handling. Another node is the holder then.
  core::Millis stop_in_lookup{0};
  std::shared_ptr<Election> election;
};

// Guards against a dead holder that goes unnoticed: callers without an answer
// refresh the election all the time, and each refresh would postpone the
// lookup.
TEST(ElectionTest, RefreshesDoNotPostponeLookups) {
  Harness harness;
  harness.ownership->holder = core::Address{"10.0.0.1", 1};
  harness.election->Start();
  const int before = harness.looks;
  for (int i = 0; i < 100 && harness.looks == before; ++i) {
    harness.election->Refresh();
    harness.RunFor(std::chrono::milliseconds(10));
  }
  EXPECT_GT(harness.looks, before);
}

// Guards against a takeover that waits for the next regular lookup of the node
// that goes first.
TEST(ElectionTest, SilentHolderIsLookedUpOften) {
  Harness harness;
  harness.ownership->holder = core::Address{"10.0.0.1", 1};
  harness.election->Start();
  harness.RunFor(std::chrono::milliseconds(300));
  harness.election->Refresh();
  const int before = harness.looks;
  harness.RunFor(std::chrono::milliseconds(900));
  EXPECT_GE(harness.looks, before + 4);
  EXPECT_LE(harness.looks, before + 8);
  // The holder answers again.
  harness.RunFor(std::chrono::milliseconds(1500));
  const int later = harness.looks;
  harness.RunFor(std::chrono::milliseconds(1000));
  EXPECT_LE(harness.looks, later + 2);
}

// Guards against a membership that expires because refreshes by callers without
// an answer postpone the renewal.
TEST(ElectionTest, RefreshesDoNotPostponeJoins) {
  Harness harness;
  harness.election->Start();
  const int before = harness.joins;
  EXPECT_GT(before, 0);
  for (int i = 0; i < 100 && harness.joins == before; ++i) {
    harness.election->Refresh();
    harness.RunFor(std::chrono::milliseconds(10));
  }
  EXPECT_GT(harness.joins, before);
}

// Guards against two holders with the same token.
TEST(ElectionTest, TokenIsTheGenerationOfTheJoinAnswer) {
  Harness harness;
  harness.answer = MembershipAnswer{{5}, true};
  harness.election->Start();
  ASSERT_EQ(harness.tokens.size(), 1U);
  EXPECT_EQ(harness.tokens[0].value, 5U);
  harness.answer = MembershipAnswer{{6}, true};
  harness.RunFor(std::chrono::milliseconds(500));
  EXPECT_EQ(harness.tokens.size(), 1U);
  harness.answer = MembershipAnswer{{7}, false};
  harness.RunFor(std::chrono::milliseconds(500));
  EXPECT_EQ(harness.losses, 1);
  harness.answer = MembershipAnswer{{8}, true};
  harness.RunFor(std::chrono::milliseconds(500));
  ASSERT_EQ(harness.tokens.size(), 2U);
  EXPECT_EQ(harness.tokens[1].value, 8U);
}

// Guards against a node that takes itself for confirmed while the store is
// unreachable.
TEST(ElectionTest, ConfirmationExpiresWithoutAnswers) {
  Harness harness;
  harness.answer = MembershipAnswer{{5}, true};
  harness.election->Start();
  EXPECT_TRUE(harness.election->is_confirmed());
  harness.answer.reset();
  harness.RunFor(kOwnershipTtl + core::Millis(200));
  EXPECT_FALSE(harness.election->is_confirmed());
}

// Guards against a restarted or added node that takes the ownership from a
// working holder: no decisions are made during each change of holder.
TEST(ElectionTest, DoesNotJoinWhileThereIsAHolder) {
  Harness harness;
  harness.ownership->holder = core::Address{"10.0.0.1", 1};
  harness.election->Start();
  harness.RunFor(std::chrono::milliseconds(2500));
  EXPECT_EQ(harness.joins, 0);
  EXPECT_EQ(harness.election->holder(), harness.ownership->holder);
}

// Guards against a candidate that stays in the group beside the holder: the
// store may reassign the ownership to it.
TEST(ElectionTest, CandidateWithdrawsWhenAnotherNodeIsTheHolder) {
  Harness harness;
  harness.election->Start();
  EXPECT_EQ(harness.joins, 1);
  harness.ownership->holder = core::Address{"10.0.0.1", 1};
  harness.RunFor(std::chrono::milliseconds(500));
  EXPECT_EQ(harness.leaves, 1);
  const int joins = harness.joins;
  harness.RunFor(std::chrono::milliseconds(1000));
  EXPECT_EQ(harness.joins, joins);
}

// Guards against a restarted holder that waits until the membership of its
// previous process expires.
TEST(ElectionTest, PreviousProcessOfTheNodeIsEvicted) {
  Harness harness;
  harness.ownership = Ownership{core::Address{"10.0.0.9", 1}, true};
  harness.answer = MembershipAnswer{{3}, true};
  harness.election->Start();
  harness.RunFor(std::chrono::milliseconds(600));
  EXPECT_EQ(harness.evictions, 1);
  EXPECT_EQ(harness.tokens.size(), 1U);
}

// Guards against a small node that becomes the holder of a large fleet, and
// against a fleet of small nodes without any holder.
TEST(ElectionTest, LastResortNodeJoinsOnlyWithoutAHolder) {
  Harness harness(true);
  harness.ownership->holder = core::Address{"10.0.0.1", 1};
  harness.election->Start();
  harness.RunFor(std::chrono::milliseconds(2500));
  EXPECT_EQ(harness.joins, 0);
  EXPECT_TRUE(harness.election->holder());
  harness.ownership = Ownership{};
  harness.RunFor(std::chrono::milliseconds(3000));
  EXPECT_EQ(harness.joins, 0);
  harness.RunFor(std::chrono::milliseconds(3500));
  EXPECT_GT(harness.joins, 0);
}

// Guards against a leaving node that takes the ownership again.
TEST(ElectionTest, NodeThatLeftDoesNotJoinAgain) {
  Harness harness;
  harness.election->Start();
  harness.election->Leave([] {});
  const int joins = harness.joins;
  harness.election->Refresh();
  harness.RunFor(std::chrono::milliseconds(600));
  EXPECT_EQ(harness.joins, joins);
  EXPECT_EQ(harness.leaves, 1);
}

// Guards against a node that takes the ownership from a holder: it was stopped
// before it handled the answer that there was none.
TEST(ElectionTest, LateAnswerToALookupCausesNoCandidacy) {
  Harness harness;
  harness.stop_in_lookup = kOwnershipTtl + core::Millis(500);
  harness.election->Start();
  harness.RunFor(std::chrono::milliseconds(600));
  EXPECT_EQ(harness.joins, 0);
}

// The same for a holder that asks before it joins again.
TEST(ElectionTest, LateAnswerToALookupCausesNoJoinOfAFormerHolder) {
  Harness harness;
  harness.answer = MembershipAnswer{{1}, true};
  harness.election->Start();
  harness.RunFor(std::chrono::milliseconds(100));
  ASSERT_EQ(harness.tokens.size(), 1U);
  harness.answer.reset();  // The store does not answer.
  harness.RunFor(kOwnershipTtl + core::Millis(500));
  ASSERT_FALSE(harness.election->is_confirmed());
  const int joins = harness.joins;
  harness.stop_in_lookup = kOwnershipTtl + core::Millis(500);
  harness.RunFor(kOwnershipTtl + core::Millis(1500));
  EXPECT_EQ(harness.joins, joins);
}

/// Several nodes in one group, which assigns the ownership to the candidate
/// that joined last.
struct Group {
  struct Member {
    core::Address address;
    std::shared_ptr<Election> election;
    int gains = 0;
    bool holds = false;
    bool is_cut_off = false;  ///< The store does not answer it.
  };

  void Add(std::size_t candidate_rank) {
    Member& member = members.emplace_back();
    member.address = {"10.0.0." + std::to_string(members.size()), 1};
    ElectionPort port;
    port.join = [this, &member](auto done) {
      if (member.is_cut_off) {
        done(std::nullopt);
        return;
      }
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
    port.find_holder = [this, &member](auto done) {
      if (member.is_cut_off) {
        done(std::nullopt);
      } else if (joined.empty()) {
        done(Ownership{});
      } else {
        done(
            Ownership{joined.back()->address, false, joined.back() == &member});
      }
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
        [candidate_rank] { return candidate_rank; });
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

// Guards against a holder that was suspended or cut off, joins again when it is
// back, and so takes the ownership from the node that has taken over.
TEST(ElectionTest, HolderThatIsBackLeavesTheOwnershipToItsSuccessor) {
  Group group;
  for (std::size_t candidate_rank = 0; candidate_rank < 3; ++candidate_rank) {
    group.Add(candidate_rank * 4);
    group.members.back().election->Start();
  }
  group.RunFor(std::chrono::milliseconds(1000));
  ASSERT_EQ(group.Holders(), 1);
  const auto first =
      std::find_if(group.members.begin(), group.members.end(),
                   [](const Group::Member& member) { return member.holds; });
  first->is_cut_off = true;
  group.Remove(*first);  // Its time to live is over.
  group.RunFor(kOwnershipTtl + core::Millis(1000));
  const auto second = std::find_if(group.members.begin(), group.members.end(),
                                   [&](const Group::Member& member) {
                                     return member.holds && &member != &*first;
                                   });
  ASSERT_NE(second, group.members.end());
  first->is_cut_off = false;
  group.RunFor(std::chrono::milliseconds(1500));
  EXPECT_TRUE(second->holds);
  EXPECT_EQ(second->gains, 1);
  EXPECT_FALSE(first->holds);
}

// Guards against ownership that moves from node to node: after the holder
// fails, one node takes it and keeps it, even while other nodes start.
TEST(ElectionTest, FailureOfTheHolderCausesOneTakeover) {
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
