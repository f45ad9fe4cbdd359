#ifndef BENCH_CAPACITY_REPLAY_HPP_
#define BENCH_CAPACITY_REPLAY_HPP_

#include <cstdint>

#include "bench/capacity/demand.hpp"
#include "camphormux/text/operator_text.hpp"

namespace camphormux::bench {

/// @brief Policies that are compared.
enum class Policy {
  kCamphormux,    ///< `sizing` and `moves`.
  kFixed,         ///< Even pools that never change.
  kProportional,  ///< `ProportionalSizes` at 85% use, with the same moves.
  kProportionalAtPlannedUse,  ///< The same at the use that the text's weights
                              ///< plan.
};

/// @brief Figures of one run.
struct ReplayMetrics {
  double served_share = 0.0;  ///< Of the demand.
  double idle_hosts = 0.0;    ///< Mean number of idle hosts.
  double idle_share = 0.0;    ///< Idle host-seconds of all.
  /// Idle host-seconds for each host-second of demand served.
  double idle_per_served = 0.0;
  /// Idle host-seconds above min_hosts, of all.
  double excess_share = 0.0;
  double moves = 0.0;
  double moves_per_surge = 0.0;
  double reversals = 0.0;
  double surge_mean_s = 0.0;  ///< Time from surge to capacity.
  double surge_max_s = 0.0;
  double breaches = 0.0;  ///< Pool-seconds below a budget.
};

/// @brief Steps a trace through a policy.
/// @param text The deployment.
/// @param trace The demand.
/// @param policy The policy.
/// @param hosts Fleet size.
/// @param seed Fixes drain times.
/// @return The figures.
[[nodiscard]] ReplayMetrics Replay(const text::OperatorText& text,
                                   const DemandTrace& trace, Policy policy,
                                   int hosts, std::uint64_t seed);

/// @brief Bounds that no policy can beat which serves all demand, knowing the
/// trace and moving hosts in no time.
/// @param text The deployment.
/// @param trace The demand.
/// @param hosts Fleet size.
/// @return Idle hosts that min_hosts forces, and the moves without which some
/// burst of a round lacks hosts.
[[nodiscard]] ReplayMetrics OfflineBound(const text::OperatorText& text,
                                         const DemandTrace& trace, int hosts);

}  // namespace camphormux::bench

#endif  // BENCH_CAPACITY_REPLAY_HPP_
