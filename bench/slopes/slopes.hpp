#ifndef BENCH_SLOPES_SLOPES_HPP_
#define BENCH_SLOPES_SLOPES_HPP_

namespace camphormux::bench {

/// Processor time of a node for control: 2.6% of a core.
inline constexpr double kProcessorLimitMsPerSecond = 26.0;  // ms a second
inline constexpr double kMemoryLimitMegabytes = 256.0;      // MB
/// Every zone's lease is renewed every 2 s, so that the state changes so often
/// even when nothing else happens.
inline constexpr double kRenewalsPerSecond = 5.0;
inline constexpr double kTargetHosts = 5000;
inline constexpr double kTargetPools = 154;

/// @brief Hosts and pools that are measured together.
struct FleetSize {
  int hosts = 0;
  int pools = 0;
};

inline constexpr FleetSize kFleetSizes[] = {{50, 5}, {500, 40}, {5000, 154}};

/// @brief Measures state, records, fold, snapshot, digest, routes and keys.
void MeasureState();

/// @brief Measures the control step and its parts.
void MeasureControl();

}  // namespace camphormux::bench

#endif  // BENCH_SLOPES_SLOPES_HPP_
