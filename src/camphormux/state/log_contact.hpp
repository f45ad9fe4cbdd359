#ifndef CAMPHORMUX_STATE_LOG_CONTACT_HPP_
#define CAMPHORMUX_STATE_LOG_CONTACT_HPP_

#include <chrono>
#include <optional>

#include "camphormux/core/time.hpp"

namespace camphormux::state {

/// A process whose view of the log is older than this is cut off.
inline constexpr core::Millis kOldestView = std::chrono::seconds(10);

/// @brief What a process sees of its own contact with the log.
struct LogContact {
  bool cut_off = false;
  core::MonotonicTime complete_until;  ///< Of the view when it was cut off.
  std::optional<core::MonotonicTime> returned;  ///< First answer after that.
};

/// @brief How the view of the log is at the moment.
struct LogViewTimes {
  /// When the state was last known to be complete; the clock's epoch if never.
  core::MonotonicTime complete;
  /// When a read was last answered; the clock's epoch if never.
  core::MonotonicTime answered;
  bool in_force = false;  ///< Whether the whole process uses the state.
};

/// @brief A change that is logged and measured.
struct ContactChange {
  bool cut_off = false;      ///< Else the process converged.
  core::Millis cut_for{0};   ///< Age of the view when the log answered again.
  core::Millis converge{0};  ///< From that answer until the state is in force.
};

/// @brief Takes in the time and the latest reads.
/// @param contact Updated. A process whose state was never complete is starting
/// and not cut off.
/// @param times The latest reads.
/// @param now The time.
/// @return The change, if there is one.
[[nodiscard]] std::optional<ContactChange> UpdateContact(
    LogContact& contact, const LogViewTimes& times, core::MonotonicTime now);

/// @brief Writes the log line of a change.
/// @param change The change.
void LogChange(const ContactChange& change);

}  // namespace camphormux::state

#endif  // CAMPHORMUX_STATE_LOG_CONTACT_HPP_
