#ifndef BENCH_SLOPES_SLOPES_HPP_
#define BENCH_SLOPES_SLOPES_HPP_

namespace camphormux::bench {

/// Processor time that the control plane may take on a node: 2.6% of a core.
inline constexpr double kProcessorLimitMsPerSecond = 26.0;
/// Memory that each measured part may take on a node.
inline constexpr double kMemoryLimitMegabytes = 256.0;
/// Rate of state changes in an idle fleet: each of the ten zones renews its
/// lease every 2 s.
inline constexpr double kRenewalsPerSecond = 5.0;
/// Fleet size at which the limits apply.
inline constexpr double kTargetHosts = 5000;
inline constexpr double kTargetPools = 154;

/// @brief Size of a measured fleet.
struct FleetSize {
  int hosts = 0;
  int pools = 0;
};

inline constexpr FleetSize kFleetSizes[] = {{50, 5}, {500, 40}, {5000, 154}};

/// @brief Measures the replicated state: size of records, memory, and the
/// processor time of applying records, snapshots, digests, route tables and
/// idempotency keys.
void MeasureState();

/// @brief Measures the control step, its sizing, moves and maintenance
/// decisions, the host list and the demand summary.
void MeasureControl();

}  // namespace camphormux::bench

#endif  // BENCH_SLOPES_SLOPES_HPP_
