#ifndef CAMPHORMUX_COORDINATOR_CANDIDATE_RANK_HPP_
#define CAMPHORMUX_COORDINATOR_CANDIDATE_RANK_HPP_

#include <cstddef>
#include <optional>
#include <vector>

#include "camphormux/coordinator/member.hpp"

namespace camphormux::coordinator {

/// @brief Computes a node's place in the order in which nodes become candidates
/// for the ownership. Nodes that know the same members have different ranks, so
/// that two of them do not become candidates at once: the store then deals the
/// ownership anew and may take it from the first. Large nodes come first.
/// @param self The node; need not be listed.
/// @param members Nodes that the store lists; may be empty.
/// @param last_holder Node that is missing, if known; it is passed over.
/// @return Number of nodes that become candidates earlier. Without a list, a
/// number that depends on the node's address.
[[nodiscard]] std::size_t CandidateRank(
    const Member& self, const std::vector<Member>& members,
    const std::optional<core::Address>& last_holder);

}  // namespace camphormux::coordinator

#endif  // CAMPHORMUX_COORDINATOR_CANDIDATE_RANK_HPP_
