#ifndef CAMPHORMUX_CORE_TIME_HPP_
#define CAMPHORMUX_CORE_TIME_HPP_

#include <chrono>

namespace camphormux::core {

using Millis = std::chrono::milliseconds;

/// Monotonic time of one process; not comparable between processes.
using MonotonicTime =
    std::chrono::time_point<std::chrono::steady_clock, Millis>;

/// Wall-clock time in UTC.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Millis>;

/// @brief Reads the monotonic clock. Only adapters call this; decision
/// functions take the time as a parameter.
/// @return The current monotonic time.
[[nodiscard]] inline MonotonicTime MonotonicNow() {
  return std::chrono::time_point_cast<Millis>(std::chrono::steady_clock::now());
}

/// @brief Reads the wall clock. Only adapters call this; decision functions
/// take the time as a parameter.
/// @return The current wall-clock time.
[[nodiscard]] inline WallTime WallNow() {
  return std::chrono::time_point_cast<Millis>(std::chrono::system_clock::now());
}

}  // namespace camphormux::core

#endif  // CAMPHORMUX_CORE_TIME_HPP_
