#ifndef CAMPHORMUX_PLACEMENT_ROOM_TREE_HPP_
#define CAMPHORMUX_PLACEMENT_ROOM_TREE_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "camphormux/placement/resources.hpp"

namespace camphormux::placement {

/// @brief Room on a worker.
struct Room {
  Resources free;
  Resources yieldable;  ///< Free if all preemptible tasks were stopped.
};

/// @brief A tree of maxima over the workers of a pool, so that a worker with
/// room is found without a scan of the pool. The leaves are the pool's slots.
struct RoomTree {
  std::size_t leaves = 0;   ///< A power of two, or 0.
  std::vector<Room> nodes;  ///< Node 1 is the root; leaf i is at leaves + i.
};

/// @brief Which room of a worker a search looks at.
using RoomMember = Resources Room::*;

/// @brief Room of a slot without worker: nothing fits.
inline constexpr Room kNoRoom{
    {{-1}, {-1}, {-1}},
    {{-1}, {-1}, {-1}},
};

/// @brief Sets the room of a slot and grows the tree where needed.
/// @param tree The tree.
/// @param slot The slot.
/// @param room Its room.
void SetRoom(RoomTree& tree, std::size_t slot, const Room& room);

/// @brief Finds the next slot into which a need fits.
/// @param tree The tree.
/// @param need The need.
/// @param member The room that is compared.
/// @param from First slot that is considered.
/// @return The slot, or none up to the end.
[[nodiscard]] std::optional<std::size_t> NextFit(const RoomTree& tree,
                                                 const Resources& need,
                                                 RoomMember member,
                                                 std::size_t from);

/// @brief Returns the largest room of each resource over all slots.
/// @param tree The tree.
/// @return The maxima; negative if there is no slot.
[[nodiscard]] Room LargestRoom(const RoomTree& tree);

}  // namespace camphormux::placement

#endif  // CAMPHORMUX_PLACEMENT_ROOM_TREE_HPP_
