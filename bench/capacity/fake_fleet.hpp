#ifndef BENCH_CAPACITY_FAKE_FLEET_HPP_
#define BENCH_CAPACITY_FAKE_FLEET_HPP_

#include <map>
#include <vector>

#include "camphormux/core/random.hpp"
#include "camphormux/moves/moves.hpp"
#include "camphormux/state/fleet_state.hpp"

namespace camphormux::bench {

/// @brief Times that the fake platform takes, in whole seconds. With processes
/// a move takes 0.6 to 0.7 s after the decision, and the decision comes 1.2 to
/// 2.3 s after the start of a surge (docs/decisions/sizing.md). The replay
/// decides after 1 s, so its drains contain the rest.
struct PlatformDelays {
  int min_drain_s = 1;
  int max_drain_s = 2;
  int assign_s = 1;
};

/// @brief Hosts whose drains and assignments take some seconds.
struct FakeFleet {
  std::map<core::ZoneName, std::vector<state::Host>> zones;
  std::map<core::HostId, int> ready_at;  ///< Second of the next phase.
  PlatformDelays delays;
  core::Random random;
  int moves = 0;      ///< Hosts that were assigned to another pool.
  int drains = 0;     ///< Drains started.
  int reversals = 0;  ///< Drains taken back.
  std::map<core::HostId, core::PoolName> last_pool;
};

/// @brief Makes a fleet with four hosts to a rack, divided evenly over zones
/// and pools.
/// @param text Zones and pools.
/// @param hosts Number of hosts.
/// @param seed Fixes the drain times.
/// @return The fleet, all hosts admitted.
[[nodiscard]] FakeFleet MakeFleet(const text::OperatorText& text, int hosts,
                                  std::uint64_t seed);

/// @brief Lets drains and assignments end that are due.
/// @param fleet The fleet.
/// @param second The time.
void AdvanceFleet(FakeFleet& fleet, int second);

/// @brief Carries out a decision of one zone.
/// @param fleet The fleet.
/// @param zone The zone.
/// @param decision The decision.
/// @param second The time.
void ApplyMoves(FakeFleet& fleet, const core::ZoneName& zone,
                const moves::MoveDecision& decision, int second);

}  // namespace camphormux::bench

#endif  // BENCH_CAPACITY_FAKE_FLEET_HPP_
