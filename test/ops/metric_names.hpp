#ifndef CAMPHORMUX_TEST_OPS_METRIC_NAMES_HPP_
#define CAMPHORMUX_TEST_OPS_METRIC_NAMES_HPP_

#include <compare>
#include <set>
#include <string>

namespace camphormux::ops {

/// @brief Kind of a registered metric.
enum class MetricKind { kCounter, kGauge, kHistogram };

/// @brief A metric that C++ code registers.
struct Metric {
  std::string name;  ///< Without the suffixes of a histogram's time series.
  MetricKind kind = MetricKind::kGauge;

  auto operator<=>(const Metric&) const = default;
};

/// @brief Finds the metrics that C++ source code registers.
///
/// Recognizes a literal name in a call of `telemetry::Add*`, and a lambda or
/// function that adds a prefix and an optional suffix to the name that its
/// callers pass.
/// @param source The text of one source file.
/// @return The metrics.
[[nodiscard]] std::set<Metric> RegisteredMetrics(std::string source);

/// @brief Finds the metrics that a PromQL expression reads.
/// @param expression The expression.
/// @return All identifiers except functions, keywords, labels and strings.
[[nodiscard]] std::set<std::string> UsedMetrics(std::string expression);

}  // namespace camphormux::ops

#endif  // CAMPHORMUX_TEST_OPS_METRIC_NAMES_HPP_
