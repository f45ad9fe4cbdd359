#ifndef CAMPHORMUX_CLI_LOG_SESSION_HPP_
#define CAMPHORMUX_CLI_LOG_SESSION_HPP_

#include <functional>

#include <asio/io_context.hpp>

#include "camphormux/core/result.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/log/log_port.hpp"
#include "camphormux/state/follower.hpp"

namespace camphormux::cli {

/// @brief Why the log's end was not reached.
enum class LogFailure {
  kUnreachable,  ///< No answer within the time limit.
  kNoSnapshot,   ///< Records expired and no snapshot replaces them.
};

using ReadOutcome = core::Result<core::LogOffset, LogFailure>;

/// @brief Blocking use of the state stream for the command line; runs the
/// event loop until each operation ends. Reads are repeated after failures
/// until the time limit.
class LogSession {
 public:
  /// @param loop Event loop that the port uses; nothing else runs it.
  /// @param port Access to the log.
  /// @param limit Longest time of one operation.
  LogSession(asio::io_context& loop, log::LogPort port, core::Millis limit);

  /// @brief Reads the state stream from an offset to its end.
  /// @param from First offset; a lower one than the log keeps means from the
  /// earliest.
  /// @param visit Called for each record in order.
  /// @return The offset after the last record, or why the end was not reached.
  [[nodiscard]] ReadOutcome ReadToEnd(
      core::LogOffset from,
      const std::function<void(const log::StoredRecord&)>& visit);

  /// @brief Follows the state stream to its end; loads a snapshot where
  /// records have expired.
  /// @param follower Receives the records.
  /// @return The offset after the last record, or why the end was not reached.
  [[nodiscard]] ReadOutcome Follow(state::Follower& follower);

  /// @brief Sends one append to the state stream.
  /// @param data The record's bytes.
  /// @return The offset, or why there is none.
  [[nodiscard]] log::AppendResult Append(const std::string& data);

  /// @brief Waits while the event loop runs.
  /// @param time How long.
  void Pause(core::Millis time);

 private:
  [[nodiscard]] log::ReadAnswer Read(core::LogOffset from);

  asio::io_context& loop_;
  log::LogPort port_;
  core::Millis limit_;
};

}  // namespace camphormux::cli

#endif  // CAMPHORMUX_CLI_LOG_SESSION_HPP_
