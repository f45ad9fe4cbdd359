#ifndef CAMPHORMUX_TELEMETRY_LOG_RATE_LIMITER_HPP_
#define CAMPHORMUX_TELEMETRY_LOG_RATE_LIMITER_HPP_

#include <cstdint>

#include "camphormux/core/time.hpp"

namespace camphormux::telemetry {

/// Limit of the lines that a process writes per second, without warnings,
/// errors and periodic lines. It is twice the rate of the busiest node; at 250
/// bytes per line it limits the output to 150 kB per second.
inline constexpr std::uint32_t kMaxLinesPerSecond = 600;
/// Part of this limit that frequent lines may use, so that a burst of them does
/// not suppress the lines that explain it.
inline constexpr std::uint32_t kMaxFrequentLinesPerSecond = 400;

/// @brief Counts rate-limited log lines in windows of one second.
struct LogRateLimiter {
  core::MonotonicTime window_start;  ///< Start of the current window.
  std::uint32_t written = 0;
  std::uint64_t suppressed = 0;  ///< Lines left out in this window.
};

/// @brief Whether to write a line, and what to report before it.
struct LineDecision {
  bool write = true;
  std::uint64_t report_suppressed = 0;  ///< Lines left out in the last window.
};

/// @brief Decides whether to write a rate-limited line, and counts it.
/// @param limiter The limiter; updated.
/// @param now The time.
/// @param frequent Whether the line is of the class kFrequent.
/// @return The decision.
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
