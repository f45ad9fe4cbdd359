#ifndef CAMPHORMUX_TELEMETRY_LOG_LINE_HPP_
#define CAMPHORMUX_TELEMETRY_LOG_LINE_HPP_

#include <initializer_list>
#include <string>
#include <string_view>

#include "camphormux/core/time.hpp"
#include "camphormux/telemetry/log.hpp"

namespace camphormux::telemetry {

/// @brief Formats a log line as one JSON object.
/// @param time When it happened.
/// @param level Severity.
/// @param process Name of the process.
/// @param message What happened.
/// @param fields The variable parts; invalid UTF-8 is replaced.
/// @return The line, without a line break.
[[nodiscard]] std::string FormatLogLine(core::WallTime time, Level level,
                                        std::string_view process,
                                        std::string_view message,
                                        std::initializer_list<Field> fields);

}  // namespace camphormux::telemetry

#endif  // CAMPHORMUX_TELEMETRY_LOG_LINE_HPP_
