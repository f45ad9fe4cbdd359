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

/// @brief A text to put in force.
struct PublishRequest {
  core::AppendId id;  ///< The same for every attempt.
  std::string author;
  std::string source;
  std::optional<core::Revision> base;  ///< None only for the first text.
};

/// @brief What became of a publish request.
struct PublishReport {
  state::PublishOutcome outcome;
  state::AcceptedText in_force;  ///< When the outcome was read.
};

enum class PublishError {
  kUnreachable,     ///< The log cannot be read; nothing was appended.
  kNoSnapshot,      ///< The log lost the state; nothing was appended.
  kBaseMissing,     ///< A text is in force and no base was given.
  kTooLarge,        ///< The log takes no record of this size.
  kOutcomeUnknown,  ///< The text may or may not be in force.
};

using PublishResult = core::Result<PublishReport, PublishError>;

/// @brief Makes the record of a request: edits where these are smaller.
/// @param request The request.
/// @param in_force The text in force.
/// @return The record.
[[nodiscard]] state::Publish MakePublish(const PublishRequest& request,
                                         const state::AcceptedText& in_force);

/// @brief Appends a text and reads its outcome back, also when answers of the
/// log are lost. The append id makes repeated appends count once.
/// @param session Access to the log.
/// @param request The request; its text is valid.
/// @param limit Time after which the outcome is reported as unknown.
/// @return The outcome, or why there is none.
[[nodiscard]] PublishResult PublishText(LogSession& session,
                                        const PublishRequest& request,
                                        core::Millis limit);

}  // namespace camphormux::cli

#endif  // CAMPHORMUX_CLI_PUBLISH_HPP_
