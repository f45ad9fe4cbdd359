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

/// @brief Hosts of one pool while a decision is made.
struct PoolCount {
  int available = 0;  ///< Admitted and present.
  int arriving = 0;   ///< Assigned, not admitted yet.
  int members = 0;    ///< Belong to the pool and do not move away.
  int leaving = 0;    ///< Drain for a move.
  /// Admitted hosts by rack, each rack's in the order of host ids.
  std::map<RackIndex, std::vector<std::size_t>> by_rack;
};

/// @brief Counts and indices of a zone; changes as moves are chosen.
struct ZoneView {
  const MoveInput* input = nullptr;
  std::map<core::PoolName, PoolIndex> pool_of_name;
  std::vector<PoolCount> pools;
  std::vector<RackIndex> rack_of_host;
  std::vector<int> in_flight_of_rack;
  /// Hosts that drain or are empty for a move, in the order of ids.
  std::vector<std::size_t> draining;
  std::vector<std::size_t> released;
  /// Admitted hosts whose pool the text no longer has, in the order of ids.
  std::vector<std::size_t> orphans;
  int orphans_in_motion = 0;  ///< Same, already drained or not yet admitted.
};

/// @brief Counts the hosts of the zone.
/// @param input The decision's input; must outlive the view.
/// @return The view.
[[nodiscard]] ZoneView MakeView(const MoveInput& input);

/// @brief Hosts that serve a pool now or soon.
/// @param count The pool.
/// @return Available and arriving hosts.
[[nodiscard]] inline int ServingHosts(const PoolCount& count) {
  return count.available + count.arriving;
}

/// @brief Hosts that stay available if one more drains.
/// @param view The zone.
/// @param pool The pool.
/// @return The budget's minimum after the drain.
[[nodiscard]] int MinimumAfterDrain(const ZoneView& view, PoolIndex pool);

/// @brief Chooses the host of a pool that leaves it best spread over racks.
/// @param view The zone.
/// @param from The pool that is left.
/// @param to The pool that gets the host.
/// @return Position of the host in the input, or nothing if the bounds on
/// moves in flight forbid all.
[[nodiscard]] std::optional<std::size_t> ChooseHost(const ZoneView& view,
                                                    PoolIndex from,
                                                    PoolIndex to);

/// @brief Records that a host begins to drain.
/// @param view The zone; updated.
/// @param host Position of the host.
/// @param from Its pool.
void StartDrain(ZoneView& view, std::size_t host, PoolIndex from);

}  // namespace camphormux::moves::internal

#endif  // CAMPHORMUX_MOVES_ZONE_VIEW_HPP_
