#include "camphormux/load/demand.hpp"

#include <algorithm>
#include <random>

namespace camphormux::load {
namespace internal {

double PeakRate(const Demand& demand) {
  return demand.steady ? demand.mean_rate
                       : demand.mean_rate * demand.peak_factor;
}

}  // namespace internal

RunTime CycleLength(const Demand& demand) {
  const double low = demand.peak_factor * demand.idle_share;
  const double bursts_per_cycle = (demand.peak_factor - low) / (1.0 - low);
  // Bursts follow each other and never overlap.
  const double bursts =
      std::max(bursts_per_cycle, static_cast<double>(demand.services));
  return RunTime(static_cast<RunTime::rep>(
      bursts * static_cast<double>(demand.burst.count())));
}

double RateAt(const Demand& demand, std::size_t service, RunTime time) {
  const double peak = internal::PeakRate(demand);
  if (demand.steady) {
    return peak;
  }
  const RunTime cycle = CycleLength(demand);
  const RunTime start =
      cycle * static_cast<RunTime::rep>(service) /
      static_cast<RunTime::rep>(std::max<std::size_t>(demand.services, 1));
  const RunTime place = time % cycle;
  const bool in_burst = place >= start && place < start + demand.burst;
  return in_burst ? peak : peak * demand.idle_share;
}

RunTime NextArrival(const Demand& demand, ArrivalStream& stream) {
  const double peak = internal::PeakRate(demand);
  std::exponential_distribution<double> gap(peak / 1e6);
  do {
    stream.last +=
        RunTime(static_cast<RunTime::rep>(gap(stream.random.engine)));
  } while (core::UnitInterval(stream.random) * peak >=
           RateAt(demand, stream.service, stream.last));
  return stream.last;
}

}  // namespace camphormux::load
