#include "camphormux/coordinator/agent_choice.hpp"

#include <map>
#include <string>

#include <gtest/gtest.h>

namespace camphormux::coordinator {
namespace {

constexpr int kHosts = 600;

Member MakeMember(const std::string& ip, const std::string& zone,
                  std::int64_t millicores) {
  return {{ip, 1}, {zone}, {millicores}};
}

core::HostId HostNumber(int i) { return {"i-" + std::to_string(i)}; }

std::map<std::string, int> Shares(const std::vector<Member>& nodes,
                                  const std::string& zone) {
  std::map<std::string, int> shares;
  for (int i = 0; i < kHosts; ++i) {
    const auto agent = ChooseAgent(nodes, HostNumber(i), {zone});
    ++shares[agent ? agent->ip : ""];
  }
  return shares;
}

TEST(AgentChoiceTest, ReturnsNothingWithoutNodes) {
  EXPECT_FALSE(ChooseAgent({}, HostNumber(1), {"a"}));
}

// Guards against calls that cross zones twice, and against small nodes that
// slow down a whole batch of calls.
TEST(AgentChoiceTest, HostsAreCalledByLargeNodesOfTheirZone) {
  const auto shares =
      Shares({MakeMember("a1", "a", 500), MakeMember("a2", "a", 500),
              MakeMember("a3", "a", 120), MakeMember("b1", "b", 500)},
             "a");
  EXPECT_EQ(shares.size(), 2U);
  EXPECT_GT(shares.at("a1"), kHosts / 3);
  EXPECT_GT(shares.at("a2"), kHosts / 3);
}

TEST(AgentChoiceTest, HostsAreSplitInProportionToTheProcessors) {
  const auto shares =
      Shares({MakeMember("a1", "a", 1000), MakeMember("a2", "a", 500)}, "a");
  EXPECT_GT(shares.at("a1"), kHosts * 58 / 100);
  EXPECT_LT(shares.at("a1"), kHosts * 75 / 100);
}

TEST(AgentChoiceTest, HostsOfAZoneWithoutNodesAreCalledFromOtherZones) {
  const auto shares =
      Shares({MakeMember("b1", "b", 500), MakeMember("c1", "c", 500)}, "a");
  EXPECT_EQ(shares.size(), 2U);
}

// Guards against reconnecting to every host when one node leaves.
TEST(AgentChoiceTest, OnlyTheHostsOfARemovedNodeAreReassigned) {
  const std::vector<Member> nodes{
      MakeMember("a0", "a", 500), MakeMember("a1", "a", 500),
      MakeMember("a2", "a", 500), MakeMember("a3", "a", 500)};
  const std::vector<Member> rest(nodes.begin() + 1, nodes.end());
  for (int i = 0; i < kHosts; ++i) {
    const auto before = ChooseAgent(nodes, HostNumber(i), {"a"});
    const auto after = ChooseAgent(rest, HostNumber(i), {"a"});
    EXPECT_TRUE(before->ip == "a0" || before == after);
  }
}

}  // namespace
}  // namespace camphormux::coordinator
