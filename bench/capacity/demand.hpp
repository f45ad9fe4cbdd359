#ifndef BENCH_CAPACITY_DEMAND_HPP_
#define BENCH_CAPACITY_DEMAND_HPP_

#include <cstdint>
#include <map>
#include <vector>

#include "camphormux/core/ids.hpp"
#include "camphormux/text/operator_text.hpp"

namespace camphormux::bench {

/// @brief One queue's time of high demand.
struct Burst {
  core::ServiceName service;
  int start = 0;   ///< Second of the trace.
  int length = 0;  ///< In seconds.
};

/// @brief Demand in requests a second.
struct DemandTrace {
  int seconds = 0;
  /// Arrivals of each second, those that other services make included.
  std::map<core::ServiceName, std::vector<double>> arrivals;
  std::vector<Burst> bursts;
  double service_time_s = 0.2;
};

/// @brief Shape of a trace.
struct DemandShape {
  int seconds = 1800;
  /// Peak of a queue, in hosts that it fills.
  double peak_hosts = 16.0;
  int min_burst_s = 10;
  int max_burst_s = 30;
};

/// @brief Makes the demand of design section 1: each queue in turn receives
/// five times its mean rate for some seconds and a twentieth of that peak in
/// between; arrivals are Poisson distributed.
/// @param text Services and their dependencies.
/// @param shape Lengths and heights.
/// @param seed Fixes the trace.
/// @return The trace.
[[nodiscard]] DemandTrace GenerateDemand(const text::OperatorText& text,
                                         const DemandShape& shape,
                                         std::uint64_t seed);

}  // namespace camphormux::bench

#endif  // BENCH_CAPACITY_DEMAND_HPP_
