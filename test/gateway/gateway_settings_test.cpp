#include "camphormux/gateway/gateway_settings.hpp"

#include <gtest/gtest.h>

namespace camphormux::gateway {
namespace {

constexpr const char* kBase =
    "[process]\nid = g1\nzone = tanger\n"
    "[listen]\ncallers = 127.0.0.1:8080\nadmin = 127.0.0.1:8081\n"
    "[platform]\naddress = 127.0.0.1:9000\n";

core::Result<GatewaySettings, settings::Problems> Parse(
    const std::string& text) {
  return ParseGatewaySettings(settings::ParseIni("test.ini", text).value());
}

// Guards against default values that contradict each other.
TEST(GatewaySettingsTest, TheMandatoryKeysAreEnough) {
  const auto parsed = Parse(kBase);
  ASSERT_TRUE(parsed.has_value());
  EXPECT_EQ(parsed.value().threads, 1);
  EXPECT_EQ(parsed.value().max_gateways, 7);
}

// Guards against reporting only the first of several problems.
TEST(GatewaySettingsTest, ReportsAllProblems) {
  const auto parsed = Parse(
      "[process]\nid = g1\n[listen]\ncallers = here\nadmin = 127.0.0.1:1\n"
      "[platform]\naddress = 127.0.0.1:9000\n"
      "[traffic]\nmax_body = 1\nthread = 2\n");
  ASSERT_FALSE(parsed.has_value());
  EXPECT_EQ(parsed.error().size(), 4U);
}

// Guards against more threads than connections to an endpoint.
TEST(GatewaySettingsTest, EachThreadNeedsAConnection) {
  EXPECT_TRUE(Parse(std::string(kBase) + "[traffic]\nthreads = 9\n"));
  EXPECT_FALSE(Parse(std::string(kBase) + "[traffic]\nthreads = 10\n"));
}

}  // namespace
}  // namespace camphormux::gateway
