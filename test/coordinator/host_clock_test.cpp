#include "camphormux/coordinator/host_clock.hpp"

#include <gtest/gtest.h>

namespace camphormux::coordinator {
namespace {

constexpr core::MonotonicTime kRead{core::Millis(1'000'000)};
constexpr ClockReading kReading{50'000, kRead};

// Guards against deadlines that end later than reckoned on a slow clock.
TEST(HostClockTest, EarliestClockCountsTheLongestDrift) {
  EXPECT_EQ(EarliestClock(kReading, kRead + core::Millis(10'000)), 59'800);
  EXPECT_EQ(EarliestClock(kReading, kRead - core::Millis(100)), 49'900);
}

// Guards against answers of another incarnation that count as those of the
// known one, and against the reverse for slow clocks and late answers.
TEST(HostClockTest, ClockOfAnotherIncarnationIsToldApart) {
  const core::MonotonicTime asked = kRead + core::Millis(10'000);
  const core::MonotonicTime now = asked + core::Millis(900);
  EXPECT_TRUE(IsSameClock(kReading, 59'800, asked, now));
  EXPECT_TRUE(IsSameClock(kReading, 60'900, asked, now));
  EXPECT_FALSE(IsSameClock(kReading, 59'700, asked, now));
  EXPECT_FALSE(IsSameClock(kReading, 64'000, asked, now));
}

}  // namespace
}  // namespace camphormux::coordinator
