#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>

#include <gtest/gtest.h>

#include "camphormux/text/parse.hpp"
#include "test/maintenance/period_fleet.hpp"

namespace camphormux::maintenance {
namespace {

using std::chrono::hours;

constexpr int kHosts = 50;
constexpr std::uint64_t kFirstSeed = 11;
constexpr std::uint64_t kSeeds = 3;
constexpr core::Millis kPeriod = hours(21 * 24);
const core::WallTime kStart = core::WallTime{} + hours(1000 * 24);

text::OperatorText LoadText(const std::string& deployment) {
  const std::string path =
      std::string(EXAMPLES_DIR) + "/" + deployment + "/fleet.ini";
  std::ifstream file(path);
  const std::string source{std::istreambuf_iterator<char>(file), {}};
  return text::ParseOperatorText(path, source).value();
}

/// A failure that begins during a wave.
struct Failure {
  core::ZoneName zone;
  bool whole_zone = false;  ///< Otherwise one rack that is not in maintenance.
  core::Millis earliest;
  core::Millis length;
  std::optional<core::Millis> began;
  std::set<core::HostId> hosts;
};

bool InMaintenance(const state::Host& host) {
  return host.drain_reason == state::DrainReason::kMaintenance;
}

/// Chooses what fails once a wave is under way in the zone.
void Begin(const PeriodFleet& fleet, core::Millis elapsed, Failure& failure) {
  const std::vector<state::Host>& hosts = fleet.zones.at(failure.zone);
  const auto in_wave = std::find_if(hosts.begin(), hosts.end(), InMaintenance);
  if (in_wave == hosts.end()) {
    return;
  }
  const auto other = std::find_if(
      hosts.begin(), hosts.end(),
      [&](const state::Host& host) { return host.rack != in_wave->rack; });
  for (const state::Host& host : hosts) {
    if (failure.whole_zone || host.rack == other->rack) {
      failure.hosts.insert(host.id);
    }
  }
  failure.began = elapsed;
}

void StepFailure(PeriodFleet& fleet, core::Millis elapsed, Failure& failure) {
  if (!failure.began && elapsed >= failure.earliest) {
    Begin(fleet, elapsed, failure);
  }
  if (!failure.began) {
    return;
  }
  const core::Millis age = elapsed - *failure.began;
  for (const core::HostId& host : failure.hosts) {
    if (age < failure.length) {
      fleet.missing.insert(host);
      if (age >= 2 * kStep) {
        fleet.confirmed_dead.insert(host);
      }
    } else if (age < failure.length + kStep) {
      fleet.missing.erase(host);
      fleet.confirmed_dead.erase(host);
    }
  }
}

/// Two periods: the second shows that what the failures postponed was caught
/// up.
PeriodFleet RunPeriods(const text::OperatorText& text, std::uint64_t seed) {
  PeriodFleet fleet = MakePeriodFleet(text, kHosts, kStart, seed);
  Failure rack{
      text.zones.rbegin()->first, false, hours(8 * 24), hours(12), {}, {}};
  Failure zone{
      text.zones.begin()->first, true, hours(10 * 24), hours(24), {}, {}};
  for (core::Millis elapsed{0}; elapsed < 2 * kPeriod; elapsed += kStep) {
    StepFailure(fleet, elapsed, rack);
    StepFailure(fleet, elapsed, zone);
    StepFleet(fleet, kStart + elapsed);
  }
  EXPECT_TRUE(rack.began.has_value());
  EXPECT_TRUE(zone.began.has_value());
  return fleet;
}

void ExpectPeriodMet(const std::string& deployment) {
  const text::OperatorText text = LoadText(deployment);
  for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + kSeeds; ++seed) {
    SCOPED_TRACE(deployment + " seed " + std::to_string(seed));
    PeriodFleet fleet = RunPeriods(text, seed);
    std::cout << deployment << " seed " << seed << ": maintained "
              << fleet.maintained << ", late " << fleet.late << ", given back "
              << fleet.give_backs << ", moves " << fleet.moves
              << ", postponed by surge "
              << fleet.postponed[PostponeCause::kSurge] << ", budget "
              << fleet.postponed[PostponeCause::kBudget] << ", demand "
              << fleet.postponed[PostponeCause::kDemand] << ", rack failure "
              << fleet.postponed[PostponeCause::kRackFailed]
              << ", many missing "
              << fleet.postponed[PostponeCause::kManyMissing]
              << "; breaches zone " << fleet.zone_breaches << ", service "
              << fleet.service_breaches << "\n";
    EXPECT_EQ(fleet.late, 0);
    EXPECT_EQ(fleet.zone_breaches, 0);
    EXPECT_EQ(fleet.service_breaches, 0);
    EXPECT_EQ(fleet.drains_while_stopped, 0);
    EXPECT_GE(fleet.maintained, 2 * kHosts);
    EXPECT_GT(fleet.postponed[PostponeCause::kSurge], 0);
    EXPECT_GT(fleet.postponed[PostponeCause::kRackFailed] +
                  fleet.postponed[PostponeCause::kManyMissing],
              0);
    for (const auto& [host, done] : fleet.last_done) {
      EXPECT_GE(done + kPeriod, kStart + 2 * kPeriod) << host.value;
    }
  }
}

// Guards against hosts that miss the period, or budgets that break, when a
// rack and then a zone fail within the period.
TEST(MaintenancePeriodTest, MeetsThePeriodOfDarTaziThroughFailures) {
  ExpectPeriodMet("tazi");
}

// Guards against the same with three zones.
TEST(MaintenancePeriodTest, MeetsThePeriodOfBrushwickThroughFailures) {
  ExpectPeriodMet("brushwick");
}

}  // namespace
}  // namespace camphormux::maintenance
