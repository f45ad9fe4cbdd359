#ifndef CAMPHORMUX_SIZING_ZONES_HPP_
#define CAMPHORMUX_SIZING_ZONES_HPP_

#include <map>
#include <vector>

#include "camphormux/sizing/sizing.hpp"

namespace camphormux::sizing::internal {

/// @brief Hosts of one service over all zones, before they are divided.
struct TotalSize {
  int needed = 0;
  int wanted = 0;
  int expected = 0;
};

/// @brief Divides each service's hosts over its zones by their usable hosts
/// and reduces what a zone cannot hold, lowest priority first.
/// @param input The text and the usable hosts.
/// @param totals Hosts of each service.
/// @param sizes Receives the zones of each service.
void DivideOverZones(const SizingInput& input,
                     const std::map<core::ServiceName, TotalSize>& totals,
                     Sizes& sizes);

/// @brief Divides a number in proportion to weights (largest remainder).
/// @param total The number to divide.
/// @param weights One weight a part; their sum may be 0.
/// @param first Index that gets the first of equal remainders.
/// @return The parts; their sum is `total` unless all weights are 0.
[[nodiscard]] std::vector<int> Apportion(int total,
                                         const std::vector<int>& weights,
                                         std::size_t first);

}  // namespace camphormux::sizing::internal

#endif  // CAMPHORMUX_SIZING_ZONES_HPP_
