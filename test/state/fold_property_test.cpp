#include <gtest/gtest.h>

#include "camphormux/state/codec.hpp"
#include "camphormux/state/fold.hpp"
#include "commands.hpp"
#include "naive_fold.hpp"

namespace camphormux::state {
namespace {

// With 100 runs of each property, the properties of this folder and of
// test/ownership run more than 100,000 commands.
constexpr std::size_t kCommands = 400;

void ExpectSameHosts(const FleetState& state, const NaiveFold& naive) {
  RC_ASSERT(state.hosts.size() == naive.hosts.size());
  for (const Host& host : naive.hosts) {
    RC_ASSERT(state.hosts.at(host.id) == host);
  }
  for (const MaintenanceDone& done : naive.maintained) {
    RC_ASSERT(state.maintenance.at(done.host).last_done >= done.time);
  }
}

void ExpectSameLeases(const FleetState& state, const NaiveFold& naive) {
  for (std::size_t i = 0; i < naive.claims.size(); ++i) {
    const LeaseClaim& claim = naive.claims[i];
    const ZoneLease& lease = state.leases.at(claim.zone);
    if (claim.epoch.value == naive.EpochOf(claim.zone)) {
      RC_ASSERT(lease == (ZoneLease{claim.holder, claim.epoch,
                                    naive.renewals[i], naive.releases[i]}));
    }
  }
}

void ExpectSameTexts(const FleetState& state, const NaiveFold& naive) {
  RC_ASSERT(state.text.revision.value == naive.revision);
  RC_ASSERT(state.text.source == naive.source);
  RC_ASSERT(state.outcomes.size() == naive.published.size());
  for (std::size_t i = 0; i < naive.published.size(); ++i) {
    RC_ASSERT(state.outcomes[i].id == naive.published[i].first);
    RC_ASSERT(state.outcomes[i].accepted.has_value() ==
              naive.published[i].second);
  }
}

void RunFold(const std::vector<Command>& commands) {
  FleetState state;
  std::vector<Record> records;
  for (const Command& command : commands) {
    const core::Revision before = state.text.revision;
    records.push_back(ToRecord(state, command, records.size()));
    (void)ApplyEncoded(state, EncodeRecords({records.back()}), state.next);
    RC_ASSERT(state.text.revision >= before);
  }
  const NaiveFold naive(records);
  ExpectSameHosts(state, naive);
  ExpectSameLeases(state, naive);
  ExpectSameTexts(state, naive);
  RC_ASSERT(state.presence.size() == naive.present.size());
  for (const Presence& presence : naive.present) {
    RC_ASSERT(state.presence.at(presence.process) == presence);
  }
}

// Guards against a fold whose shortcuts differ from the written rules.
TEST(FoldPropertyTest, EqualsTheNaiveFold) {
  EXPECT_TRUE(rc::check([] { RunFold(*Commands(kCommands)); }));
}

}  // namespace
}  // namespace camphormux::state
