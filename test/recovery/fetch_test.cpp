#include "camphormux/recovery/fetch.hpp"

#include <functional>

#include <gtest/gtest.h>

#include "camphormux/state/codec.hpp"
#include "camphormux/state/fold.hpp"
#include "camphormux/state/follower.hpp"

namespace camphormux::recovery {
namespace {

using state::SnapshotChunk;

/// A state in which each record but the first adds a host. Host names without
/// common digits keep a large state above the size of one chunk after
/// compression.
state::FleetState StateOf(std::uint64_t end) {
  constexpr std::uint64_t kSpread = 0x9E3779B97F4A7C15;  // 2^64 / golden ratio
  state::FleetState state;
  (void)state::Apply(state, state::LeaseClaim{{"a"}, {"c"}, {1}}, {0});
  for (std::uint64_t i = 1; i < end; ++i) {
    (void)state::Apply(state,
                       state::HostAdded{{"a"},
                                        {1},
                                        {"h" + std::to_string(i * kSpread)},
                                        {"r"},
                                        {},
                                        {"127.0.0.1", 80}},
                       {i});
  }
  return state;
}

state::FleetState LargeState() { return StateOf(12'000); }

/// Transfers chunks until one is rejected; returns the reason, or "".
std::string Transfer(Fetch& fetch, const std::vector<SnapshotChunk>& chunks) {
  for (const SnapshotChunk& chunk : chunks) {
    const auto why = AddAnswer(fetch, state::EncodeRecords({chunk}));
    if (why) {
      return *why;
    }
  }
  return "";
}

// Guards against a state that is lost or changed during the transfer.
TEST(FetchTest, TakesAWholeState) {
  const state::FleetState state = LargeState();
  const auto chunks = state::MakeSnapshot(state, "s", false);
  ASSERT_GT(chunks.size(), 1U);
  Fetch fetch;
  EXPECT_EQ(NextQuery(fetch), (ChunkQuery{"", 0}));
  EXPECT_EQ(Transfer(fetch, chunks), "");
  ASSERT_TRUE(fetch.complete);
  EXPECT_EQ(state::Digest(*fetch.complete), state::Digest(state));
  const ChunkQuery query{"s", 3};
  EXPECT_EQ(DecodeQuery(Encode(query)), query);
  EXPECT_FALSE(DecodeQuery("x"));
}

// Guards against a state that is built from a damaged or hostile answer, and
// against unbounded memory use for such an answer.
TEST(FetchTest, RefusesDamagedAnswers) {
  using Damage = std::function<void(std::vector<SnapshotChunk>&)>;
  const std::vector<Damage> damages = {
      [](auto& all) { all[0].count = kMaxChunks + 1; },
      [](auto& all) { all[0].count = 0; },
      [](auto& all) { all[0].data.append(state::kMaxChunkBytes, 'x'); },
      [](auto& all) { all[1].data.clear(); },
      [](auto& all) { all[1].index = 0; },
      [](auto& all) { all[1].snapshot = "other"; },
      [](auto& all) { ++all[1].at.value; },
      [](auto& all) { ++all[1].digest; },
      [](auto& all) { all[1].data[7] ^= 1; },
      [](auto& all) { all.back().data.pop_back(); },
      [](auto& all) {
        for (SnapshotChunk& chunk : all) {
          ++chunk.at.value;  // Not the offset of the encoded state.
        }
      }};
  for (std::size_t i = 0; i < damages.size(); ++i) {
    auto chunks = state::MakeSnapshot(LargeState(), "s", false);
    damages[i](chunks);
    Fetch fetch;
    EXPECT_NE(Transfer(fetch, chunks), "") << i;
    EXPECT_FALSE(fetch.complete) << i;
  }
  Fetch fetch;
  const auto chunks = state::MakeSnapshot(LargeState(), "s", false);
  const std::string whole = state::EncodeRecords({chunks[0]});
  EXPECT_TRUE(AddAnswer(fetch, whole.substr(0, whole.size() / 2)));
  EXPECT_TRUE(AddAnswer(fetch, state::EncodeRecords({chunks[0], chunks[1]})));
  EXPECT_TRUE(AddAnswer(
      fetch, state::EncodeRecords({state::LeaseClaim{{"a"}, {"c"}, {1}}})));
}

membership::Member MemberWith(std::uint64_t applied, std::uint64_t digest) {
  membership::Member member;
  member.report.applied = {applied};
  member.report.digest = digest;
  return member;
}

// Guards against a peer whose state differs from that of the others.
TEST(FetchTest, RefusesAStateWithADigestConflict) {
  const state::FleetState state = LargeState();
  const std::uint64_t digest = state::Digest(state);
  membership::View view;
  view.members[{"g1"}] = MemberWith(state.next.value, digest);
  view.members[{"g2"}] = MemberWith(state.next.value + 1, digest + 1);
  EXPECT_FALSE(FindDigestConflict(state, view));
  view.members[{"g3"}] = MemberWith(state.next.value, digest + 1);
  EXPECT_TRUE(FindDigestConflict(state, view));
  view.members[{"g4"}] = MemberWith(state.next.value, digest);
  EXPECT_FALSE(FindDigestConflict(state, view));
}

// Guards against a transfer that waits for a newer report of a process in
// another zone, and against a fetcher that asks a dead process or always the
// same one.
TEST(FetchTest, PrefersLivePeersThatReachTheLog) {
  core::Random random = core::SeededRandom(1);
  membership::View view;
  view.members[{"new"}] = MemberWith(0, 0);
  EXPECT_EQ(ChoosePeer(view, {9}, {}, random), nullptr);
  view.members[{"dead"}] = MemberWith(12, 0);
  view.members[{"dead"}].health = membership::Health::kDead;
  EXPECT_EQ(ChoosePeer(view, {9}, {}, random), nullptr);
  view.members[{"old"}] = MemberWith(5, 0);
  EXPECT_EQ(ChoosePeer(view, {9}, {}, random), &view.members[{"old"}]);
  view.members[{"good"}] = MemberWith(10, 0);
  EXPECT_EQ(ChoosePeer(view, {9}, {}, random), &view.members[{"good"}]);
  EXPECT_EQ(ChoosePeer(view, {9}, {"good"}, random), &view.members[{"old"}]);
  view.members[{"next"}] = MemberWith(11, 0);
  EXPECT_EQ(ChoosePeer(view, {9}, {"good"}, random), &view.members[{"next"}]);
}

log::ReadResult Renewals(std::uint64_t earliest, std::uint64_t end) {
  log::ReadResult result{{earliest}, {end}, {}};
  for (std::uint64_t i = earliest; i < end; ++i) {
    result.records.push_back(
        {{i},
         {},
         state::EncodeRecords({state::LeaseRenew{{"a"}, {"c"}, {1}}})});
  }
  return result;
}

state::Follower Searching(std::uint64_t earliest, std::uint64_t end) {
  state::Follower follower;
  state::OnBelowEarliest(follower, {earliest});
  (void)state::OnRead(follower, Renewals(earliest, end));
  return follower;
}

// Guards against a transferred state that lacks records between the peer's
// offset and the log's earliest record, and against a state that is used before
// the records after it were read.
TEST(FetchTest, ABaseMustOverlapTheLog) {
  const state::FleetState state = StateOf(1000);
  state::Follower late = Searching(1001, 1005);
  EXPECT_TRUE(state::TakeBase(late, state));
  state::Follower early = Searching(990, 999);
  EXPECT_TRUE(state::TakeBase(early, state));
  state::Follower fit = Searching(990, 1003);
  ASSERT_TRUE(state::NeedsBase(fit));
  ASSERT_FALSE(state::TakeBase(fit, state));
  EXPECT_TRUE(state::WhyNotReady(fit));
  EXPECT_TRUE(fit.state.hosts.empty());
  EXPECT_EQ(fit.read_from.value, 990U);
  (void)state::OnRead(fit, Renewals(990, 1003));
  EXPECT_FALSE(state::WhyNotReady(fit));
  EXPECT_EQ(fit.state.hosts.size(), 999U);
  EXPECT_EQ(fit.state.next.value, 1003U);
  EXPECT_EQ(fit.state.leases.at({"a"}).last_renewal.value, 1002U);
}

}  // namespace
}  // namespace camphormux::recovery
