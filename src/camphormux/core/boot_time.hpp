#ifndef CAMPHORMUX_CORE_BOOT_TIME_HPP_
#define CAMPHORMUX_CORE_BOOT_TIME_HPP_

#include <chrono>
#include <ctime>

namespace camphormux::core {

/// @brief Reads the clock that counts from the start of the system. Unlike the
/// monotonic clock, it also counts the time in which the system was suspended.
/// @return Time since the start of the system.
[[nodiscard]] inline std::chrono::nanoseconds BootTime() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::seconds(now.tv_sec) +
         std::chrono::nanoseconds(now.tv_nsec);
}

}  // namespace camphormux::core

#endif  // CAMPHORMUX_CORE_BOOT_TIME_HPP_
