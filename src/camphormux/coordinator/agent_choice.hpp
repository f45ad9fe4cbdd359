#ifndef CAMPHORMUX_COORDINATOR_AGENT_CHOICE_HPP_
#define CAMPHORMUX_COORDINATOR_AGENT_CHOICE_HPP_

#include <optional>
#include <vector>

#include "camphormux/coordinator/member.hpp"
#include "camphormux/core/ids.hpp"

namespace camphormux::coordinator {

/// Up to this many hosts, the holder calls all hosts itself; in a larger fleet
/// it delegates the calls to other nodes. A holder with a quarter of a core
/// handles the load surges of 48 hosts.
inline constexpr std::size_t kMaxDirectHosts = 60;

/// @brief Chooses the node (agent) that calls a host on behalf of the holder: a
/// node in the host's zone or, if that zone has none, any node. Hosts are
/// distributed in proportion to the nodes' processor shares. Nodes with less
/// than half of the largest share are left out because they take several times
/// longer for a batch of calls. The choice for a host changes only when its
/// node leaves or a new node outranks it.
/// @param nodes Usable nodes.
/// @param host The host.
/// @param zone Zone of the host.
/// @return Address of the node; empty if there is none.
[[nodiscard]] std::optional<core::Address> ChooseAgent(
    const std::vector<Member>& nodes, const core::HostId& host,
    const core::ZoneName& zone);

}  // namespace camphormux::coordinator

#endif  // CAMPHORMUX_COORDINATOR_AGENT_CHOICE_HPP_
