#include "camphormux/demand/summary.hpp"

#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "camphormux/cbor/cbor.hpp"

namespace camphormux::demand {
namespace {

constexpr std::size_t kPayloadBytes = 1024;
// Number of pools in the target fleet (design, section 1).
constexpr int kTargetServices = 154;

ServiceIndexes IndexesOf(const Summary& summary) {
  std::vector<core::ServiceName> names;
  for (const auto& [name, load] : summary.services) {
    names.push_back(name);
  }
  return {{MakeServiceIndex(std::move(names))}, {1}};
}

std::optional<Summary> SendAndReceive(const Summary& summary) {
  const ServiceIndexes indexes = IndexesOf(summary);
  const std::string payload =
      EncodeSummary(summary, indexes.known.front(), kPayloadBytes);
  EXPECT_LE(payload.size(), kPayloadBytes);
  return DecodeSummary(payload, indexes);
}

Summary MakeOverloadSummary(int services) {
  Summary summary;
  for (int i = 0; i < services; ++i) {
    summary.services[{"service-" + std::to_string(i)}] = {1234.5 + i, 321.0 + i,
                                                          54.3 + i, 678.0 + i};
  }
  return summary;
}

// Guards against values that change between encoding and decoding.
TEST(SummaryTest, KeepsValuesToTenths) {
  Summary summary;
  summary.services[{"venue"}] = {120.5, 3.1, 4.0, 17.0};
  summary.services[{"gate"}] = {0.4, 0.0, 0.0, 0.0};
  EXPECT_EQ(SendAndReceive(summary), summary);
}

// Guards against busy services that are left out, so that sizing does not see
// their demand, and against rounding errors large enough to change a decision.
TEST(SummaryTest, EncodesAllServicesOfTheTargetWithinTheLimit) {
  const Summary summary = MakeOverloadSummary(kTargetServices);
  const auto decoded = SendAndReceive(summary);
  ASSERT_TRUE(decoded.has_value());
  ASSERT_EQ(decoded->services.size(), summary.services.size());
  for (const auto& [name, load] : summary.services) {
    const ServiceLoad& got = decoded->services.at(name);
    EXPECT_NEAR(got.arrivals_per_s / load.arrivals_per_s, 1.0, 0.003);
    EXPECT_NEAR(got.running / load.running, 1.0, 0.003);
    EXPECT_NEAR(got.refused_per_s / load.refused_per_s, 1.0, 0.033);
    EXPECT_NEAR(got.queued / load.queued, 1.0, 0.033);
    EXPECT_LE(got.refused_per_s, got.arrivals_per_s);
  }
}

// Guards against a payload above the limit, which heartbeats omit completely.
TEST(SummaryTest, KeepsTheLargestLoadsWithinTheLimit) {
  const auto decoded = SendAndReceive(MakeOverloadSummary(2 * kTargetServices));
  ASSERT_TRUE(decoded.has_value());
  EXPECT_GE(decoded->services.size(),
            static_cast<std::size_t>(kTargetServices));
  EXPECT_TRUE(decoded->services.contains(
      {"service-" + std::to_string(2 * kTargetServices - 1)}));
  EXPECT_FALSE(decoded->services.contains({"service-0"}));
}

// Guards against demand that is attributed to the wrong service during a
// roll-out, when gateway and controller have different operator texts.
TEST(SummaryTest, DecodesOnlyWithTheMatchingServiceIndex) {
  const Summary summary = MakeOverloadSummary(2);
  ServiceIndexes indexes = IndexesOf(summary);
  const std::string payload =
      EncodeSummary(summary, indexes.known.front(), kPayloadBytes);
  indexes.known.push_front(MakeServiceIndex({{"another"}, {"service-0"}}));
  EXPECT_EQ(DecodeSummary(payload, indexes), summary);
  indexes.known.pop_back();
  EXPECT_FALSE(DecodeSummary(payload, indexes).has_value());
}

// Guards against losing the demand of gateways that run the previous version,
// and against failing on elements that a later version appends.
TEST(SummaryTest, DecodesThePreviousAndTheNextVersion) {
  const auto named = cbor::Serialize({1, {{"venue", 1205, 31, 40, 170}}});
  Summary summary;
  summary.services[{"venue"}] = {120.5, 3.1, 4.0, 17.0};
  EXPECT_EQ(DecodeSummary(named, {}), summary);
  const ServiceIndexes indexes = IndexesOf(summary);
  auto later = *cbor::Parse(
      EncodeSummary(summary, indexes.known.front(), kPayloadBytes));
  later[0] = 3;
  later.push_back("more");
  EXPECT_EQ(DecodeSummary(cbor::Serialize(later), indexes), summary);
}

// Guards against a malformed payload that makes a controller fail.
TEST(SummaryTest, RejectsMalformedPayloads) {
  const ServiceIndexes indexes{{MakeServiceIndex({{"a"}})}, {1}};
  const auto with = [&indexes](const std::string& data) {
    return cbor::Serialize(nlohmann::json::array(
        {2, indexes.known.front().digest, 0, cbor::Bytes(data)}));
  };
  const std::string cut("\x00\x01\x01", 3);
  const std::string beyond("\x01\x01\x01\x01\x01", 5);
  for (const std::string& payload :
       {std::string(), std::string("\x82\x01"), std::string("\x82\x01\x81\x01"),
        std::string("x"), with(cut), with(beyond),
        with(std::string(20, '\xff'))}) {
    EXPECT_FALSE(DecodeSummary(payload, indexes).has_value());
  }
}

}  // namespace
}  // namespace camphormux::demand
