#include "camphormux/placement/room_tree.hpp"

namespace camphormux::placement {
namespace {

Room LargestOf(const Room& a, const Room& b) {
  return {Largest(a.free, b.free), Largest(a.yieldable, b.yieldable)};
}

void Grow(RoomTree& tree, std::size_t slots) {
  std::size_t leaves = tree.leaves == 0 ? 1 : tree.leaves;
  while (leaves < slots) leaves *= 2;
  std::vector<Room> nodes(2 * leaves, kNoRoom);
  for (std::size_t i = 0; i < tree.leaves; ++i) {
    nodes[leaves + i] = tree.nodes[tree.leaves + i];
  }
  for (std::size_t node = leaves - 1; node >= 1; --node) {
    nodes[node] = LargestOf(nodes[2 * node], nodes[2 * node + 1]);
  }
  tree.leaves = leaves;
  tree.nodes = std::move(nodes);
}

/// A search below one node of the tree.
struct Search {
  const RoomTree& tree;
  const Resources& need;
  RoomMember member;
  std::size_t from;
};

std::optional<std::size_t> FindBelow(const Search& search, std::size_t node,
                                     std::size_t begin, std::size_t width) {
  if (begin + width <= search.from) return std::nullopt;
  if (!Fits(search.need, search.tree.nodes[node].*search.member)) {
    return std::nullopt;
  }
  if (width == 1) return begin;
  const std::size_t half = width / 2;
  const auto left = FindBelow(search, 2 * node, begin, half);
  if (left) return left;
  return FindBelow(search, 2 * node + 1, begin + half, half);
}

}  // namespace

void SetRoom(RoomTree& tree, std::size_t slot, const Room& room) {
  if (slot >= tree.leaves) Grow(tree, slot + 1);
  std::size_t node = tree.leaves + slot;
  tree.nodes[node] = room;
  for (node /= 2; node >= 1; node /= 2) {
    tree.nodes[node] =
        LargestOf(tree.nodes[2 * node], tree.nodes[2 * node + 1]);
  }
}

std::optional<std::size_t> NextFit(const RoomTree& tree, const Resources& need,
                                   RoomMember member, std::size_t from) {
  if (tree.leaves == 0) return std::nullopt;
  return FindBelow({tree, need, member, from}, 1, 0, tree.leaves);
}

Room LargestRoom(const RoomTree& tree) {
  return tree.leaves == 0 ? kNoRoom : tree.nodes[1];
}

}  // namespace camphormux::placement
