#include "camphormux/telemetry/line_budget.hpp"

#include <gtest/gtest.h>

namespace camphormux::telemetry {
namespace {

// Guards against logs that take the processor when each request logs a line.
TEST(LineBudgetTest, LimitsLinesInASecondAndReportsWhatWasLeftOut) {
  LineBudget budget;
  core::MonotonicTime now{core::Millis(5000)};
  std::uint32_t written = 0;
  for (std::uint32_t i = 0; i < kMaxLinesPerSecond + 50; ++i) {
    written += Spend(budget, now).write ? 1U : 0U;
  }
  EXPECT_EQ(written, kMaxLinesPerSecond);
  now += core::Millis(1000);
  const LineDecision next = Spend(budget, now);
  EXPECT_TRUE(next.write);
  EXPECT_EQ(next.report_suppressed, 50U);
  EXPECT_EQ(Spend(budget, now).report_suppressed, 0U);
}

}  // namespace
}  // namespace camphormux::telemetry
