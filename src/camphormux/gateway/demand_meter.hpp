#ifndef CAMPHORMUX_GATEWAY_DEMAND_METER_HPP_
#define CAMPHORMUX_GATEWAY_DEMAND_METER_HPP_

#include <map>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/demand/summary.hpp"
#include "camphormux/gateway/service_metrics.hpp"

namespace camphormux::gateway {

/// @brief Counters of one service at one time.
struct LoadSample {
  double arrivals = 0.0;
  double not_run = 0.0;
  double queued = 0.0;
  double running = 0.0;
};

using LoadSamples = std::map<core::ServiceName, LoadSample>;

/// @brief Reads the counters of all services.
/// @param metrics The time series.
/// @return The samples.
[[nodiscard]] LoadSamples SampleLoad(const MetricsStore& metrics);

/// @brief Turns counters into rates. Pure.
struct DemandMeter {
  LoadSamples previous;
  core::MonotonicTime sampled_at;
};

/// @brief Computes the load since the previous sample.
/// @param meter The meter; keeps the samples.
/// @param samples The counters now.
/// @param now The time.
/// @return The summary; without rates on the first call.
[[nodiscard]] demand::Summary Measure(DemandMeter& meter, LoadSamples samples,
                                      core::MonotonicTime now);

}  // namespace camphormux::gateway

#endif  // CAMPHORMUX_GATEWAY_DEMAND_METER_HPP_
