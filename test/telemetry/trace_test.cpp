#include "camphormux/telemetry/trace.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace camphormux::telemetry {
namespace {

// Guards against a trace that does not continue after a hop.
TEST(TraceTest, ChildKeepsTheTraceAcrossTheHeader) {
  core::Random random = core::SeededRandom(7);
  const TraceContext root = NewTrace(random, 1.0);
  const auto parsed = ParseTraceparent(FormatTraceparent(root));
  ASSERT_TRUE(parsed.has_value());
  EXPECT_EQ(parsed->trace_id, root.trace_id);
  EXPECT_TRUE(parsed->sampled);
  const TraceContext child = ChildOf(*parsed, random);
  EXPECT_EQ(child.trace_id, root.trace_id);
  EXPECT_NE(child.span_id, root.span_id);
}

// Guards against accepting malformed headers from callers.
TEST(TraceTest, RejectsMalformedHeaders) {
  EXPECT_FALSE(ParseTraceparent(""));
  EXPECT_FALSE(ParseTraceparent(
      "00-00000000000000000000000000000000-0000000000000001-01"));
  EXPECT_FALSE(ParseTraceparent(
      "00-0000000000000000000000000000000g-0000000000000001-01"));
}

// Guards against spans that are lost when the process stops.
TEST(SpanExporterTest, WritesSampledSpansBeforeItStops) {
  const std::string path =
      testing::TempDir() + "spans_" + std::to_string(getpid()) + ".json";
  {
    SpanExporter exporter("gateway", path, 100);
    exporter.Export({{"t", "s", true}, "", "attempt", 1, 2, {{"host", "h1"}}});
    exporter.Export({{"t", "u", false}, "", "not sampled", 1, 2, {}});
  }
  std::ifstream file(path);
  std::string line;
  ASSERT_TRUE(std::getline(file, line));
  const auto spans =
      nlohmann::json::parse(line)["resourceSpans"][0]["scopeSpans"][0]["spans"];
  ASSERT_EQ(spans.size(), 1U);
  EXPECT_EQ(spans[0]["name"], "attempt");
}

}  // namespace
}  // namespace camphormux::telemetry
