#ifndef BENCH_SLOPES_FLEET_HPP_
#define BENCH_SLOPES_FLEET_HPP_

#include <string>

#include "camphormux/state/fleet_state.hpp"

namespace camphormux::bench {

inline constexpr int kZones = 10;

/// @brief Makes an operator text with ten zones in four regions; each service
/// but the first depends on the one before it.
/// @param pools Number of pools, each with one service.
/// @return The text, in the INI format that operators publish.
[[nodiscard]] std::string MakeOperatorText(int pools);

/// @brief Returns the name of a zone.
/// @param index Zero-based number of the zone.
/// @return The name.
[[nodiscard]] core::ZoneName ZoneAt(int index);

/// @brief Makes the replicated state of a steady fleet: every zone has a lease
/// holder, every host is admitted and had its last maintenance within the three
/// weeks before `now`.
/// @param hosts Number of hosts, spread evenly over zones and pools.
/// @param pools Number of pools.
/// @param now End of the three weeks; maintenance times are spread evenly over
/// them.
/// @return The state.
[[nodiscard]] state::FleetState MakeState(int hosts, int pools,
                                          core::WallTime now);

}  // namespace camphormux::bench

#endif  // BENCH_SLOPES_FLEET_HPP_
