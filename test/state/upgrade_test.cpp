#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "camphormux/state/codec.hpp"
#include "camphormux/state/fold.hpp"
#include "camphormux/state/state_codec.hpp"
#include "commands.hpp"

namespace camphormux::state {
namespace {

using nlohmann::json;

constexpr std::size_t kCommands = 400;

/// What the next version writes: a higher layout version and a new field.
std::string AsNextVersion(const std::string& bytes) {
  json list = json::from_cbor(bytes);
  for (json& map : list) {
    map["version"] = 2;
    map["added_later"] = {{"x", 1}};
  }
  const auto encoded = json::to_cbor(list);
  return {encoded.begin(), encoded.end()};
}

/// What the version before release records makes of bytes: a type that it does
/// not know.
std::string AsReadBefore(const std::string& bytes) {
  json list = json::from_cbor(bytes);
  for (json& map : list) {
    if (map["type"] == "lease_release") {
      map["type"] = "not_known";
    }
  }
  const auto encoded = json::to_cbor(list);
  return {encoded.begin(), encoded.end()};
}

/// Removes what the version before release records does not have.
FleetState KnownBefore(FleetState state) {
  for (auto& [zone, lease] : state.leases) {
    lease.released = false;
  }
  state.skipped_records = 0;
  return state;
}

void RunMixedLog(const std::vector<Command>& commands) {
  FleetState old_reader;
  FleetState new_reader;
  std::size_t releases = 0;
  for (std::size_t i = 0; i < commands.size(); ++i) {
    const Record record = ToRecord(new_reader, commands[i], i);
    const bool release = std::holds_alternative<LeaseRelease>(record);
    const bool new_writer = release || i % 2 == 0;
    const std::string bytes = new_writer
                                  ? AsNextVersion(EncodeRecords({record}))
                                  : EncodeRecords({record});
    (void)ApplyEncoded(new_reader, bytes, {i});
    (void)ApplyEncoded(old_reader, AsReadBefore(bytes), {i});
    releases += release ? 1 : 0;
    if (i % 50 == 0) {
      RC_ASSERT(Digest(KnownBefore(old_reader)) ==
                Digest(KnownBefore(new_reader)));
    }
  }
  RC_ASSERT(EncodeState(KnownBefore(old_reader)) ==
            EncodeState(KnownBefore(new_reader)));
  RC_ASSERT(old_reader.skipped_records >= releases);
  RC_CLASSIFY(releases > 0, "with releases");
}

// Guards against a rolling upgrade during which processes of two versions reach
// different hosts, texts or lease holders from one log.
TEST(UpgradeTest, OldAndNewReadersAgreeOnAMixedLog) {
  EXPECT_TRUE(rc::check([] { RunMixedLog(*Commands(kCommands)); }));
}

// Guards against an operator who cannot compare the digests of two programs.
TEST(UpgradeTest, ADigestIsShownWithAllItsDigits) {
  EXPECT_EQ(FormatDigest(0xAB), "00000000000000ab");
}

}  // namespace
}  // namespace camphormux::state
