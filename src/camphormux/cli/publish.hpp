#ifndef CAMPHORMUX_CLI_PUBLISH_HPP_
#define CAMPHORMUX_CLI_PUBLISH_HPP_

#include <optional>
#include <string>

#include "camphormux/cli/log_session.hpp"
#include "camphormux/core/ids.hpp"
#include "camphormux/core/result.hpp"
#include "camphormux/state/fleet_state.hpp"
#include "camphormux/state/records.hpp"

namespace camphormux::cli {

/// @brief An operator text to publish.
struct PublishRequest {
  core::AppendId id;  ///< Deduplicates appends; the same for every attempt.
  std::string author;
  std::string source;  ///< The operator text.
  /// Revision that the text was edited from; none only for the first text.
  std::optional<core::Revision> base;
};

/// @brief Outcome of a publish request.
struct PublishReport {
  state::PublishOutcome outcome;
  state::AcceptedText in_force;  ///< Text in force when the outcome was read.
};

enum class PublishError {
  kUnreachable,     ///< The log cannot be read; nothing was appended.
  kNoSnapshot,      ///< The log has no complete state; nothing was appended.
  kBaseMissing,     ///< A text is in force, but no base was given.
  kTooLarge,        ///< The record exceeds the log's size limit.
  kOutcomeUnknown,  ///< The text may or may not be in force.
};

using PublishResult = core::Result<PublishReport, PublishError>;

/// @brief Makes the publish record of a request. It holds line edits if these
/// are smaller than the whole text.
/// @param request The request.
/// @param in_force The text in force.
/// @return The record.
[[nodiscard]] state::Publish MakePublish(const PublishRequest& request,
                                         const state::AcceptedText& in_force);

/// @brief Appends a text and reads its outcome back from the log. Appends are
/// retried when answers are lost; the append id makes repeated ones count once.
/// @param session Access to the log.
/// @param request The request; its text is valid.
/// @param limit Time after which the outcome is reported as unknown.
/// @return The outcome, or why there is none.
[[nodiscard]] PublishResult PublishText(LogSession& session,
                                        const PublishRequest& request,
                                        core::Millis limit);

}  // namespace camphormux::cli

#endif  // CAMPHORMUX_CLI_PUBLISH_HPP_
