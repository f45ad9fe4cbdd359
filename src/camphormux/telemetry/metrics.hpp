#ifndef CAMPHORMUX_TELEMETRY_METRICS_HPP_
#define CAMPHORMUX_TELEMETRY_METRICS_HPP_

#include <string>
#include <vector>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace camphormux::telemetry {

/// @brief Registers one counter time series.
/// @param registry The process's registry.
/// @param name Metric name; ends in `_total`.
/// @param help One sentence for operators.
/// @param labels Labels of this time series.
/// @return The counter; lives as long as the registry.
[[nodiscard]] prometheus::Counter& AddCounter(
    prometheus::Registry& registry, const std::string& name,
    const std::string& help, const prometheus::Labels& labels = {});

/// @brief Registers one gauge time series.
/// @param registry The process's registry.
/// @param name Metric name with its unit.
/// @param help One sentence for operators.
/// @param labels Labels of this time series.
/// @return The gauge; lives as long as the registry.
[[nodiscard]] prometheus::Gauge& AddGauge(
    prometheus::Registry& registry, const std::string& name,
    const std::string& help, const prometheus::Labels& labels = {});

/// @brief Registers one histogram time series of durations.
/// @param registry The process's registry.
/// @param name Metric name; ends in `_seconds`.
/// @param help One sentence for operators.
/// @param labels Labels of this time series.
/// @return The histogram; lives as long as the registry.
[[nodiscard]] prometheus::Histogram& AddLatencyHistogram(
    prometheus::Registry& registry, const std::string& name,
    const std::string& help, const prometheus::Labels& labels = {});

/// @brief Renders all metrics in the Prometheus text format.
/// @param registry The process's registry.
/// @return Body of a `/metrics` response.
[[nodiscard]] std::string RenderMetrics(const prometheus::Registry& registry);

}  // namespace camphormux::telemetry

#endif  // CAMPHORMUX_TELEMETRY_METRICS_HPP_
