#ifndef CAMPHORMUX_MOVES_ZONE_VIEW_HPP_
#define CAMPHORMUX_MOVES_ZONE_VIEW_HPP_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "camphormux/moves/moves.hpp"

namespace camphormux::moves::internal {

/// Position of a pool in `MoveInput::pools`.
using PoolIndex = std::size_t;
/// Position of a rack in `ZoneView::in_flight_of_rack`.
using RackIndex = std::size_t;

/// @brief Host counts of one pool; updated while a decision is made.
struct PoolCount {
  int available = 0;  ///< Admitted and not missing.
  int arriving = 0;   ///< Assigned, but not admitted yet.
  int members = 0;    ///< Belong to the pool and do not move away.
  int leaving = 0;    ///< Draining for a move.
  /// Available hosts by rack, in the order of host ids.
  std::map<RackIndex, std::vector<std::size_t>> by_rack;
};

/// @brief Host counts and indices of a zone; updated as moves are chosen.
struct ZoneView {
  const MoveInput* input = nullptr;
  std::map<core::PoolName, PoolIndex> pool_of_name;
  std::vector<PoolCount> pools;
  std::vector<RackIndex> rack_of_host;
  std::vector<int> in_flight_of_rack;
  /// Hosts that are draining or empty because of a move, in the order of ids.
  std::vector<std::size_t> draining;
  std::vector<std::size_t> released;
  /// Admitted hosts whose pool the operator text no longer has, in the order
  /// of ids.
  std::vector<std::size_t> orphans;
  /// Other present hosts of such pools, except those drained for maintenance.
  int orphans_in_motion = 0;
};

/// @brief Builds the view of a zone from a decision's input.
/// @param input The input; must outlive the view.
/// @return The view.
[[nodiscard]] ZoneView MakeView(const MoveInput& input);

/// @brief Number of hosts that serve a pool now or will do so soon.
/// @param count The pool.
/// @return Available and arriving hosts.
[[nodiscard]] inline int ServingHosts(const PoolCount& count) {
  return count.available + count.arriving;
}

/// @brief Number of a pool's hosts that must be available after one more host
/// drains.
/// @param view The zone.
/// @param pool The pool.
/// @return The minimum under the pool's availability budget, in hosts.
[[nodiscard]] int MinimumAfterDrain(const ZoneView& view, PoolIndex pool);

/// @brief Chooses the host to move so that hosts stay well spread over racks:
/// the rack with the fewest hosts of the target pool first, then the rack with
/// the most hosts of the source pool.
/// @param view The zone.
/// @param from The source pool.
/// @param to The target pool.
/// @return Position of the host in the input, or nothing if the limits on
/// moves in flight exclude every host.
[[nodiscard]] std::optional<std::size_t> ChooseHost(const ZoneView& view,
                                                    PoolIndex from,
                                                    PoolIndex to);

/// @brief Updates the counts for a host that begins to drain.
/// @param view The zone; updated.
/// @param host Position of the host.
/// @param from The pool that it leaves.
void StartDrain(ZoneView& view, std::size_t host, PoolIndex from);

}  // namespace camphormux::moves::internal

#endif  // CAMPHORMUX_MOVES_ZONE_VIEW_HPP_
