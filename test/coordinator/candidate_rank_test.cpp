#include "camphormux/coordinator/candidate_rank.hpp"

#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace camphormux::coordinator {
namespace {

Member MakeMember(int number, std::int64_t processor) {
  Member member;
  member.address = {"10.0.0." + std::to_string(number), 7580};
  member.processor.value = processor;
  return member;
}

std::vector<Member> MakeMembers(int large, int small) {
  std::vector<Member> members;
  members.reserve(static_cast<std::size_t>(large) +
                  static_cast<std::size_t>(small));
  for (int i = 0; i < large + small; ++i) {
    members.push_back(MakeMember(i, i < large ? 500 : 120));
  }
  return members;
}

// Guards against two nodes that become candidates at the same time, after which
// the store takes the ownership from the first and gives it to the second.
TEST(CandidateRankTest, MembersHaveDifferentRanks) {
  const std::vector<Member> members = MakeMembers(18, 79);
  std::set<std::size_t> ranks;
  for (const Member& member : members) {
    ranks.insert(CandidateRank(member, members, std::nullopt));
  }
  EXPECT_EQ(ranks.size(), members.size());
  EXPECT_EQ(*ranks.begin(), 0U);
  EXPECT_EQ(*ranks.rbegin(), members.size() - 1);
}

// Guards against a small node that becomes the holder of a large fleet while a
// large node waits.
TEST(CandidateRankTest, LargeNodesComeBeforeSmallOnes) {
  for (const std::vector<Member>& known :
       {MakeMembers(18, 79), std::vector<Member>()}) {
    for (const Member& member : MakeMembers(18, 79)) {
      const std::size_t rank = CandidateRank(member, known, std::nullopt);
      if (member.processor.value == 500) {
        EXPECT_LT(rank, 18U);
      } else {
        EXPECT_GE(rank, known.empty() ? 8U : 18U);
      }
    }
  }
}

// Guards against a takeover that waits for the node that is missing.
TEST(CandidateRankTest, LastHolderIsPassedOver) {
  const std::vector<Member> members = MakeMembers(2, 0);
  for (int i = 0; i < 2; ++i) {
    EXPECT_EQ(CandidateRank(members[i], members, members[1 - i].address), 0U);
  }
}

// Guards against ranks that depend on the order of the list.
TEST(CandidateRankTest, RankDoesNotDependOnTheOrderOfTheList) {
  const std::vector<Member> members = MakeMembers(3, 6);
  const std::vector<Member> reversed(members.rbegin(), members.rend());
  for (const Member& member : members) {
    EXPECT_EQ(CandidateRank(member, members, std::nullopt),
              CandidateRank(member, reversed, std::nullopt));
  }
}

}  // namespace
}  // namespace camphormux::coordinator
