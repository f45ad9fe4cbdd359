#ifndef CAMPHORMUX_PLACEMENT_HEADROOM_TREE_HPP_
#define CAMPHORMUX_PLACEMENT_HEADROOM_TREE_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "camphormux/placement/resources.hpp"

namespace camphormux::placement {

/// @brief Room on a worker.
struct Headroom {
  Resources free;
  Resources with_preemption;  ///< Free if all preemptible tasks were stopped.
};

/// @brief A tree of maxima over the workers of a pool, so that a worker with
/// room is found without a scan of the pool. The leaves are the pool's slots.
struct HeadroomTree {
  std::size_t leaves = 0;  ///< A power of two, or 0.
  std::vector<Headroom>
      nodes;  ///< Node 1 is the root; leaf i is at leaves + i.
};

/// @brief Which room of a worker a search looks at.
using HeadroomMember = Resources Headroom::*;

/// @brief Room of a slot without worker: nothing fits.
inline constexpr Headroom kNoHeadroom{
    {{-1}, {-1}, {-1}},
    {{-1}, {-1}, {-1}},
};

/// @brief Sets the room of a slot and grows the tree where needed.
/// @param tree The tree.
/// @param slot The slot.
/// @param room Its room.
void SetHeadroom(HeadroomTree& tree, std::size_t slot,
                 const Headroom& headroom);

/// @brief Finds the next slot into which a need fits.
/// @param tree The tree.
/// @param need The need.
/// @param member The room that is compared.
/// @param from First slot that is considered.
/// @return The slot, or none up to the end.
[[nodiscard]] std::optional<std::size_t> NextFit(const HeadroomTree& tree,
                                                 const Resources& need,
                                                 HeadroomMember member,
                                                 std::size_t from);

/// @brief Returns the largest room of each resource over all slots.
/// @param tree The tree.
/// @return The maxima; negative if there is no slot.
[[nodiscard]] Headroom MaxHeadroom(const HeadroomTree& tree);

}  // namespace camphormux::placement

#endif  // CAMPHORMUX_PLACEMENT_HEADROOM_TREE_HPP_
