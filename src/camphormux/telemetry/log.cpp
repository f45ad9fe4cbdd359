#include "camphormux/telemetry/log.hpp"

#include <cstdio>
#include <memory>
#include <mutex>

#include <fcntl.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <unistd.h>

#include "camphormux/core/time.hpp"
#include "camphormux/telemetry/log_line.hpp"
#include "camphormux/telemetry/log_rate_limiter.hpp"

namespace camphormux::telemetry {
namespace internal {

/// Applies the limit of lines per second, and logs how many lines were left out
/// in the last window. Warnings, errors and periodic lines are not limited.
bool IsAllowed(LogRateClass rate_class, Level level) {
  static std::mutex mutex;
  static LogRateLimiter limiter;
  if (level == Level::kWarning || level == Level::kError ||
      rate_class == LogRateClass::kPeriodic) {
    return true;
  }
  LineDecision decision;
  {
    const std::lock_guard lock(mutex);
    decision = AdmitLine(limiter, core::MonotonicNow(),
                         rate_class == LogRateClass::kFrequent);
  }
  if (decision.report_suppressed > 0) {
    Log(Level::kWarning, "log lines left out",
        {{"lines", std::to_string(decision.report_suppressed)}});
  }
  return decision.write;
}

/// Lines are flushed at most this often, so that several are written together.
constexpr core::Millis kFlushInterval{50};

std::string& ProcessName() {
  static std::string name;
  return name;
}

/// Flushes buffered lines if the flush interval is over or `force` is set.
void FlushIfDue(bool force) {
  static std::mutex mutex;
  static core::MonotonicTime last;
  const std::lock_guard lock(mutex);
  const core::MonotonicTime time = core::MonotonicNow();
  if (force || time >= last + kFlushInterval) {
    last = time;
    FlushLog();
  }
}

log4cxx::LevelPtr ToLog4cxx(Level level) {
  switch (level) {
    case Level::kDebug:
      return log4cxx::Level::getDebug();
    case Level::kInfo:
      return log4cxx::Level::getInfo();
    case Level::kWarning:
      return log4cxx::Level::getWarn();
    case Level::kError:
      break;
  }
  return log4cxx::Level::getError();
}

}  // namespace internal

void ConfigureLog(const std::string& process, Level lowest, LogStream stream) {
  // The message is the whole JSON line, because log4cxx's JSONLayout with a
  // diagnostic context takes several times longer.
  const auto layout =
      std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m%n"));
  const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
      layout, stream == LogStream::kError ? LOG4CXX_STR("System.err")
                                          : LOG4CXX_STR("System.out"));
  if (stream == LogStream::kOutput) {
    appender->setImmediateFlush(false);
    // If the reader of the standard output does not keep up, lines are lost
    // instead of blocking the process.
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }
  const auto root = log4cxx::Logger::getRootLogger();
  root->removeAllAppenders();
  root->addAppender(appender);
  root->setLevel(internal::ToLog4cxx(lowest));
  internal::ProcessName() = process;
}

void FlushLog() { std::fflush(stdout); }

void Log(Level level, std::string_view message,
         std::initializer_list<Field> fields) {
  Log(LogRateClass::kOrdinary, level, message, fields);
}

void Log(LogRateClass rate_class, Level level, std::string_view message,
         std::initializer_list<Field> fields) {
  const auto logger = log4cxx::Logger::getRootLogger();
  const auto severity = internal::ToLog4cxx(level);
  if (!logger->isEnabledFor(severity) ||
      !internal::IsAllowed(rate_class, level)) {
    return;
  }
  logger->forcedLog(
      severity, FormatLogLine(core::WallNow(), level, internal::ProcessName(),
                              message, fields));
  internal::FlushIfDue(level >= Level::kWarning);
}

}  // namespace camphormux::telemetry
