#ifndef CAMPHORMUX_COORDINATOR_AUTHORITY_HPP_
#define CAMPHORMUX_COORDINATOR_AUTHORITY_HPP_

#include <functional>

#include "camphormux/core/time.hpp"

namespace camphormux::coordinator {

/// @brief How long a holder may still rely on its ownership. Asked at each
/// grant and order, because timers run late after a suspension.
struct Authority {
  /// Whether the store has confirmed the ownership recently.
  std::function<bool()> is_confirmed;
  /// Time until a successor may treat the leases of this holder as expired; 0
  /// when it may do so already.
  std::function<core::Millis()> time_left;
  /// Time since no other node can have taken over.
  std::function<core::Millis()> since_confirmation;
};

/// @brief Computes the time for which a holder may still rely on its ownership.
/// @param since_confirmation Time since the ownership was last confirmed; time
/// in which the system was suspended counts.
/// @param successor_wait Time that a successor waits after its takeover for the
/// leases of its predecessors. It took over after the confirmation.
/// @return Time until a successor may treat the leases of this holder as
/// expired; 0 if it may do so already.
[[nodiscard]] core::Millis AuthorityLeft(core::Millis since_confirmation,
                                         core::Millis successor_wait);

/// @brief Shortens a lease so that it expires while the holder still has
/// authority, also on a slow clock.
/// @param lease Duration that the holder would like to grant.
/// @param authority_left As returned by `AuthorityLeft`.
/// @return Duration to grant; 0 if nothing may be granted.
[[nodiscard]] core::Millis LimitLease(core::Millis lease,
                                      core::Millis authority_left);

}  // namespace camphormux::coordinator

#endif  // CAMPHORMUX_COORDINATOR_AUTHORITY_HPP_
