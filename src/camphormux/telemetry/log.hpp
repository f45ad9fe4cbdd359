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

/// @brief Sends log lines as JSON to a standard stream. Call before Log.
/// @param process Value of the field "process" of each line.
/// @param lowest Lines below this level are dropped.
/// @param stream Where the lines go.
void ConfigureLog(const std::string& process, Level lowest,
                  LogStream stream = LogStream::kError);

/// @brief Writes the lines that wait for others. Lines for the standard output
/// are written together; those of a warning or an error at once.
void FlushLog();

/// @brief What is left out first when a process has too much to write.
enum class LogRateClass {
  kFrequent,  ///< One line a run or a call; left out first.
  kOrdinary,
  kPeriodic,  ///< A few lines a second, whatever the load; never left out.
};

/// @brief Writes one log line.
/// @param rate_class How often lines of this kind come.
/// @param level Severity.
/// @param message What happened, without variable parts.
/// @param fields The variable parts.
void Log(LogRateClass rate_class, Level level, std::string_view message,
         std::initializer_list<Field> fields = {});

/// @brief Writes one log line of ordinary rate_class.
/// @param level Severity.
/// @param message What happened, without variable parts.
/// @param fields The variable parts.
void Log(Level level, std::string_view message,
         std::initializer_list<Field> fields = {});

}  // namespace camphormux::telemetry

#endif  // CAMPHORMUX_TELEMETRY_LOG_HPP_
