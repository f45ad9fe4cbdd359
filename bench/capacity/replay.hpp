#ifndef BENCH_CAPACITY_REPLAY_HPP_
#define BENCH_CAPACITY_REPLAY_HPP_

#include <cstdint>

#include "bench/capacity/demand.hpp"
#include "camphormux/text/operator_text.hpp"

namespace camphormux::bench {

/// @brief Policies that decide pool sizes.
enum class Policy {
  kCamphormux,    ///< The `sizing` and `moves` modules.
  kFixed,         ///< Pools of equal size that never change.
  kProportional,  ///< `ProportionalSizes` at 85% utilization, with the same
                  ///< moves.
  kProportionalAtPlannedUse,  ///< As kProportional, at the utilization that
                              ///< follows from the weights in the operator
                              ///< text.
};

/// @brief Results of one replay, or bounds on them.
struct ReplayMetrics {
  double served_share = 0.0;  ///< Share of the requests that were served.
  double idle_hosts = 0.0;    ///< Mean over time.
  double idle_share = 0.0;    ///< Idle share of all host-seconds.
  /// Idle host-seconds per host-second of demand served.
  double idle_per_served = 0.0;
  /// Share of all host-seconds that are idle and above min_hosts.
  double excess_share = 0.0;
  double moves = 0.0;
  double moves_per_surge = 0.0;
  double reversals = 0.0;
  double surge_mean_s = 0.0;  ///< Time from a burst to enough capacity.
  double surge_max_s = 0.0;
  double breaches = 0.0;  ///< Pool-seconds below the availability budget.
};

/// @brief Replays a trace, second by second, under a policy.
/// @param text Operator text of the deployment.
/// @param trace Demand.
/// @param policy Policy that decides the pool sizes.
/// @param hosts Number of hosts in the fleet.
/// @param seed Seed of the drain times.
/// @return Metrics of the replay.
[[nodiscard]] ReplayMetrics Replay(const text::OperatorText& text,
                                   const DemandTrace& trace, Policy policy,
                                   int hosts, std::uint64_t seed);

/// @brief Computes a lower bound for any policy that serves all demand: it
/// knows the whole trace in advance and moves hosts in no time.
/// @param text Operator text of the deployment.
/// @param trace Demand.
/// @param hosts Number of hosts in the fleet.
/// @return Idle hosts that min_hosts and whole hosts make unavoidable, and the
/// least number of moves without which some burst lacks hosts.
[[nodiscard]] ReplayMetrics OfflineBound(const text::OperatorText& text,
                                         const DemandTrace& trace, int hosts);

}  // namespace camphormux::bench

#endif  // BENCH_CAPACITY_REPLAY_HPP_
