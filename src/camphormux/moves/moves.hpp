#ifndef CAMPHORMUX_MOVES_MOVES_HPP_
#define CAMPHORMUX_MOVES_MOVES_HPP_

#include <optional>
#include <set>
#include <vector>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/sizing/sizing.hpp"
#include "camphormux/state/fleet_state.hpp"
#include "camphormux/text/operator_text.hpp"

namespace camphormux::moves {

/// @brief Size of one pool in the zone, with what weighs a move.
struct PoolTarget {
  core::PoolName pool;
  int floor = 0;   ///< Never fewer hosts are available by our doing.
  int needed = 0;  ///< Fewer hosts lose demand.
  int wanted = 0;  ///< More hosts go to the spare pool.
  double host_availability = 0.0;  ///< Share of the pool's hosts.
  int priority = 1;
  /// Expected time until the pool needs more hosts again.
  std::optional<core::Millis> until_next_surge;
  int expected = 0;  ///< Size for a surge that is near; 0 if none is.
};

/// @brief Bounds on what is in motion at one time.
struct MoveLimits {
  int in_flight_per_pool = 6;  ///< Hosts that drain out of one pool.
  int in_flight_per_rack = 4;  ///< Hosts of one rack that are in motion.
  /// Share of a zone's hosts that may be missing before moves stop.
  double missing_share = 0.2;
};

/// @brief Everything that one decision depends on.
struct MoveInput {
  std::vector<state::Host> hosts;  ///< All hosts of one zone, ordered by id.
  /// Hosts that do not answer or that the host list dropped. They stay in
  /// `hosts` until the shared state removes them.
  std::set<core::HostId> missing;
  /// Those of the missing hosts whose failure other members' evidence or the
  /// platform confirms; they raise no doubt about the view.
  std::set<core::HostId> confirmed_dead;
  std::vector<PoolTarget> pools;
  core::PoolName spare_pool;
  MoveLimits limits;
};

/// @brief Why a host moves.
enum class MoveCause {
  kBelowFloor,   ///< The pool has fewer hosts than its budget demands.
  kBelowNeeded,  ///< The pool has fewer hosts than its demand fills.
  kExpected,     ///< The pool's next surge is near.
  kToSpare,      ///< The pool kept the host for its hold time.
  kNewHost,      ///< The host is in no pool and none is short of hosts.
  kUnknownPool,  ///< The text has no longer the host's pool.
};

/// @brief Figures behind a move, for `explain`.
struct MoveReason {
  MoveCause cause = MoveCause::kNewHost;
  int to_hosts = 0;      ///< Hosts of the target pool, with those on the way.
  int to_needed = 0;     ///< Size that the target pool needs.
  int from_hosts = 0;    ///< Available hosts of the pool left.
  int from_minimum = 0;  ///< Available hosts that it must keep.
};

/// @brief A change of a host's pool.
struct Move {
  core::HostId host;
  std::optional<core::PoolName> from;  ///< None if the host is released.
  core::PoolName to;
  MoveReason reason;
};

/// @brief A drain that is taken back; the host is admitted again.
struct Reversal {
  core::HostId host;
  core::PoolName pool;
  int pool_hosts = 0;   ///< Hosts of the pool without this one.
  int pool_needed = 0;  ///< Size that the pool needs.
};

/// @brief What keeps a pool short of hosts.
enum class MoveBlocker {
  kNoDonor,      ///< No pool can spare a host.
  kBudget,       ///< Pools could spare hosts, their budgets forbid it now.
  kInFlight,     ///< Bound on moves in flight per pool or rack.
  kManyMissing,  ///< Too many hosts of the zone are missing at once.
};

/// @brief A pool that stays below its needed size for now.
struct Shortfall {
  core::PoolName pool;
  int hosts = 0;  ///< With those on the way.
  int needed = 0;
  MoveBlocker blocker = MoveBlocker::kNoDonor;
};

/// @brief Result of a decision.
struct MoveDecision {
  /// Hosts to drain. The target is a forecast; the pool is bound when the host
  /// is released.
  std::vector<Move> drains;
  /// Released hosts and the pool each gets now.
  std::vector<Move> assignments;
  std::vector<Reversal> reversals;
  std::vector<Shortfall> shortfalls;
  /// Many hosts are missing at once; the last assignment is kept.
  bool frozen = false;
};

/// @brief Decides which hosts of a zone change pools: fills needed sizes,
/// fewest moves first, and returns what a pool no longer wants to the spare
/// pool. Deterministic.
/// @param input Hosts, sizes and limits of the zone.
/// @return Drains, assignments of released hosts and reversals, each with its
/// reason.
[[nodiscard]] MoveDecision DecideMoves(const MoveInput& input);

/// @brief Tells whether so many hosts are missing that the view is in doubt
/// and nothing may be started.
/// @param hosts Hosts of the zone.
/// @param missing Those of them that are missing.
/// @param share Share of the hosts above which the view is in doubt.
/// @return Whether the last assignment must be kept.
[[nodiscard]] bool ManyMissing(const std::vector<state::Host>& hosts,
                               const std::set<core::HostId>& missing,
                               double share);

/// @brief Hosts that must stay available in a pool.
/// @param floor Smallest size in hosts.
/// @param host_availability Share of the pool's hosts.
/// @param members Hosts that belong to the pool and do not move away.
/// @return The larger of the floor and the share, rounded up.
[[nodiscard]] int MinAvailableHosts(int floor, double host_availability,
                                    int members);

/// @brief Takes the targets of one zone from the sizes of all services.
/// @param text The operator text.
/// @param sizes The sizes.
/// @param zone The zone.
/// @return One target for each pool that has a size in the zone.
[[nodiscard]] std::vector<PoolTarget> TargetsOf(const text::OperatorText& text,
                                                const sizing::Sizes& sizes,
                                                const core::ZoneName& zone);

}  // namespace camphormux::moves

#endif  // CAMPHORMUX_MOVES_MOVES_HPP_
