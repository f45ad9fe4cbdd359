#include "camphormux/telemetry/log_rate_limiter.hpp"

#include <gtest/gtest.h>

namespace camphormux::telemetry {
namespace {

// Guards against processor time spent on logging when each request logs a line.
TEST(LogRateLimiterTest, LimitsLinesPerSecondAndReportsSuppressedLines) {
  LogRateLimiter limiter;
  core::MonotonicTime now{core::Millis(5000)};
  std::uint32_t written = 0;
  for (std::uint32_t i = 0; i < kMaxLinesPerSecond + 50; ++i) {
    written += AdmitLine(limiter, now).write ? 1U : 0U;
  }
  EXPECT_EQ(written, kMaxLinesPerSecond);
  now += core::Millis(1000);
  const LineDecision next = AdmitLine(limiter, now);
  EXPECT_TRUE(next.write);
  EXPECT_EQ(next.report_suppressed, 50U);
  EXPECT_EQ(AdmitLine(limiter, now).report_suppressed, 0U);
}

// Guards against a burst of frequent lines that suppresses the lines that
// explain it.
TEST(LogRateLimiterTest, FrequentLinesLeaveRoomForOthers) {
  LogRateLimiter limiter;
  const core::MonotonicTime now{core::Millis(5000)};
  std::uint32_t frequent = 0;
  for (std::uint32_t i = 0; i < kMaxLinesPerSecond; ++i) {
    frequent += AdmitLine(limiter, now, true).write ? 1U : 0U;
  }
  EXPECT_EQ(frequent, kMaxFrequentLinesPerSecond);
  EXPECT_TRUE(AdmitLine(limiter, now).write);
}

}  // namespace
}  // namespace camphormux::telemetry
