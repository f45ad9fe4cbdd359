#include "camphormux/telemetry/log_line.hpp"

#include <cstdio>
#include <ctime>

#include <nlohmann/json.hpp>

namespace camphormux::telemetry {
namespace internal {

constexpr std::int64_t kMillisPerSecond = 1000;
/// Bytes reserved for each line: the size of a usual line.
constexpr std::size_t kTypicalLineBytes = 256;

std::string_view LevelName(Level level) {
  switch (level) {
    case Level::kDebug:
      return "DEBUG";
    case Level::kInfo:
      return "INFO";
    case Level::kWarning:
      return "WARN";
    case Level::kError:
      break;
  }
  return "ERROR";
}

void AppendTime(std::string& line, core::WallTime time) {
  const std::int64_t millis = time.time_since_epoch().count();
  const std::time_t seconds = millis / kMillisPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  constexpr std::size_t kMaxTimeText = 32;
  char text[kMaxTimeText];
  const std::size_t length =
      std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
  line.append(text, length);
  std::snprintf(text, sizeof(text), ".%03dZ",
                static_cast<int>(millis % kMillisPerSecond));
  line += text;
}

void AppendText(std::string& line, std::string_view text) {
  line += nlohmann::json(text).dump(-1, ' ', false,
                                    nlohmann::json::error_handler_t::replace);
}

}  // namespace internal

std::string FormatLogLine(core::WallTime time, Level level,
                          std::string_view process, std::string_view message,
                          std::initializer_list<Field> fields) {
  std::string line;
  line.reserve(internal::kTypicalLineBytes);
  line += R"({"timestamp":")";
  internal::AppendTime(line, time);
  line += R"(","level":")";
  line += internal::LevelName(level);
  line += R"(","message":)";
  internal::AppendText(line, message);
  line += R"(,"context_map":{"process":)";
  internal::AppendText(line, process);
  for (const Field& field : fields) {
    line += ',';
    internal::AppendText(line, field.name);
    line += ':';
    internal::AppendText(line, field.value);
  }
  line += "}}";
  return line;
}

}  // namespace camphormux::telemetry
