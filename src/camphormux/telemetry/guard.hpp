#ifndef CAMPHORMUX_TELEMETRY_GUARD_HPP_
#define CAMPHORMUX_TELEMETRY_GUARD_HPP_

#include <exception>
#include <string>
#include <string_view>
#include <utility>

#include "camphormux/telemetry/log.hpp"

namespace camphormux::telemetry {

/// @brief Runs an action on behalf of a caller, so that an exception costs only
/// that caller and not the process. The exception is logged.
/// @param what What the action handles; a field of the log line.
/// @param action Called once.
/// @return Whether the action ended without an exception.
template <typename Action>
[[nodiscard]] bool RunGuarded(std::string_view what, Action&& action) {
  try {
    std::forward<Action>(action)();
    return true;
  } catch (const std::exception& error) {
    Log(Level::kError, "request failed with an exception",
        {{"request", std::string(what)}, {"reason", error.what()}});
    return false;
  }
}

}  // namespace camphormux::telemetry

#endif  // CAMPHORMUX_TELEMETRY_GUARD_HPP_
