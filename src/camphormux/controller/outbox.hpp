#ifndef CAMPHORMUX_CONTROLLER_OUTBOX_HPP_
#define CAMPHORMUX_CONTROLLER_OUTBOX_HPP_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/log/log_port.hpp"
#include "camphormux/state/records.hpp"

namespace camphormux::controller {

/// Maximum size of one log entry in bytes. The appender refuses entries above
/// 256 KiB, and several entries share a log record of that size.
inline constexpr std::size_t kMaxEntryBytes = std::size_t{64} << 10;

/// @brief Encodes the records of a step as log entries of bounded size.
/// @param records The records, in order.
/// @param max_bytes Maximum size of an entry in bytes; a larger record gets an
/// entry of its own.
/// @return The entries, in order; empty if there are no records.
[[nodiscard]] std::vector<std::string> EncodeEntries(
    const std::vector<state::Record>& records, std::size_t max_bytes);

/// @brief Appended entries of one step that the state does not contain yet.
struct PendingStep {
  std::size_t unanswered = 0;  ///< Entries that the log has not answered yet.
  /// Highest offset of a confirmed entry.
  std::optional<core::LogOffset> last;
  /// Last time an append failed or was not answered. Only a read that is sent
  /// later shows whether that entry is on the log.
  std::optional<core::MonotonicTime> unknown_since;
};

/// @brief Records the result of appending one entry.
/// @param pending The entries of the step.
/// @param result Result of the append.
/// @param now The time.
void OnAppendResult(PendingStep& pending, const log::AppendResult& result,
                    core::MonotonicTime now);

/// @brief Tells whether the state contains or rules out every entry of the
/// step.
/// @param pending The entries of the step.
/// @param next First offset that is not in the state.
/// @param read_sent Send time of the last read that reached the log's end.
/// @return Whether the next step may make decisions.
[[nodiscard]] bool IsSettled(const PendingStep& pending, core::LogOffset next,
                             core::MonotonicTime read_sent);

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_OUTBOX_HPP_
