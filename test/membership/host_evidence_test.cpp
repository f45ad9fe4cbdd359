#include "camphormux/membership/host_evidence.hpp"

#include <gtest/gtest.h>

namespace camphormux::membership {
namespace {

const core::ZoneName kZone{"north"};

core::HostId Host(int number) { return {"h" + std::to_string(number)}; }

std::set<core::HostId> Hosts(int first, int last) {
  std::set<core::HostId> hosts;
  for (int i = first; i <= last; ++i) {
    hosts.insert(Host(i));
  }
  return hosts;
}

core::MonotonicTime At(int seconds) {
  return core::MonotonicTime(std::chrono::seconds(seconds));
}

HostEvidenceState TenHosts() {
  HostEvidenceState state;
  EXPECT_FALSE(ObserveList(state, kZone, Hosts(1, 10)).doubtful);
  return state;
}

void Fail(HostEvidenceState& state, int host, int from) {
  for (int i = 0; i < 4; ++i) {
    ObserveExchange(state, Host(host), false, At(from + i));
  }
}

// Guards against the loss of hosts that answer because the list is wrong.
TEST(HostEvidenceTest, ALargeDropIsDoubtful) {
  HostEvidenceState state = TenHosts();
  EXPECT_FALSE(ObserveList(state, kZone, Hosts(3, 10)).doubtful);
  const ListObservation observation = ObserveList(state, kZone, Hosts(6, 10));
  EXPECT_TRUE(observation.doubtful);
  EXPECT_EQ(observation.dropped.size(), 3U);
  EXPECT_EQ(state.doubtful_lists, 1U);
  EXPECT_EQ(JudgeHosts(state, kZone, At(0)).at(Host(4)), HostVerdict::kLive);
  EXPECT_TRUE(ObserveList(state, kZone, Hosts(6, 10)).doubtful);
}

// Guards against a host that is dead on the word of the list alone.
TEST(HostEvidenceTest, TheListNeedsEvidence) {
  HostEvidenceState state = TenHosts();
  ASSERT_FALSE(ObserveList(state, kZone, Hosts(2, 10)).doubtful);
  EXPECT_EQ(JudgeHosts(state, kZone, At(1)).at(Host(1)),
            HostVerdict::kDoubtful);
  ObserveExchange(state, Host(1), false, At(1));
  EXPECT_EQ(JudgeHosts(state, kZone, At(1)).at(Host(1)), HostVerdict::kDead);
  ObserveExchange(state, Host(1), true, At(2));
  EXPECT_EQ(JudgeHosts(state, kZone, At(2)).at(Host(1)),
            HostVerdict::kDoubtful);
}

// Guards against a dead host that a lagging list keeps alive, and against a
// short burst of failures that counts as death.
TEST(HostEvidenceTest, DirectEvidenceNeedsNoList) {
  HostEvidenceState state = TenHosts();
  for (int i = 0; i < 5; ++i) {
    ObserveExchange(state, Host(1), false, At(1));
  }
  EXPECT_EQ(JudgeHosts(state, kZone, At(2)).at(Host(1)),
            HostVerdict::kDoubtful);
  EXPECT_EQ(JudgeHosts(state, kZone, At(4)).at(Host(1)), HostVerdict::kDead);
}

// Guards against a gateway with a broken network that declares a zone dead.
TEST(HostEvidenceTest, ManyDeathsNeedAnotherGateway) {
  HostEvidenceState state = TenHosts();
  for (int host = 1; host <= 3; ++host) {
    Fail(state, host, 1);
  }
  EXPECT_EQ(JudgeHosts(state, kZone, At(9)).at(Host(1)),
            HostVerdict::kDoubtful);
  ObserveReport(state, Host(1), {"gateway-2"}, At(9));
  const auto verdicts = JudgeHosts(state, kZone, At(9));
  EXPECT_EQ(verdicts.at(Host(1)), HostVerdict::kDead);
  EXPECT_EQ(verdicts.at(Host(2)), HostVerdict::kDoubtful);
  EXPECT_EQ(JudgeHosts(state, kZone, At(60)).at(Host(1)),
            HostVerdict::kDoubtful);
}

}  // namespace
}  // namespace camphormux::membership
