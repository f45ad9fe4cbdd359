#ifndef CAMPHORMUX_SIZING_ZONES_HPP_
#define CAMPHORMUX_SIZING_ZONES_HPP_

#include <map>
#include <vector>

#include "camphormux/sizing/sizing.hpp"

namespace camphormux::sizing::internal {

/// @brief Size of one service over all zones, in hosts, before it is divided.
/// The fields have the meaning of those of ZoneSize.
struct TotalSize {
  int needed = 0;
  int wanted = 0;
  int expected = 0;
};

/// @brief Divides each service's hosts over its zones in proportion to their
/// usable hosts. Where a zone has too few hosts, sizes are reduced down to
/// their floors, lowest priority first.
/// @param input The operator text and the usable hosts.
/// @param totals Size of each service over all zones.
/// @param sizes Receives the size of each service by zone.
void DivideOverZones(const SizingInput& input,
                     const std::map<core::ServiceName, TotalSize>& totals,
                     Sizes& sizes);

/// @brief Divides a number in proportion to weights by the largest remainder
/// method.
/// @param total The number to divide.
/// @param weights One weight per part; their sum may be 0.
/// @param first Index that wins ties between equal remainders.
/// @return The parts; their sum is `total` unless all weights are 0.
[[nodiscard]] std::vector<int> Apportion(int total,
                                         const std::vector<int>& weights,
                                         std::size_t first);

}  // namespace camphormux::sizing::internal

#endif  // CAMPHORMUX_SIZING_ZONES_HPP_
