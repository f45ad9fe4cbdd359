#ifndef BENCH_CAPACITY_FAKE_FLEET_HPP_
#define BENCH_CAPACITY_FAKE_FLEET_HPP_

#include <map>
#include <vector>

#include "camphormux/core/random.hpp"
#include "camphormux/moves/moves.hpp"
#include "camphormux/state/fleet_state.hpp"

namespace camphormux::bench {

/// @brief Delays of the simulated hosts, in whole seconds. In a deployment of
/// real processes a move takes 0.6 to 0.7 s after the decision, which comes 1.2
/// to 2.3 s after the start of a demand surge (docs/decisions/sizing.md). The
/// replay decides after 1 s, so its drain times include the remaining delay.
struct PlatformDelays {
  int min_drain_s = 1;
  int max_drain_s = 2;
  int assign_s = 1;
};

/// @brief In-memory fleet whose drains and assignments take some seconds.
struct FakeFleet {
  std::map<core::ZoneName, std::vector<state::Host>> zones;
  std::map<core::HostId, int> ready_at;  ///< Second in which the phase ends.
  PlatformDelays delays;
  core::Random random;
  int moves = 0;      ///< Hosts that were assigned to another pool.
  int drains = 0;     ///< Drains started.
  int reversals = 0;  ///< Drains cancelled before their end.
  /// Latest pool by host; tells a move from a return to the same pool.
  std::map<core::HostId, core::PoolName> last_pool;
};

/// @brief Makes a fleet with four hosts per rack, spread evenly over zones and
/// pools.
/// @param text Zones and pools.
/// @param hosts Number of hosts.
/// @param seed Seed of the drain times.
/// @return The fleet, all hosts admitted.
[[nodiscard]] FakeFleet MakeFleet(const text::OperatorText& text, int hosts,
                                  std::uint64_t seed);

/// @brief Completes the drains and assignments that are due.
/// @param fleet The fleet.
/// @param second Current time, in seconds from the start of the trace.
void AdvanceFleet(FakeFleet& fleet, int second);

/// @brief Starts the drains and assignments of a decision for one zone, and
/// cancels the drains that it reverses.
/// @param fleet The fleet.
/// @param zone Zone that the decision is for.
/// @param decision Drains, assignments and reversals to apply.
/// @param second Current time, in seconds from the start of the trace.
void ApplyMoves(FakeFleet& fleet, const core::ZoneName& zone,
                const moves::MoveDecision& decision, int second);

}  // namespace camphormux::bench

#endif  // BENCH_CAPACITY_FAKE_FLEET_HPP_
