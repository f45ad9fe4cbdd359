#ifndef BENCH_CAPACITY_DEMAND_HPP_
#define BENCH_CAPACITY_DEMAND_HPP_

#include <cstdint>
#include <map>
#include <vector>

#include "camphormux/core/ids.hpp"
#include "camphormux/text/operator_text.hpp"

namespace camphormux::bench {

/// @brief An interval in which one service receives its peak demand.
struct Burst {
  core::ServiceName service;
  int start = 0;   ///< In seconds from the start of the trace.
  int length = 0;  ///< In seconds.
};

/// @brief Demand of all services over time.
struct DemandTrace {
  int seconds = 0;
  /// Requests per second for each second of the trace, including calls from
  /// dependent services.
  std::map<core::ServiceName, std::vector<double>> arrivals;
  std::vector<Burst> bursts;
  double service_time_s = 0.2;
};

/// @brief Parameters of a generated trace.
struct DemandShape {
  int seconds = 1800;
  /// Peak demand of a service, as the number of hosts that it fully uses.
  double peak_hosts = 16.0;
  int min_burst_s = 10;
  int max_burst_s = 30;
};

/// @brief Generates the demand of docs/design.md, section 1: each service in
/// turn receives five times its mean rate for some seconds, and a twentieth of
/// that peak the rest of the time. Arrivals are Poisson distributed.
/// @param text Services and their dependencies.
/// @param shape Length of the trace, and length and peak of the bursts.
/// @param seed Seed; the same seed gives the same trace.
/// @return The trace.
[[nodiscard]] DemandTrace GenerateDemand(const text::OperatorText& text,
                                         const DemandShape& shape,
                                         std::uint64_t seed);

}  // namespace camphormux::bench

#endif  // BENCH_CAPACITY_DEMAND_HPP_
