#include "camphormux/coordinator/host_clock.hpp"

#include "camphormux/scheduler/hosts.hpp"

namespace camphormux::coordinator {
namespace internal {

/// Clocks are read in whole milliseconds, at both ends of an interval.
constexpr core::Millis kClockResolution{2};

}  // namespace internal

std::int64_t EarliestClock(const ClockReading& reading,
                           core::MonotonicTime at) {
  const std::int64_t elapsed = (at - reading.received).count();
  if (elapsed < 0) {  // A slow clock has counted less until the reading.
    return reading.clock_ms + elapsed;
  }
  return reading.clock_ms +
         static_cast<std::int64_t>(static_cast<double>(elapsed) *
                                   (1.0 - scheduler::kMaxClockDrift));
}

bool IsSameClock(const ClockReading& reading, std::int64_t clock_ms,
                 core::MonotonicTime asked, core::MonotonicTime now) {
  // The reading may have been as old as a call takes when it arrived.
  const std::int64_t latest =
      reading.clock_ms +
      (now - reading.received + scheduler::kMaxCallDuration).count();
  return clock_ms >= EarliestClock(reading, asked) -
                         internal::kClockResolution.count() &&
         clock_ms <= latest;
}

}  // namespace camphormux::coordinator
