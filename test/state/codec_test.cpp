#include "camphormux/state/codec.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "camphormux/log/batch.hpp"
#include "fixtures.hpp"

namespace camphormux::state {
namespace {

std::vector<Record> OneOfEach() {
  const HostShape shape{{64'000}, {262'144}, {2}};
  return {WholeText("p1", 3, "text"),
          Publish{{"p2"}, "ben", {4}, std::nullopt, {{5, 1, {"x", ""}}}},
          LeaseClaim{{"a"}, {"c1"}, {1}},
          LeaseRenew{{"a"}, {"c1"}, {1}},
          LeaseRelease{{"a"}, {"c1"}, {1}},
          HostAdded{{"a"}, {1}, {"h"}, {"r"}, shape, {"127.0.0.1", 80}},
          HostRemoved{{"a"}, {1}, {"h"}},
          Step("h", HostPhase::kDraining, 2),
          Step("h", HostPhase::kReleased, 2),
          MaintenanceDone{{"a"}, {1}, {"h"}, core::WallTime{core::Millis{7}}},
          PresenceNotice{{"g"}, ProcessRole::kGateway, {"a"}, {"::1", 9}, {2}},
          SnapshotChunk{
              "s", {9}, 0, 1, 0xFFFFFFFFFFFFFFFFULL, {"\0\xFF", 2}, true}};
}

// Guards against a field that is lost or changed on the log.
TEST(RecordCodecTest, KeepsEveryField) {
  const std::string bytes = EncodeRecords(OneOfEach());
  const auto direct = DecodeRecords(bytes);
  ASSERT_TRUE(direct.has_value());
  EXPECT_EQ(direct.value().records, OneOfEach());
  const auto batched = DecodeRecords(log::EncodeBatch({"b", {bytes, bytes}}));
  ASSERT_TRUE(batched.has_value());
  EXPECT_EQ(batched.value().records.size(), 2 * OneOfEach().size());
}

// Guards against a rolling upgrade that stops on a newer version's records.
TEST(RecordCodecTest, SkipsUnknownTypesAndFields) {
  using nlohmann::json;
  const json list = {{{"version", 1}, {"type", "future"}},
                     {{"version", 2},
                      {"type", "host_removed"},
                      {"zone", "a"},
                      {"epoch", 1},
                      {"host", "h"},
                      {"extra", {1, 2}}}};
  std::string bytes;
  json::to_cbor(list, bytes);
  const auto batch = DecodeRecords(bytes);
  ASSERT_TRUE(batch.has_value());
  EXPECT_EQ(batch.value().unknown, 1U);
  ASSERT_EQ(batch.value().records.size(), 1U);
}

// Guards against a crash or a wrong value from damaged bytes.
TEST(RecordCodecTest, RefusesEveryTruncation) {
  const std::string bytes = EncodeRecords(OneOfEach());
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    EXPECT_FALSE(DecodeRecords(bytes.substr(0, size)).has_value()) << size;
  }
}

}  // namespace
}  // namespace camphormux::state
