#ifndef CAMPHORMUX_CLI_BOOTSTRAP_HPP_
#define CAMPHORMUX_CLI_BOOTSTRAP_HPP_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "camphormux/cli/log_session.hpp"
#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/state/fleet_state.hpp"

namespace camphormux::cli {

/// @brief Starts a new fleet state from an operator text after the old state
/// was lost.
struct BootstrapRequest {
  std::string author;
  std::string source;  ///< A valid operator text.
  /// Last known revision; the text becomes the next one.
  core::Revision base;
  /// Epochs and generations start above this number. The wall clock in
  /// milliseconds exceeds all earlier ones, as these started at 0 or at an
  /// earlier bootstrap and grow far slower than the clock.
  std::uint64_t numbering_floor = 0;
  /// Time for which no record may be appended to the log. Live controllers
  /// renew leases every 2 s, and processes that still have a state append it
  /// within 15 s of a gap in the log.
  core::Millis quiet_period = std::chrono::seconds(20);
  /// Called after the quiet period; false aborts the bootstrap, as a live
  /// process has a state.
  std::function<bool()> no_process_has_state = [] { return true; };
};

enum class BootstrapError {
  kUnreachable,      ///< The log cannot be read; nothing was appended.
  kLogHasState,      ///< The log has a state; publish without a bootstrap.
  kLogInUse,         ///< A live process appended records.
  kPeerHasState,     ///< A live process has a state.
  kIncompleteWrite,  ///< The state may be only partly on the log; retry.
  kSuperseded,       ///< Another state was written first and is in force.
};

/// @brief Makes the new state: the text, and released leases for its zones.
/// @param request The request.
/// @param next Offset of the log's end.
/// @return The state; it contains no hosts.
[[nodiscard]] state::FleetState MakeInitialState(
    const BootstrapRequest& request, core::LogOffset next);

/// @brief Writes a new state to a log whose state is lost.
/// @param session Access to the log.
/// @param request The request.
/// @return The error, or nothing if the state is in force.
[[nodiscard]] std::optional<BootstrapError> Bootstrap(
    LogSession& session, const BootstrapRequest& request);

}  // namespace camphormux::cli

#endif  // CAMPHORMUX_CLI_BOOTSTRAP_HPP_
