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

/// @brief Target size of one pool in the zone, and the inputs that rank it as
/// donor or receiver of hosts.
struct PoolTarget {
  core::PoolName pool;
  int floor = 0;   ///< Drains never leave fewer available hosts than this.
  int needed = 0;  ///< With fewer hosts, part of the demand is not served.
  int wanted = 0;  ///< Hosts above this number go to the spare pool.
  /// Share of the pool's hosts that must stay available during drains.
  double host_availability = 0.0;
  int priority = 1;
  /// Expected time until the pool needs more hosts again.
  std::optional<core::Millis> until_next_surge;
  int expected = 0;  ///< Size needed for an imminent surge; 0 if there is none.
};

/// @brief Limits on concurrent moves.
struct MoveLimits {
  int in_flight_per_pool = 6;  ///< Hosts draining out of one pool.
  int in_flight_per_rack = 4;  ///< Hosts of one rack that are not admitted.
  /// Share of a zone's hosts that may be missing before moves stop.
  double missing_share = 0.2;
};

/// @brief All inputs of one decision.
struct MoveInput {
  std::vector<state::Host> hosts;  ///< All hosts of one zone, ordered by id.
  /// Hosts that do not answer or that the host list no longer names. They stay
  /// in `hosts` until the shared state removes them.
  std::set<core::HostId> missing;
  /// Missing hosts whose failure is confirmed by other members or by the
  /// platform. They do not count as a sign that this view of the zone is wrong.
  std::set<core::HostId> confirmed_dead;
  std::vector<PoolTarget> pools;
  core::PoolName spare_pool;
  MoveLimits limits;
};

/// @brief Why a host moves.
enum class MoveCause {
  kBelowFloor,   ///< The target pool has fewer hosts than its floor.
  kBelowNeeded,  ///< The target pool has fewer hosts than its demand needs.
  kExpected,     ///< A surge of the target pool is imminent.
  kToSpare,      ///< The host was surplus for the whole hold time.
  kNewHost,      ///< The host has no pool and no pool is short of hosts.
  kUnknownPool,  ///< The operator text no longer has the host's pool.
};

/// @brief Values behind a move, for `explain`.
struct MoveReason {
  MoveCause cause = MoveCause::kNewHost;
  int to_hosts = 0;      ///< Available and arriving hosts of the target pool.
  int to_needed = 0;     ///< Hosts that the target pool needs.
  int from_hosts = 0;    ///< Available hosts of the pool that the host leaves.
  int from_minimum = 0;  ///< Available hosts that this pool must keep.
};

/// @brief A change of a host's pool.
struct Move {
  core::HostId host;
  /// None if the host is already released.
  std::optional<core::PoolName> from;
  core::PoolName to;
  MoveReason reason;
};

/// @brief A cancelled drain; the host is admitted to its pool again.
struct Reversal {
  core::HostId host;
  core::PoolName pool;
  int pool_hosts = 0;   ///< Available and arriving hosts, without this one.
  int pool_needed = 0;  ///< Hosts that the pool needs.
};

/// @brief Why a pool stays short of hosts.
enum class MoveBlocker {
  kNoDonor,      ///< No pool can spare a host.
  kBudget,       ///< Pools have surplus hosts, but their budgets forbid drains.
  kInFlight,     ///< Limit on concurrent moves per pool or rack.
  kManyMissing,  ///< Too many hosts of the zone are missing at once.
};

/// @brief A pool that this decision leaves below its needed size.
struct Shortfall {
  core::PoolName pool;
  int hosts = 0;  ///< Available and arriving hosts.
  int needed = 0;
  MoveBlocker blocker = MoveBlocker::kNoDonor;
};

/// @brief Result of a decision.
struct MoveDecision {
  /// Hosts to drain. The target pool is provisional; it is chosen again when
  /// the host is released.
  std::vector<Move> drains;
  /// Released hosts with the pool that each is assigned to.
  std::vector<Move> assignments;
  std::vector<Reversal> reversals;
  std::vector<Shortfall> shortfalls;
  /// True if too many hosts are missing at once; nothing changes pools then.
  bool frozen = false;
};

/// @brief Decides which hosts of a zone change pools. Brings pools up to their
/// needed sizes with as few moves as possible and returns surplus hosts to the
/// spare pool. Deterministic.
/// @param input Hosts, target sizes and limits of the zone.
/// @return Drains, assignments of released hosts and reversals, each with its
/// reason.
[[nodiscard]] MoveDecision DecideMoves(const MoveInput& input);

/// @brief Tells whether so many hosts are missing that the view of the zone may
/// be wrong and no move may begin.
/// @param hosts Hosts of the zone.
/// @param missing Ids of missing hosts.
/// @param share Share of missing hosts above which the view is not trusted.
/// @return Whether the present assignment must be kept.
[[nodiscard]] bool ManyMissing(const std::vector<state::Host>& hosts,
                               const std::set<core::HostId>& missing,
                               double share);

/// @brief Number of hosts that must stay available in a pool.
/// @param floor Smallest number of hosts.
/// @param host_availability Share of the pool's hosts that must be available.
/// @param members Hosts that belong to the pool and do not move away.
/// @return The larger of the floor and the share, rounded up.
[[nodiscard]] int MinAvailableHosts(int floor, double host_availability,
                                    int members);

/// @brief Extracts the pool targets of one zone from the sizes of all services.
/// @param text The operator text.
/// @param sizes The sizes of all services.
/// @param zone The zone.
/// @return One target for each pool that has a size in the zone.
[[nodiscard]] std::vector<PoolTarget> TargetsOf(const text::OperatorText& text,
                                                const sizing::Sizes& sizes,
                                                const core::ZoneName& zone);

}  // namespace camphormux::moves

#endif  // CAMPHORMUX_MOVES_MOVES_HPP_
