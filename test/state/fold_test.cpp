#include "camphormux/state/fold.hpp"

#include <gtest/gtest.h>

#include "camphormux/log/batch.hpp"
#include "camphormux/state/codec.hpp"
#include "camphormux/state/packed_state.hpp"
#include "camphormux/state/state_codec.hpp"
#include "fixtures.hpp"

namespace camphormux::state {
namespace {

class FoldTest : public testing::Test {
 protected:
  std::optional<std::string> Do(const Record& record) {
    return Apply(state_, record, state_.next);
  }
  void AddHost(const std::string& host) {
    EXPECT_FALSE(Do(HostAdded{{"a"}, {1}, {host}, {"r"}, {}, {"::1", 1}}));
  }
  void SetUp() override { EXPECT_FALSE(Do(LeaseClaim{{"a"}, {"c1"}, {1}})); }

  FleetState state_;
};

// Guards against a release by anyone but the holder of the epoch in force, one
// that a late renewal takes back, and records of the holder that are lost
// because the release overtook them.
TEST_F(FoldTest, OnlyTheHolderReleasesItsLease) {
  EXPECT_TRUE(Do(LeaseRelease{{"a"}, {"c2"}, {1}}));
  EXPECT_TRUE(Do(LeaseRelease{{"a"}, {"c1"}, {2}}));
  EXPECT_TRUE(Do(LeaseRelease{{"b"}, {"c1"}, {1}}));
  EXPECT_FALSE(state_.leases.at({"a"}).released);
  const std::uint64_t held = Digest(state_);
  EXPECT_FALSE(Do(LeaseRelease{{"a"}, {"c1"}, {1}}));
  EXPECT_NE(Digest(state_), held);
  EXPECT_FALSE(Do(LeaseRenew{{"a"}, {"c1"}, {1}}));
  EXPECT_TRUE(state_.leases.at({"a"}).released);
  const auto decoded = DecodeState(EncodeState(state_));
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(Digest(decoded.value()), Digest(state_));
  AddHost("late");
  EXPECT_FALSE(Do(LeaseClaim{{"a"}, {"c2"}, {2}}));
  EXPECT_FALSE(state_.leases.at({"a"}).released);
  EXPECT_TRUE(Do(LeaseRelease{{"a"}, {"c1"}, {1}}));
}

// Guards against an operator's change that overwrites another's unseen.
TEST_F(FoldTest, FirstPublishOfABaseWins) {
  EXPECT_FALSE(Do(WholeText("p1", 0, ValidText("one"))));
  EXPECT_TRUE(Do(WholeText("p2", 0, ValidText("two"))));
  EXPECT_EQ(state_.text.revision.value, 1U);
  EXPECT_EQ(state_.text.source, ValidText("one"));
  ASSERT_EQ(state_.outcomes.size(), 2U);
  EXPECT_FALSE(state_.outcomes[1].accepted);
  EXPECT_NE(state_.outcomes[1].reason.find("conflict"), std::string::npos);
}

// Guards against a retried publish that counts twice.
TEST_F(FoldTest, AppendIdCountsOnce) {
  EXPECT_FALSE(Do(WholeText("p1", 0, ValidText("one"))));
  EXPECT_TRUE(Do(WholeText("p1", 1, ValidText("two"))));
  EXPECT_EQ(state_.text.revision.value, 1U);
  EXPECT_EQ(state_.outcomes.size(), 1U);
}

// Guards against an invalid text or edit that comes into force in part.
TEST_F(FoldTest, SkipsInvalidTextsAndEdits) {
  EXPECT_TRUE(Do(WholeText("p1", 0, "[service")));
  EXPECT_EQ(state_.text.revision.value, 0U);
  EXPECT_FALSE(Do(WholeText("p2", 0, ValidText("one"))));
  const Publish overlap{
      {"p3"}, "ben", {1}, std::nullopt, {{2, 1, {"x"}}, {2, 1, {"y"}}}};
  EXPECT_TRUE(Do(overlap));
  const Publish beyond{{"p4"}, "ben", {1}, std::nullopt, {{900, 1, {}}}};
  EXPECT_TRUE(Do(beyond));
  const Publish edit{{"p5"}, "ben", {1}, std::nullopt, {{0, 1, {"# two"}}}};
  EXPECT_FALSE(Do(edit));
  EXPECT_EQ(state_.text.source, ValidText("two"));
  EXPECT_EQ(state_.text.revision.value, 2U);
}

// Guards against a paused owner that changes state after it lost its lease.
TEST_F(FoldTest, DropsRecordsOfOtherEpochs) {
  AddHost("h");
  EXPECT_TRUE(Do(LeaseClaim{{"a"}, {"c2"}, {1}}));
  EXPECT_TRUE(Do(LeaseClaim{{"a"}, {"c2"}, {3}}));
  EXPECT_FALSE(Do(LeaseClaim{{"a"}, {"c2"}, {2}}));
  EXPECT_TRUE(Do(LeaseRenew{{"a"}, {"c1"}, {1}}));
  EXPECT_TRUE(Do(LeaseRenew{{"a"}, {"c1"}, {2}}));
  EXPECT_TRUE(Do(Step("h", HostPhase::kAssigned, 1)));
  EXPECT_FALSE(Do(Step("h", HostPhase::kAssigned, 1, "p", 2)));
  EXPECT_EQ(state_.leases.at({"a"}).holder.value, "c2");
}

// Guards against a host that serves two pools.
TEST_F(FoldTest, HostFollowsItsPhases) {
  AddHost("h");
  EXPECT_TRUE(Do(Step("h", HostPhase::kAdmitted, 0)));
  EXPECT_TRUE(Do(Step("h", HostPhase::kAssigned, 2)));
  EXPECT_FALSE(Do(Step("h", HostPhase::kAssigned, 1)));
  EXPECT_FALSE(Do(Step("h", HostPhase::kAdmitted, 1)));
  EXPECT_TRUE(Do(Step("h", HostPhase::kAssigned, 2, "q")));
  EXPECT_TRUE(Do(Step("h", HostPhase::kDraining, 1, "q")));
  EXPECT_FALSE(Do(Step("h", HostPhase::kDraining, 1)));
  EXPECT_FALSE(Do(Step("h", HostPhase::kEmpty, 1)));
  EXPECT_FALSE(Do(Step("h", HostPhase::kReleased, 1)));
  EXPECT_FALSE(Do(Step("h", HostPhase::kAssigned, 2, "q")));
}

// Guards against a drain that is called off in the state but not at the
// endpoint, which goes on to refuse: the way back needs a new generation.
TEST_F(FoldTest, CancelledDrainNeedsANewGeneration) {
  for (const HostPhase last : {HostPhase::kDraining, HostPhase::kEmpty}) {
    const std::string id = last == HostPhase::kEmpty ? "e" : "d";
    AddHost(id);
    EXPECT_FALSE(Do(Step(id, HostPhase::kAssigned, 1)));
    EXPECT_FALSE(Do(Step(id, HostPhase::kAdmitted, 1)));
    EXPECT_FALSE(Do(Step(id, HostPhase::kDraining, 1)));
    if (last == HostPhase::kEmpty) {
      EXPECT_FALSE(Do(Step(id, HostPhase::kEmpty, 1)));
    }
    EXPECT_TRUE(Do(Step(id, HostPhase::kAdmitted, 1)));
    EXPECT_TRUE(Do(Step(id, HostPhase::kAssigned, 2, "q")));
    EXPECT_TRUE(Do(Step(id, HostPhase::kAssigned, 1)));
    EXPECT_FALSE(Do(Step(id, HostPhase::kAssigned, 2)));
    EXPECT_FALSE(Do(Step(id, HostPhase::kAdmitted, 2)));
  }
}

// Guards against a returning host that gets a generation a second time.
TEST_F(FoldTest, ReturningHostKeepsItsGeneration) {
  AddHost("h");
  EXPECT_FALSE(Do(Step("h", HostPhase::kAssigned, 1)));
  EXPECT_FALSE(Do(HostRemoved{{"a"}, {1}, {"h"}}));
  AddHost("h");
  EXPECT_EQ(state_.hosts.at({"h"}).phase, HostPhase::kReleased);
  EXPECT_TRUE(Do(Step("h", HostPhase::kAssigned, 1)));
  EXPECT_FALSE(Do(Step("h", HostPhase::kAssigned, 2)));
}

// Guards against a host that two zones own.
TEST_F(FoldTest, HostBelongsToOneZone) {
  AddHost("h");
  EXPECT_FALSE(Do(LeaseClaim{{"b"}, {"c9"}, {1}}));
  EXPECT_TRUE(Do(HostAdded{{"b"}, {1}, {"h"}, {"r"}, {}, {"::1", 1}}));
  EXPECT_TRUE(Do(HostRemoved{{"b"}, {1}, {"h"}}));
  EXPECT_EQ(state_.hosts.at({"h"}).zone.value, "a");
}

// Guards against one bad entry that hides the others of its batch, and against
// a log record that is applied twice.
TEST_F(FoldTest, AppliesTheGoodEntriesOfABatchOnce) {
  const std::string good = EncodeRecords({LeaseClaim{{"b"}, {"c1"}, {1}}});
  const std::string data = log::EncodeBatch({"x", {"junk", good}});
  const core::LogOffset offset = state_.next;
  EXPECT_TRUE(ApplyEncoded(state_, data, offset));
  EXPECT_EQ(state_.leases.size(), 2U);
  EXPECT_EQ(state_.skipped_records, 1U);
  const std::uint64_t digest = Digest(state_);
  EXPECT_TRUE(ApplyEncoded(state_, data, offset));
  EXPECT_EQ(Digest(state_), digest);
}

// Guards against route tables that are built again for each renewal of a
// lease, which cost a gateway more than all other control work together.
TEST_F(FoldTest, OnlyTextAndHostsChangeTheMark) {
  AddHost("h");
  const FleetMark mark = state_.mark;
  EXPECT_FALSE(Do(LeaseRenew{{"a"}, {"c1"}, {1}}));
  EXPECT_FALSE(
      Do(MaintenanceDone{{"a"}, {1}, {"h"}, core::WallTime{core::Millis{5}}}));
  EXPECT_FALSE(
      Do(PresenceNotice{{"g"}, ProcessRole::kGateway, {"a"}, {"::1", 9}, {2}}));
  EXPECT_EQ(state_.mark, mark);
  EXPECT_FALSE(Do(Step("h", HostPhase::kAssigned, 1)));
  EXPECT_NE(state_.mark, mark);
}

// Guards against a snapshot that loses part of the state.
TEST_F(FoldTest, StateSurvivesItsCodec) {
  AddHost("h");
  AddHost("gone");
  EXPECT_FALSE(Do(HostRemoved{{"a"}, {1}, {"gone"}}));
  EXPECT_FALSE(Do(Step("h", HostPhase::kAssigned, 1)));
  EXPECT_FALSE(Do(WholeText("p1", 0, ValidText("one"))));
  EXPECT_TRUE(Do(WholeText("p2", 0, ValidText("two"))));
  EXPECT_FALSE(
      Do(MaintenanceDone{{"a"}, {1}, {"h"}, core::WallTime{core::Millis{5}}}));
  EXPECT_FALSE(
      Do(PresenceNotice{{"g"}, ProcessRole::kGateway, {"a"}, {"::1", 9}, {2}}));
  const auto copy = DecodeState(EncodeState(state_));
  ASSERT_TRUE(copy.has_value());
  EXPECT_EQ(Digest(copy.value()), Digest(state_));
  EXPECT_EQ(copy.value().hosts, state_.hosts);
  EXPECT_EQ(copy.value().outcomes, state_.outcomes);
  EXPECT_EQ(copy.value().presence, state_.presence);
  EXPECT_EQ(*copy.value().text.parsed, *state_.text.parsed);
}

FleetState LargeState() {
  FleetState state;
  state.next = {7};
  for (int i = 0; i < 500; ++i) {
    Host host;
    host.id = {"host-" + std::to_string(i)};
    host.zone = {"zone"};
    host.rack = {"rack-" + std::to_string(i / 4)};
    state.hosts.emplace(host.id, host);
  }
  return state;
}

// Guards against snapshots that take a third of a node's bytes, since every
// process reads every one, and against readers that miss plain ones that are
// still on the log.
TEST(PackedStateTest, IsSmallAndReadsPlainStatesAsWell) {
  const FleetState state = LargeState();
  const std::string plain = EncodeState(state);
  const std::string packed = EncodePackedState(state);
  EXPECT_LT(packed.size() * 8, plain.size());
  for (const std::string& bytes : {plain, packed}) {
    const auto copy = DecodePackedState(bytes);
    ASSERT_TRUE(copy.has_value());
    EXPECT_EQ(Digest(copy.value()), Digest(state));
  }
  // A reader without compression must refuse it, not misread it.
  EXPECT_FALSE(DecodeState(packed).has_value());
}

// Guards against a damaged or hostile snapshot that takes the memory of all
// readers: no size is believed that the bytes cannot hold.
TEST(PackedStateTest, RefusesDamagedAndOversizedStates) {
  const std::string packed = EncodePackedState(LargeState());
  constexpr std::size_t kSizeAt = 3;
  for (const std::size_t keep : {0UL, 2UL, 5UL, 7UL, packed.size() - 1}) {
    EXPECT_FALSE(DecodePackedState(packed.substr(0, keep)).has_value());
  }
  std::string larger = packed;
  larger[kSizeAt + 2] = '\x7f';
  EXPECT_FALSE(DecodePackedState(larger).has_value());
  std::string largest = packed;
  largest[kSizeAt + 3] = '\xff';
  EXPECT_FALSE(DecodePackedState(largest).has_value());
  std::string damaged = packed;
  damaged[packed.size() / 2] ^= 0x55;
  EXPECT_FALSE(DecodePackedState(damaged).has_value());
}

}  // namespace
}  // namespace camphormux::state
