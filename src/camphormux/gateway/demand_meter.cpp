#include "camphormux/gateway/demand_meter.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace camphormux::gateway {

LoadSamples SampleLoad(const MetricsStore& metrics) {
  LoadSamples samples;
  for (const auto& [name, series] : metrics.All()) {
    samples[name] = {series.arrivals->Value(), series.not_run->Value(),
                     series.queued->Value(), series.running->Value()};
  }
  return samples;
}

demand::Summary Measure(DemandMeter& meter, LoadSamples samples,
                        core::MonotonicTime now) {
  const double seconds =
      std::chrono::duration<double>(now - meter.sampled_at).count();
  const bool first = meter.sampled_at == core::MonotonicTime{};
  demand::Summary summary;
  for (const auto& [name, sample] : samples) {
    demand::ServiceLoad& load = summary.services[name];
    load.queued = std::max(sample.queued, 0.0);
    load.running = std::max(sample.running, 0.0);
    if (first || seconds <= 0.0) {
      continue;
    }
    // A service without a previous sample had no requests before.
    const LoadSample& before = meter.previous[name];
    load.arrivals_per_s = (sample.arrivals - before.arrivals) / seconds;
    // Limited to the arrival rate, because a request may be refused in a later
    // period than it arrived in.
    load.refused_per_s = std::min((sample.not_run - before.not_run) / seconds,
                                  load.arrivals_per_s);
  }
  meter.previous = std::move(samples);
  meter.sampled_at = now;
  return summary;
}

}  // namespace camphormux::gateway
