#ifndef CAMPHORMUX_COORDINATOR_AGENT_CHOICE_HPP_
#define CAMPHORMUX_COORDINATOR_AGENT_CHOICE_HPP_

#include <optional>
#include <vector>

#include "camphormux/coordinator/member.hpp"
#include "camphormux/core/ids.hpp"

namespace camphormux::coordinator {

/// A holder calls this many hosts itself; more are called by other nodes for
/// it. A holder of a quarter of a core carries the surges of 48 hosts.
inline constexpr std::size_t kMaxDirectHosts = 60;

/// @brief Chooses the node that calls a host for the holder: one in the host's
/// zone, or any if the zone has none, in proportion to their processors. Nodes
/// with less than half of the largest share among them are left out, as a batch
/// of calls takes them several times longer. The choice for a host changes only
/// when its node leaves or a new one takes it over.
/// @param nodes Nodes that can be used.
/// @param host The host.
/// @param zone Its zone.
/// @return The node, or nothing if there is none.
[[nodiscard]] std::optional<core::Address> ChooseAgent(
    const std::vector<Member>& nodes, const core::HostId& host,
    const core::ZoneName& zone);

}  // namespace camphormux::coordinator

#endif  // CAMPHORMUX_COORDINATOR_AGENT_CHOICE_HPP_
