#ifndef CAMPHORMUX_GATEWAY_DEMAND_METER_HPP_
#define CAMPHORMUX_GATEWAY_DEMAND_METER_HPP_

#include <map>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/demand/summary.hpp"
#include "camphormux/gateway/service_metrics.hpp"

namespace camphormux::gateway {

/// @brief Request counters and gauges of one service at one time.
struct LoadSample {
  double arrivals = 0.0;
  double not_run = 0.0;
  double queued = 0.0;
  double running = 0.0;
};

using LoadSamples = std::map<core::ServiceName, LoadSample>;

/// @brief Reads the current load of all services.
/// @param metrics Metrics of all services.
/// @return One sample for each service.
[[nodiscard]] LoadSamples SampleLoad(const MetricsStore& metrics);

/// @brief The previous samples and their time, from which `Measure` computes
/// rates.
struct DemandMeter {
  LoadSamples previous;
  core::MonotonicTime sampled_at;
};

/// @brief Computes the load of each service since the previous samples. Pure.
/// @param meter The previous samples; replaced by `samples`.
/// @param samples The current samples.
/// @param now Current time.
/// @return The load, with rates per second; the rates are 0 on the first call.
[[nodiscard]] demand::Summary Measure(DemandMeter& meter, LoadSamples samples,
                                      core::MonotonicTime now);

}  // namespace camphormux::gateway

#endif  // CAMPHORMUX_GATEWAY_DEMAND_METER_HPP_
