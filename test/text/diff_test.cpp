#include "camphormux/text/diff.hpp"

#include <gtest/gtest.h>

namespace camphormux::text {
namespace {

OperatorText MakeText() {
  OperatorText text;
  text.services[{"x"}].name = {"x"};
  text.services[{"x"}].pool = {"x"};
  text.services[{"y"}].name = {"y"};
  text.services[{"y"}].pool = {"y"};
  return text;
}

std::vector<FleetHost> MakeHosts() {
  std::vector<FleetHost> hosts(6);
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    hosts[i].pool = core::PoolName{i < 2 ? "x" : "y"};
  }
  return hosts;
}

// Guards against a change whose effect operators see only after publishing.
TEST(DiffTextsTest, ReportsKeysMovesAndServicesUnderBudget) {
  const OperatorText before = MakeText();
  OperatorText after = MakeText();
  after.services[{"x"}].min_hosts = 5;
  after.policy.moves_weight = 2.5;
  const TextDiff diff = DiffTexts(before, after, MakeHosts());
  const std::vector<KeyChange> keys{{"policy.moves_weight", "1", "2.5"},
                                    {"service x.min_hosts", "1", "5"}};
  EXPECT_EQ(diff.keys, keys);
  EXPECT_EQ(diff.hosts_moved, 3);
  const std::vector<UnderBudget> under{{{"x"}, 2, 5}};
  EXPECT_EQ(diff.under_budget, under);
}

// Guards against a removed service whose hosts are forgotten.
TEST(DiffTextsTest, CountsHostsOfRemovedServices) {
  const OperatorText before = MakeText();
  OperatorText after = MakeText();
  after.services.erase({"y"});
  const TextDiff diff = DiffTexts(before, after, MakeHosts());
  EXPECT_EQ(diff.hosts_moved, 4);
  EXPECT_EQ(diff.keys.front().after, "");
  EXPECT_TRUE(DiffTexts(before, before, MakeHosts()).keys.empty());
}

}  // namespace
}  // namespace camphormux::text
