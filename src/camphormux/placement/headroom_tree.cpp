#include "camphormux/placement/headroom_tree.hpp"

namespace camphormux::placement {
namespace {

Headroom MaxOf(const Headroom& a, const Headroom& b) {
  return {Largest(a.free, b.free),
          Largest(a.with_preemption, b.with_preemption)};
}

void Grow(HeadroomTree& tree, std::size_t slots) {
  std::size_t leaves = tree.leaves == 0 ? 1 : tree.leaves;
  while (leaves < slots) leaves *= 2;
  std::vector<Headroom> nodes(2 * leaves, kNoHeadroom);
  for (std::size_t i = 0; i < tree.leaves; ++i) {
    nodes[leaves + i] = tree.nodes[tree.leaves + i];
  }
  for (std::size_t node = leaves - 1; node >= 1; --node) {
    nodes[node] = MaxOf(nodes[2 * node], nodes[2 * node + 1]);
  }
  tree.leaves = leaves;
  tree.nodes = std::move(nodes);
}

/// A search below one node of the tree.
struct Search {
  const HeadroomTree& tree;
  const Resources& need;
  HeadroomMember member;
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

void SetHeadroom(HeadroomTree& tree, std::size_t slot,
                 const Headroom& headroom) {
  if (slot >= tree.leaves) Grow(tree, slot + 1);
  std::size_t node = tree.leaves + slot;
  tree.nodes[node] = headroom;
  for (node /= 2; node >= 1; node /= 2) {
    tree.nodes[node] = MaxOf(tree.nodes[2 * node], tree.nodes[2 * node + 1]);
  }
}

std::optional<std::size_t> NextFit(const HeadroomTree& tree,
                                   const Resources& need, HeadroomMember member,
                                   std::size_t from) {
  if (tree.leaves == 0) return std::nullopt;
  return FindBelow({tree, need, member, from}, 1, 0, tree.leaves);
}

Headroom MaxHeadroom(const HeadroomTree& tree) {
  return tree.leaves == 0 ? kNoHeadroom : tree.nodes[1];
}

}  // namespace camphormux::placement
