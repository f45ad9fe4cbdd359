#ifndef BENCH_SLOPES_FLEET_HPP_
#define BENCH_SLOPES_FLEET_HPP_

#include <string>

#include "camphormux/state/fleet_state.hpp"

namespace camphormux::bench {

inline constexpr int kZones = 10;

/// @brief Makes an operator text with ten zones in four regions.
/// @param pools Number of pools, each with one service.
/// @return The text.
[[nodiscard]] std::string MakeOperatorText(int pools);

/// @brief Name of a zone.
/// @param index Zero-based number of the zone.
/// @return The name.
[[nodiscard]] core::ZoneName ZoneAt(int index);

/// @brief Makes the shared state of a fleet at rest: every zone has a lease
/// holder, every host is admitted and was maintained in the last three weeks.
/// @param hosts Number of hosts, spread evenly over zones and pools.
/// @param pools Number of pools.
/// @param now End of the three weeks.
/// @return The state.
[[nodiscard]] state::FleetState MakeState(int hosts, int pools,
                                          core::WallTime now);

}  // namespace camphormux::bench

#endif  // BENCH_SLOPES_FLEET_HPP_
