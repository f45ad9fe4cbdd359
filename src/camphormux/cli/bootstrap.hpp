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

/// @brief A text that begins a new state, because the old one is lost.
struct BootstrapRequest {
  std::string author;
  std::string source;  ///< Valid.
  /// The last revision that is remembered; the text gets the next one.
  core::Revision base;
  /// Epochs and generations begin above this. The wall clock in milliseconds
  /// is above all earlier ones, which begin at 0 or at an earlier bootstrap and
  /// grow far slower than the clock.
  std::uint64_t numbering_floor = 0;
  /// How long the log must stay without a new record. Live controllers renew
  /// leases every 2 s, and survivors with a gap append their state within 15 s.
  core::Millis quiet_period = std::chrono::seconds(20);
  /// Asked after that time: whether still no live process has a state.
  std::function<bool()> no_process_has_state = [] { return true; };
};

enum class BootstrapError {
  kUnreachable,      ///< The log cannot be read; nothing was appended.
  kLogHasState,      ///< A text can be published as usual.
  kLogInUse,         ///< A live process appends records.
  kPeerHasState,     ///< A live process has a state.
  kIncompleteWrite,  ///< The state may be on the log in part; to be repeated.
  kSuperseded,       ///< Another state came first and is in force.
};

/// @brief Makes the first state: the text, and released leases of its zones.
/// @param request The request.
/// @param next The log's end.
/// @return The state; it knows no host.
[[nodiscard]] state::FleetState MakeInitialState(
    const BootstrapRequest& request, core::LogOffset next);

/// @brief Puts a first state on a log that has lost everything.
/// @param session Access to the log.
/// @param request The request.
/// @return Why not, or nothing if the state is in force.
[[nodiscard]] std::optional<BootstrapError> Bootstrap(
    LogSession& session, const BootstrapRequest& request);

}  // namespace camphormux::cli

#endif  // CAMPHORMUX_CLI_BOOTSTRAP_HPP_
