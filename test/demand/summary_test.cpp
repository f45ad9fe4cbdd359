#include "camphormux/demand/summary.hpp"

#include <gtest/gtest.h>

namespace camphormux::demand {
namespace {

constexpr std::size_t kPayloadBytes = 1024;

// Guards against figures that change on the way to a controller.
TEST(SummaryTest, KeepsFiguresToTenths) {
  Summary summary;
  summary.services[{"venue"}] = {120.5, 3.1, 4.0, 17.0};
  summary.services[{"gate"}] = {0.4, 0.0, 0.0, 0.0};
  EXPECT_EQ(DecodeSummary(EncodeSummary(summary, kPayloadBytes)), summary);
}

// Guards against a payload above the bound, which heartbeats leave out whole.
TEST(SummaryTest, KeepsTheLargestLoadsWithinTheBound) {
  Summary summary;
  for (int i = 0; i < 200; ++i) {
    summary.services[{"service-" + std::to_string(i)}] = {i + 0.0, 0, 0, 1.0};
  }
  const std::string payload = EncodeSummary(summary, kPayloadBytes);
  EXPECT_LE(payload.size(), kPayloadBytes);
  const auto decoded = DecodeSummary(payload);
  ASSERT_TRUE(decoded.has_value());
  EXPECT_GT(decoded->services.size(), 30U);
  EXPECT_TRUE(decoded->services.contains({"service-199"}));
}

// Guards against a malformed payload that stops a controller.
TEST(SummaryTest, RefusesMalformedPayloads) {
  for (const std::string& payload :
       {std::string(), std::string("\x82\x01"), std::string("\x82\x01\x81\x01"),
        std::string("x")}) {
    EXPECT_FALSE(DecodeSummary(payload).has_value());
  }
}

}  // namespace
}  // namespace camphormux::demand
