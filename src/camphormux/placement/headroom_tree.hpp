#ifndef CAMPHORMUX_PLACEMENT_HEADROOM_TREE_HPP_
#define CAMPHORMUX_PLACEMENT_HEADROOM_TREE_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "camphormux/placement/resources.hpp"

namespace camphormux::placement {

/// @brief Resources available on a worker.
struct Headroom {
  Resources free;
  Resources with_preemption;  ///< Free after stopping all preemptible tasks.
};

/// @brief A segment tree of maxima over the slots of a pool, which finds a
/// worker with enough headroom without a scan of the pool.
struct HeadroomTree {
  std::size_t leaves = 0;  ///< A power of two, or 0.
  /// Node 1 is the root; leaf i is at leaves + i.
  std::vector<Headroom> nodes;
};

/// @brief The member of Headroom that a search compares.
using HeadroomMember = Resources Headroom::*;

/// @brief Headroom of a slot without a usable worker: nothing fits.
inline constexpr Headroom kNoHeadroom{
    {{-1}, {-1}, {-1}},
    {{-1}, {-1}, {-1}},
};

/// @brief Sets the headroom of a slot; grows the tree if necessary.
/// @param tree The tree; updated.
/// @param slot The slot.
/// @param headroom The headroom of the slot.
void SetHeadroom(HeadroomTree& tree, std::size_t slot,
                 const Headroom& headroom);

/// @brief Finds the next slot into which a need fits.
/// @param tree The tree.
/// @param need The resources needed.
/// @param member The member of Headroom to compare with.
/// @param from First slot to consider.
/// @return The slot, or nothing if no slot from `from` on fits.
[[nodiscard]] std::optional<std::size_t> NextFit(const HeadroomTree& tree,
                                                 const Resources& need,
                                                 HeadroomMember member,
                                                 std::size_t from);

/// @brief Returns the maximum headroom of each resource over all slots.
/// @param tree The tree.
/// @return The maxima; negative if the tree is empty.
[[nodiscard]] Headroom MaxHeadroom(const HeadroomTree& tree);

}  // namespace camphormux::placement

#endif  // CAMPHORMUX_PLACEMENT_HEADROOM_TREE_HPP_
