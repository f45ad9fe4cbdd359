#include "camphormux/coordinator/agent_choice.hpp"

#include <algorithm>
#include <cmath>
#include <string>

#include <xxhash.h>

namespace camphormux::coordinator {
namespace internal {

/// Weighted rendezvous hashing: the node with the highest score is chosen.
double Score(const Member& node, const core::HostId& host) {
  const std::string key = node.address.ip + ":" +
                          std::to_string(node.address.port) + "/" + host.value;
  // Maps the hash to (0, 1).
  const double uniform =
      (static_cast<double>(XXH64(key.data(), key.size(), 0) >> 11U) + 0.5) /
      static_cast<double>(std::uint64_t{1} << 53U);
  return -static_cast<double>(node.processor.value) / std::log(uniform);
}

}  // namespace internal

std::optional<core::Address> ChooseAgent(const std::vector<Member>& nodes,
                                         const core::HostId& host,
                                         const core::ZoneName& zone) {
  std::vector<const Member*> candidates;
  for (const bool any_zone : {false, true}) {
    for (const Member& node : nodes) {
      if (any_zone || node.zone == zone) {
        candidates.push_back(&node);
      }
    }
    if (!candidates.empty()) {
      break;
    }
  }
  core::MilliCores largest;
  for (const Member* node : candidates) {
    largest = std::max(largest, node->processor);
  }
  const Member* best = nullptr;
  double best_score = 0;
  for (const Member* node : candidates) {
    if (node->processor.value * 2 < largest.value) {
      continue;
    }
    const double score = internal::Score(*node, host);
    if (best == nullptr || score > best_score) {
      best = node;
      best_score = score;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->address);
}

}  // namespace camphormux::coordinator
