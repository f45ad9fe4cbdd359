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

/// @brief Hosts that the platform lists as leaving.
struct LeavingHosts {
  std::set<core::HostId> trusted;  ///< Get no new requests.
  std::set<core::HostId> doubted;  ///< Named by a list that may be wrong.
};

/// @brief Which hosts the list named, and since when they are believed.
struct LeavingHostTracker {
  LeavingHosts hosts;
  std::map<core::HostId, core::MonotonicTime> trusted_since;
};

/// @brief Share of a zone's admitted hosts that a list may newly name within
/// `kNewlyTrustedWindow`. At least one host may always be named.
inline constexpr double kMaxNewlyTrustedShare = 0.2;
inline constexpr core::Millis kNewlyTrustedWindow = std::chrono::minutes(1);

/// @brief Reads the answer to `GET /v1/hosts?state=leaving`.
/// @param body JSON.
/// @return The listed hosts that are leaving, or nothing if the body is not as
/// specified.
[[nodiscard]] std::optional<std::set<core::HostId>> ParseLeavingList(
    const std::string& body);

/// @brief Judges a new list. If it names too many of a zone's hosts at once,
/// the newly named hosts of that zone are doubted; this bounds the loss when
/// the platform's list is wrong.
/// @param list The last result; replaced.
/// @param named Hosts that the new list names.
/// @param state The fleet state; tells the zones' sizes.
/// @param now The time.
/// @return Zones whose newly named hosts are doubted.
[[nodiscard]] std::set<core::ZoneName> UpdateLeaving(
    LeavingHostTracker& tracker, const std::set<core::HostId>& named,
    const state::FleetState& state, core::MonotonicTime now);

}  // namespace camphormux::routing

#endif  // CAMPHORMUX_ROUTING_LEAVING_HOSTS_HPP_
