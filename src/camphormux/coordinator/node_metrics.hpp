#ifndef CAMPHORMUX_COORDINATOR_NODE_METRICS_HPP_
#define CAMPHORMUX_COORDINATOR_NODE_METRICS_HPP_

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace camphormux::coordinator {

/// @brief Metrics of a node. All pointers are set and valid as long as the
/// registry.
struct NodeMetrics {
  prometheus::Counter* accepted = nullptr;
  prometheus::Counter* refused = nullptr;
  prometheus::Counter* unauthorized = nullptr;
  prometheus::Counter* unavailable = nullptr;
  prometheus::Counter* unanswered = nullptr;
  prometheus::Counter* cancelled = nullptr;
  prometheus::Counter* cancelled_unknown = nullptr;
  prometheus::Counter* cancel_unavailable = nullptr;
  prometheus::Counter* renewals = nullptr;
  prometheus::Counter* host_calls_direct = nullptr;
  prometheus::Counter* host_calls_shared = nullptr;
  prometheus::Counter* agent_failures = nullptr;
  prometheus::Counter* takeovers = nullptr;
  prometheus::Counter* machine_orders = nullptr;
  prometheus::Counter* presumed_ends = nullptr;
  prometheus::Counter* unexpected_runs = nullptr;
  prometheus::Counter* missing_ends = nullptr;
  prometheus::Counter* foreign_clocks = nullptr;
  prometheus::Counter* store_rejections = nullptr;
  prometheus::Gauge* open_jobs = nullptr;
  prometheus::Gauge* jobs_without_policy = nullptr;
  /// Values of client accounts, with labels for the account and the value.
  prometheus::Family<prometheus::Gauge>* account_load = nullptr;
  prometheus::Gauge* holds_ownership = nullptr;
  prometheus::Histogram* submit_seconds = nullptr;
  prometheus::Histogram* store_seconds = nullptr;
  prometheus::Histogram* start_seconds = nullptr;
  prometheus::Histogram* takeover_seconds = nullptr;
};

/// @brief Registers the metrics of a node.
[[nodiscard]] NodeMetrics RegisterNodeMetrics(prometheus::Registry& registry);

}  // namespace camphormux::coordinator

#endif  // CAMPHORMUX_COORDINATOR_NODE_METRICS_HPP_
