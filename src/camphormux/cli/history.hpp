#ifndef CAMPHORMUX_CLI_HISTORY_HPP_
#define CAMPHORMUX_CLI_HISTORY_HPP_

#include <string>
#include <vector>

#include "camphormux/cli/log_session.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/state/fleet_state.hpp"

namespace camphormux::cli {

/// @brief A publish record on the log with its outcome.
struct HistoryEntry {
  core::WallTime time;  ///< Time of the append by the log's clock.
  state::PublishOutcome outcome;
};

using HistoryResult = core::Result<std::vector<HistoryEntry>, LogFailure>;

/// @brief Reads the publish records that the log still retains.
/// @param session Access to the log.
/// @return The entries, oldest first, or why the log could not be read.
[[nodiscard]] HistoryResult ReadHistory(LogSession& session);

/// @brief Formats a history as a table.
/// @param entries The entries.
/// @return One line per entry.
[[nodiscard]] std::string HistoryText(const std::vector<HistoryEntry>& entries);

/// @brief Formats a history as a JSON array.
/// @param entries The entries.
/// @return The JSON text.
[[nodiscard]] std::string HistoryJson(const std::vector<HistoryEntry>& entries);

}  // namespace camphormux::cli

#endif  // CAMPHORMUX_CLI_HISTORY_HPP_
