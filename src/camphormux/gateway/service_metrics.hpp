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

/// @brief Metrics of one service; updated by all traffic threads.
struct ServiceMetrics {
  prometheus::Counter* arrivals;
  prometheus::Counter* answered;
  prometheus::Counter* not_run;
  prometheus::Counter* unknown;
  /// Requests not admitted to the queue or removed from it.
  prometheus::Counter* shed;
  prometheus::Counter* attempts;
  prometheus::Counter* retries;
  prometheus::Counter* refused;  ///< Attempts refused by the endpoint.
  /// Responses that were late, truncated or for another request.
  prometheus::Counter* dropped;
  /// Streamed responses truncated after their head.
  prometheus::Counter* truncated;
  prometheus::Gauge* queued;
  prometheus::Gauge* running;
  prometheus::Histogram* latency;
  prometheus::Histogram* queue_wait;
};

/// @brief Creates the metrics of each service on first use. Thread-safe.
class MetricsStore {
 public:
  explicit MetricsStore(std::shared_ptr<prometheus::Registry> registry);

  /// @param service Name of a declared service.
  /// @return The metrics of the service; valid as long as the store.
  [[nodiscard]] ServiceMetrics& ForService(const core::ServiceName& service);

  /// @return A copy of the metric pointers of all services, to read their
  /// values.
  [[nodiscard]] std::map<core::ServiceName, ServiceMetrics> All() const;

 private:
  std::shared_ptr<prometheus::Registry> registry_;
  mutable std::mutex mutex_;
  std::map<core::ServiceName, ServiceMetrics> services_;
};

}  // namespace camphormux::gateway

#endif  // CAMPHORMUX_GATEWAY_SERVICE_METRICS_HPP_
