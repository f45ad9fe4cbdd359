#include "bench/capacity/demand.hpp"

#include <algorithm>
#include <random>

#include "camphormux/core/random.hpp"

namespace camphormux::bench {
namespace {

constexpr double kBaseRateShare = 1.0 / 20.0;
/// Share of time f that a service spends at its peak, so that the peak is five
/// times the mean rate: f + (1 - f) / 20 = 1 / 5.
constexpr double kTimeAtPeakShare =
    (0.2 - kBaseRateShare) / (1.0 - kBaseRateShare);

std::vector<Burst> GenerateBursts(const text::OperatorText& text,
                                  const DemandShape& shape,
                                  core::Random& random) {
  std::vector<Burst> bursts;
  const double slot_share =
      1.0 / (kTimeAtPeakShare * static_cast<double>(text.services.size()));
  double time = 20.0;  // Every policy first sees base demand.
  const auto lengths =
      static_cast<std::uint64_t>(shape.max_burst_s - shape.min_burst_s) + 1;
  while (time < shape.seconds) {
    for (const auto& [name, service] : text.services) {
      const int length = shape.min_burst_s +
                         static_cast<int>(core::UniformBelow(random, lengths));
      bursts.push_back({name, static_cast<int>(time), length});
      time += length * slot_share;
    }
  }
  std::erase_if(bursts, [&shape](const Burst& burst) {
    return burst.start + burst.length > shape.seconds;
  });
  return bursts;
}

}  // namespace

DemandTrace GenerateDemand(const text::OperatorText& text,
                           const DemandShape& shape, std::uint64_t seed) {
  core::Random random = core::SeededRandom(seed);
  DemandTrace trace;
  trace.seconds = shape.seconds;
  trace.bursts = GenerateBursts(text, shape, random);
  std::map<core::ServiceName, std::vector<double>> means;
  for (const auto& [name, service] : text.services) {
    const double peak =
        shape.peak_hosts * service.slots_per_host / trace.service_time_s;
    means[name].assign(static_cast<std::size_t>(shape.seconds),
                       peak * kBaseRateShare);
    for (const Burst& burst : trace.bursts) {
      if (burst.service == name) {
        std::fill_n(means[name].begin() + burst.start, burst.length, peak);
      }
    }
  }
  for (const auto& [name, mean] : means) {
    std::vector<double>& arrivals = trace.arrivals[name];
    arrivals.resize(mean.size(), 0.0);
    for (std::size_t t = 0; t < mean.size(); ++t) {
      const int direct_arrivals =
          std::poisson_distribution<int>(mean[t])(random.engine);
      arrivals[t] += direct_arrivals;
      for (const text::Dependency& dependency :
           text.services.at(name).depends_on) {
        trace.arrivals[dependency.service].resize(mean.size(), 0.0);
        trace.arrivals[dependency.service][t] +=
            direct_arrivals * dependency.calls_per_request;
      }
    }
  }
  return trace;
}

}  // namespace camphormux::bench
