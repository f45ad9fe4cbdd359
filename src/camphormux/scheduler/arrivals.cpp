#include "camphormux/scheduler/arrivals.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace camphormux::scheduler {
namespace internal {

/// Time constants of the two averages. The fast one follows a surge within half
/// of a move's duration; the slow one makes the trend over about two moves.
constexpr double kFastMillis = 700;
constexpr double kSlowMillis = 1800;
/// From the order of a move to the first run on the host: 1.5 s for the move,
/// the rest until the host is listed and has reported.
constexpr double kMoveMillis = 2000;
constexpr double kMillisPerSecond = 1000;

Inflow InflowAt(const State& state, const core::PoolName& pool,
                core::MonotonicTime now) {
  const auto found = state.inflows.find(pool);
  if (found == state.inflows.end()) {
    return {0, 0, now};
  }
  const auto age = static_cast<double>((now - found->second.updated).count());
  return {found->second.fast * std::exp(-age / kFastMillis),
          found->second.slow * std::exp(-age / kSlowMillis), now};
}

}  // namespace internal

void NoteArrival(State& state, const Job& job, core::MonotonicTime now) {
  if (job.permanent || job.spec.occurrences > 0) {
    return;
  }
  Inflow arrival_rate = internal::InflowAt(state, job.pool, now);
  const double work = job.core_seconds * internal::kMillisPerSecond;
  arrival_rate.fast += work / internal::kFastMillis;
  arrival_rate.slow += work / internal::kSlowMillis;
  state.inflows[job.pool] = arrival_rate;
}

void RebuildArrivalRates(State& state, core::MonotonicTime now) {
  std::vector<const Job*> jobs;
  for (const auto& [id, job] : state.jobs) {
    if (job.submitted <= now) {
      jobs.push_back(&job);
    }
  }
  std::sort(jobs.begin(), jobs.end(), [](const Job* a, const Job* b) {
    return a->submitted < b->submitted;
  });
  for (const Job* job : jobs) {
    NoteArrival(state, *job, job->submitted);
  }
}

double InflowOf(const State& state, const core::PoolName& pool,
                core::MonotonicTime now) {
  return internal::InflowAt(state, pool, now).fast;
}

double ForecastInflow(const State& state, const core::PoolName& pool,
                      core::MonotonicTime now) {
  const Inflow arrival_rate = internal::InflowAt(state, pool, now);
  // An average lags behind a ramp by its time constant.
  const double slope = (arrival_rate.fast - arrival_rate.slow) /
                       (internal::kSlowMillis - internal::kFastMillis);
  const double ahead = internal::kFastMillis + internal::kMoveMillis;
  return arrival_rate.fast + std::max(0.0, slope * ahead);
}

}  // namespace camphormux::scheduler
