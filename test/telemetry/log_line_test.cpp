#include "camphormux/telemetry/log_line.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace camphormux::telemetry {
namespace {

// Guards against log lines that tools cannot parse: each must be one JSON
// object.
TEST(LogLineTest, FormatsOneJsonObjectWithAllFields) {
  const std::string line = FormatLogLine(
      core::WallTime(core::Millis(1'775'012'350'079)), Level::kWarning,
      "edge-1", "store lost", {{"generation", "7"}, {"reason", "a \"b\"\n"}});
  EXPECT_EQ(line.find('\n'), std::string::npos);
  const auto parsed = nlohmann::json::parse(line);
  EXPECT_EQ(parsed["timestamp"], "2026-04-01T02:59:10.079Z");
  EXPECT_EQ(parsed["level"], "WARN");
  EXPECT_EQ(parsed["message"], "store lost");
  EXPECT_EQ(parsed["context_map"]["process"], "edge-1");
  EXPECT_EQ(parsed["context_map"]["generation"], "7");
  EXPECT_EQ(parsed["context_map"]["reason"], "a \"b\"\n");
}

// Guards against a process that ends with an exception because a caller sent
// invalid UTF-8.
TEST(LogLineTest, ReplacesInvalidUtf8) {
  const std::string line = FormatLogLine({}, Level::kInfo, "edge-1",
                                         "job stored", {{"job", "\xff"}});
  EXPECT_TRUE(nlohmann::json::accept(line));
}

}  // namespace
}  // namespace camphormux::telemetry
