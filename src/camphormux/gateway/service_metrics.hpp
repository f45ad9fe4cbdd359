#ifndef CAMPHORMUX_GATEWAY_SERVICE_METRICS_HPP_
#define CAMPHORMUX_GATEWAY_SERVICE_METRICS_HPP_

#include <map>
#include <memory>
#include <mutex>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "camphormux/core/ids.hpp"

namespace camphormux::gateway {

/// @brief Time series of one service; updated by all traffic threads.
struct ServiceMetrics {
  prometheus::Counter* arrivals;
  prometheus::Counter* answered;
  prometheus::Counter* not_run;
  prometheus::Counter* unknown;
  prometheus::Counter* shed;  ///< Not admitted or displaced from the queue.
  prometheus::Counter* attempts;
  prometheus::Counter* retries;
  prometheus::Counter* refused;    ///< Attempts that an endpoint refused.
  prometheus::Counter* dropped;    ///< Late, truncated or foreign answers.
  prometheus::Counter* truncated;  ///< Streams cut after their head.
  prometheus::Gauge* queued;
  prometheus::Gauge* running;
  prometheus::Histogram* latency;
  prometheus::Histogram* queue_wait;
};

/// @brief Creates the time series of each service on first use. Thread-safe.
class MetricsStore {
 public:
  explicit MetricsStore(std::shared_ptr<prometheus::Registry> registry);

  /// @param service Name of a declared service.
  /// @return Its time series; lives as long as the store.
  [[nodiscard]] ServiceMetrics& ForService(const core::ServiceName& service);

  /// @return A copy of the series of all services, to read their values.
  [[nodiscard]] std::map<core::ServiceName, ServiceMetrics> All() const;

 private:
  std::shared_ptr<prometheus::Registry> registry_;
  mutable std::mutex mutex_;
  std::map<core::ServiceName, ServiceMetrics> services_;
};

}  // namespace camphormux::gateway

#endif  // CAMPHORMUX_GATEWAY_SERVICE_METRICS_HPP_
