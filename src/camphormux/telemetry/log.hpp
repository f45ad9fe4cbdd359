#ifndef CAMPHORMUX_TELEMETRY_LOG_HPP_
#define CAMPHORMUX_TELEMETRY_LOG_HPP_

#include <initializer_list>
#include <string>
#include <string_view>

namespace camphormux::telemetry {

enum class Level { kDebug, kInfo, kWarning, kError };

/// @brief A named value of a log line.
struct Field {
  std::string name;
  std::string value;
};

enum class LogStream { kError, kOutput };

/// @brief Configures logging: JSON lines on a standard stream. Call before Log.
/// @param process Value of the field "process" of each line.
/// @param lowest Lines below this level are dropped.
/// @param stream Where the lines go.
void ConfigureLog(const std::string& process, Level lowest,
                  LogStream stream = LogStream::kError);

/// @brief Writes buffered lines. Lines for the standard output are buffered and
/// written together; a warning or an error is written at once.
void FlushLog();

/// @brief How a line counts against the limit of lines per second. Warnings and
/// errors are never left out.
enum class LogRateClass {
  kFrequent,  ///< One line per run or call; left out first.
  kOrdinary,
  kPeriodic,  ///< A few lines per second at any load; never left out.
};

/// @brief Writes one log line.
/// @param rate_class How the line counts against the limit.
/// @param level Severity.
/// @param message What happened, without variable parts.
/// @param fields The variable parts.
void Log(LogRateClass rate_class, Level level, std::string_view message,
         std::initializer_list<Field> fields = {});

/// @brief Writes one log line of the class kOrdinary.
/// @param level Severity.
/// @param message What happened, without variable parts.
/// @param fields The variable parts.
void Log(Level level, std::string_view message,
         std::initializer_list<Field> fields = {});

}  // namespace camphormux::telemetry

#endif  // CAMPHORMUX_TELEMETRY_LOG_HPP_
