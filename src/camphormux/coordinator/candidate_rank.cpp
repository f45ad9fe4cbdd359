#include "camphormux/coordinator/candidate_rank.hpp"

#include <algorithm>
#include <cstdint>
#include <tuple>

#include <xxhash.h>

namespace camphormux::coordinator {
namespace internal {

/// A node with this processor share decides in time for several hundred hosts.
constexpr core::MilliCores kLargeNode{400};
/// Number of ranks among nodes of one size while no list of nodes is known.
constexpr std::size_t kRanksWithoutMembers = 8;

std::uint64_t AddressHash(const Member& member) {
  return XXH3_64bits_withSeed(member.address.ip.data(),
                              member.address.ip.size(), member.address.port);
}

/// Nodes become candidates in the order of these keys.
auto OrderKey(const Member& member) {
  return std::make_tuple(member.processor < kLargeNode, AddressHash(member),
                         member.address);
}

}  // namespace internal

std::size_t CandidateRank(const Member& self,
                          const std::vector<Member>& members,
                          const std::optional<core::Address>& last_holder) {
  if (members.empty()) {
    const std::size_t rank =
        internal::AddressHash(self) % internal::kRanksWithoutMembers;
    return self.processor < internal::kLargeNode
               ? rank + internal::kRanksWithoutMembers
               : rank;
  }
  const auto key = internal::OrderKey(self);
  return static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(), [&](const Member& member) {
        return member.address != last_holder &&
               internal::OrderKey(member) < key;
      }));
}

}  // namespace camphormux::coordinator
