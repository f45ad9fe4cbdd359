#ifndef CAMPHORMUX_CLI_LOG_SESSION_HPP_
#define CAMPHORMUX_CLI_LOG_SESSION_HPP_

#include <functional>

#include <asio/io_context.hpp>

#include "camphormux/core/result.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/log/log_port.hpp"
#include "camphormux/state/follower.hpp"

namespace camphormux::cli {

/// @brief Why a read did not reach the end of the log.
enum class LogFailure {
  kUnreachable,  ///< No answer within the time limit.
  kNoSnapshot,   ///< Records expired and no complete snapshot covers them.
};

using ReadOutcome = core::Result<core::LogOffset, LogFailure>;

/// @brief Blocking access to the state stream for the command line. Each
/// operation runs the event loop until it ends. Failed reads are retried until
/// the time limit, which restarts after each successful read.
class LogSession {
 public:
  /// @param loop Event loop of the port; must not be run by anyone else.
  /// @param port Access to the log.
  /// @param limit Time limit of an operation without progress.
  LogSession(asio::io_context& loop, log::LogPort port, core::Millis limit);

  /// @brief Reads the state stream from an offset to its end.
  /// @param from First offset; reading starts at the earliest retained record
  /// if that one is later.
  /// @param visit Called for each record in order.
  /// @return The offset after the last record, or why the end was not reached.
  [[nodiscard]] ReadOutcome ReadToEnd(
      core::LogOffset from,
      const std::function<void(const log::StoredRecord&)>& visit);

  /// @brief Brings a follower up to the end of the state stream. Loads a
  /// snapshot where records have expired.
  /// @param follower Receives the records.
  /// @return The offset after the last record, or why the end was not reached.
  [[nodiscard]] ReadOutcome Follow(state::Follower& follower);

  /// @brief Sends one append to the state stream.
  /// @param data The record's bytes.
  /// @return The offset of the record, or the error.
  [[nodiscard]] log::AppendResult Append(const std::string& data);

  /// @brief Waits while the event loop keeps running.
  /// @param time Time to wait.
  void Pause(core::Millis time);

 private:
  [[nodiscard]] log::ReadAnswer Read(core::LogOffset from);

  asio::io_context& loop_;
  log::LogPort port_;
  core::Millis limit_;
};

}  // namespace camphormux::cli

#endif  // CAMPHORMUX_CLI_LOG_SESSION_HPP_
