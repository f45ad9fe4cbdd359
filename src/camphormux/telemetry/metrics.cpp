#include "camphormux/telemetry/metrics.hpp"

#include <prometheus/text_serializer.h>

namespace camphormux::telemetry {
namespace internal {

/// Bucket bounds in seconds, from half a millisecond to a minute.
const prometheus::Histogram::BucketBoundaries kLatencyBounds{
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2,
    0.5,    1.0,   2.0,   3.1,   5.0,  10.0, 20.0, 60.0};

}  // namespace internal

prometheus::Counter& AddCounter(prometheus::Registry& registry,
                                const std::string& name,
                                const std::string& help,
                                const prometheus::Labels& labels) {
  return prometheus::BuildCounter()
      .Name(name)
      .Help(help)
      .Register(registry)
      .Add(labels);
}

prometheus::Gauge& AddGauge(prometheus::Registry& registry,
                            const std::string& name, const std::string& help,
                            const prometheus::Labels& labels) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add(
      labels);
}

prometheus::Histogram& AddLatencyHistogram(prometheus::Registry& registry,
                                           const std::string& name,
                                           const std::string& help,
                                           const prometheus::Labels& labels) {
  return prometheus::BuildHistogram()
      .Name(name)
      .Help(help)
      .Register(registry)
      .Add(labels, internal::kLatencyBounds);
}

std::string RenderMetrics(const prometheus::Registry& registry) {
  return prometheus::TextSerializer{}.Serialize(registry.Collect());
}

}  // namespace camphormux::telemetry
