#ifndef CAMPHORMUX_ROUTING_LEAVING_HOSTS_HPP_
#define CAMPHORMUX_ROUTING_LEAVING_HOSTS_HPP_

#include <map>
#include <optional>
#include <set>
#include <string>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/state/fleet_state.hpp"

namespace camphormux::routing {

/// @brief Hosts that the platform lists as leaving, split by whether the list
/// is believed.
struct LeavingHosts {
  std::set<core::HostId> trusted;  ///< Receive no new requests.
  /// Listed, but together with implausibly many hosts of their zone, so the
  /// list may be wrong.
  std::set<core::HostId> doubted;
};

/// @brief Verdicts on the hosts that the platform lists as leaving, carried
/// from one list to the next.
struct LeavingHostTracker {
  LeavingHosts hosts;
  /// When a host became trusted. Entries of hosts that are no longer listed are
  /// kept until `kNewlyTrustedWindow` has passed.
  std::map<core::HostId, core::MonotonicTime> trusted_since;
};

/// @brief Maximum share of a zone's admitted hosts that may become trusted as
/// leaving within `kNewlyTrustedWindow`. At least one host per zone is allowed.
inline constexpr double kMaxNewlyTrustedShare = 0.2;
inline constexpr core::Millis kNewlyTrustedWindow = std::chrono::minutes(1);

/// @brief Parses the response to `GET /v1/hosts?state=leaving`.
/// @param body JSON response body.
/// @return The listed hosts that are leaving, or nothing if the body does not
/// have the specified form.
[[nodiscard]] std::optional<std::set<core::HostId>> ParseLeavingList(
    const std::string& body);

/// @brief Processes a new list. If it names too many of a zone's hosts within
/// the window, all newly named hosts of that zone are doubted. This bounds the
/// capacity lost when the platform's list is wrong.
/// @param tracker Result of the previous list; updated in place.
/// @param named Hosts that the new list names.
/// @param state The fleet state; provides each zone's admitted hosts.
/// @param now Current time.
/// @return Zones whose newly named hosts are doubted.
[[nodiscard]] std::set<core::ZoneName> UpdateLeaving(
    LeavingHostTracker& tracker, const std::set<core::HostId>& named,
    const state::FleetState& state, core::MonotonicTime now);

}  // namespace camphormux::routing

#endif  // CAMPHORMUX_ROUTING_LEAVING_HOSTS_HPP_
