#ifndef CAMPHORMUX_TELEMETRY_LOG_RATE_LIMITER_HPP_
#define CAMPHORMUX_TELEMETRY_LOG_RATE_LIMITER_HPP_

#include <cstdint>

#include "camphormux/core/time.hpp"

namespace camphormux::telemetry {

/// Ordinary lines that a process writes in a second. Twice what the busiest
/// node wrote; at 250 bytes a line it bounds the volume to 150 kB a second.
inline constexpr std::uint32_t kMaxLinesPerSecond = 600;
/// Part of it that frequent lines may use, so that a flood of them does not
/// crowd out the lines that explain it.
inline constexpr std::uint32_t kMaxFrequentLinesPerSecond = 400;

/// @brief Counts ordinary log lines in windows of one second.
struct LogRateLimiter {
  core::MonotonicTime window_start;  ///< Start of the present window_start.
  std::uint32_t written = 0;
  std::uint64_t suppressed = 0;  ///< Since the last report.
};

/// @brief What to do with a line.
struct LineDecision {
  bool write = true;
  std::uint64_t report_suppressed = 0;  ///< Lines to report as left out first.
};

/// @brief Decides about an ordinary line.
/// @param limiter The limiter; updated.
/// @param now The time.
/// @param frequent The line is one of many of its kind.
[[nodiscard]] inline LineDecision AdmitLine(LogRateLimiter& limiter,
                                            core::MonotonicTime now,
                                            bool frequent = false) {
  constexpr core::Millis kWindow{1000};
  LineDecision decision;
  if (now >= limiter.window_start + kWindow) {
    decision.report_suppressed = limiter.suppressed;
    limiter = LogRateLimiter{now};
  }
  if (limiter.written >=
      (frequent ? kMaxFrequentLinesPerSecond : kMaxLinesPerSecond)) {
    ++limiter.suppressed;
    decision.write = false;
    return decision;
  }
  ++limiter.written;
  return decision;
}

}  // namespace camphormux::telemetry

#endif  // CAMPHORMUX_TELEMETRY_LOG_RATE_LIMITER_HPP_
