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

/// Most bytes of one entry for the log. The appender refuses entries above
/// 256 KiB, and several entries share a log record of that size.
inline constexpr std::size_t kMaxEntryBytes = std::size_t{64} << 10;

/// @brief Encodes the records of a step as entries of bounded size.
/// @param records The records, in order.
/// @param max_bytes Most bytes of an entry; a larger record goes alone.
/// @return The entries, in order; none without records.
[[nodiscard]] std::vector<std::string> EncodeEntries(
    const std::vector<state::Record>& records, std::size_t max_bytes);

/// @brief Entries of one step that are not in the state yet.
struct PendingStep {
  std::size_t unanswered = 0;  ///< Entries without an answer of the log.
  std::optional<core::LogOffset> last;  ///< Highest offset of an entry.
  /// When an entry failed or got no answer: a state read after this time
  /// decides.
  std::optional<core::MonotonicTime> unknown_since;
};

/// @brief Takes the log's answer to one entry.
/// @param pending The step.
/// @param result The answer.
/// @param now The time.
void OnAppendResult(PendingStep& pending, const log::AppendResult& result,
                    core::MonotonicTime now);

/// @brief Tells whether the state shows what became of all entries.
/// @param pending The step.
/// @param next First offset that the state lacks.
/// @param read_sent When the last read that showed the log's end was sent.
/// @return Whether the next step may be decided.
[[nodiscard]] bool IsSettled(const PendingStep& pending, core::LogOffset next,
                             core::MonotonicTime read_sent);

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_OUTBOX_HPP_
