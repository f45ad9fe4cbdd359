#ifndef CAMPHORMUX_COORDINATOR_HOST_CLOCK_HPP_
#define CAMPHORMUX_COORDINATOR_HOST_CLOCK_HPP_

#include <cstdint>

#include "camphormux/core/time.hpp"

namespace camphormux::coordinator {

/// @brief A reading of the clock of one incarnation of a host. Each incarnation
/// counts from a time of its own.
struct ClockReading {
  std::int64_t clock_ms = 0;
  core::MonotonicTime received;  ///< When the answer with the reading arrived.
};

/// @param reading A reading, earlier or later than `at`.
/// @param at A time.
/// @return Earliest time that the clock can show then, in milliseconds.
[[nodiscard]] std::int64_t EarliestClock(const ClockReading& reading,
                                         core::MonotonicTime at);

/// @brief Tells whether another reading is one of the same clock. A clock that
/// passes is not behind the earliest one, so that a deadline ends on it no
/// later than reckoned.
/// @param reading A reading of the known incarnation.
/// @param clock_ms The other reading, from the answer to a call.
/// @param asked When the call was sent.
/// @param now When its answer arrived.
/// @return Whether both can be of the same clock.
[[nodiscard]] bool IsSameClock(const ClockReading& reading,
                               std::int64_t clock_ms, core::MonotonicTime asked,
                               core::MonotonicTime now);

}  // namespace camphormux::coordinator

#endif  // CAMPHORMUX_COORDINATOR_HOST_CLOCK_HPP_
