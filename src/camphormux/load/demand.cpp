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

RunDuration CycleLength(const Demand& demand) {
  const double idle_factor = demand.peak_factor * demand.idle_share;
  const double bursts_per_cycle =
      (demand.peak_factor - idle_factor) / (1.0 - idle_factor);
  // The cycle has room for one burst per service, so bursts never overlap.
  const double bursts =
      std::max(bursts_per_cycle, static_cast<double>(demand.services));
  return RunDuration(static_cast<RunDuration::rep>(
      bursts * static_cast<double>(demand.burst.count())));
}

double RateAt(const Demand& demand, std::size_t service, RunDuration time) {
  const double peak = internal::PeakRate(demand);
  if (demand.steady) {
    return peak;
  }
  const RunDuration cycle = CycleLength(demand);
  const RunDuration start =
      cycle * static_cast<RunDuration::rep>(service) /
      static_cast<RunDuration::rep>(std::max<std::size_t>(demand.services, 1));
  const RunDuration cycle_offset = time % cycle;
  const bool in_burst =
      cycle_offset >= start && cycle_offset < start + demand.burst;
  return in_burst ? peak : peak * demand.idle_share;
}

RunDuration NextArrival(const Demand& demand, ArrivalStream& stream) {
  const double peak = internal::PeakRate(demand);
  std::exponential_distribution<double> gap(peak / 1e6);
  do {
    stream.last +=
        RunDuration(static_cast<RunDuration::rep>(gap(stream.random.engine)));
  } while (core::UnitInterval(stream.random) * peak >=
           RateAt(demand, stream.service, stream.last));
  return stream.last;
}

}  // namespace camphormux::load
