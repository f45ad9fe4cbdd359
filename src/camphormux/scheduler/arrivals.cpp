#include "camphormux/scheduler/arrivals.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

#include "camphormux/scheduler/jobs.hpp"

namespace camphormux::scheduler {
namespace internal {

/// Time constants of the two averages. The fast one follows a surge within half
/// the duration of a move; the slow one yields the trend over about two moves.
constexpr double kFastTimeConstantMillis = 700;
constexpr double kSlowTimeConstantMillis = 1800;
/// Time from the order of a move to the first run on the host: 1.5 s for the
/// move, the remainder until the host is listed and has reported.
constexpr double kMoveLeadTimeMillis = 2000;
constexpr double kMillisPerSecond = 1000;

ArrivalRate ArrivalRateAt(const State& state, const core::PoolName& pool,
                          core::MonotonicTime now) {
  const auto found = state.arrival_rates.find(pool);
  if (found == state.arrival_rates.end()) {
    return {0, 0, now};
  }
  const auto age = static_cast<double>((now - found->second.updated).count());
  return {found->second.fast * std::exp(-age / kFastTimeConstantMillis),
          found->second.slow * std::exp(-age / kSlowTimeConstantMillis), now};
}

}  // namespace internal

void RecordArrival(State& state, const Job& job, core::MonotonicTime now) {
  if (job.permanent || job.spec.occurrences > 0) {
    return;
  }
  ArrivalRate arrival_rate =
      internal::ArrivalRateAt(state, job.policy.pool, now);
  const double work = job.core_seconds * internal::kMillisPerSecond;
  arrival_rate.fast += work / internal::kFastTimeConstantMillis;
  arrival_rate.slow += work / internal::kSlowTimeConstantMillis;
  state.arrival_rates[job.policy.pool] = arrival_rate;
}

void RebuildArrivalRates(State& state, core::MonotonicTime now) {
  std::vector<const Job*> jobs;
  for (const auto& [id, job] : state.jobs) {
    if (HasPolicy(job) && !workload::IsFinal(job.state) &&
        job.submitted <= now) {
      jobs.push_back(&job);
    }
  }
  std::sort(jobs.begin(), jobs.end(), [](const Job* a, const Job* b) {
    return a->submitted < b->submitted;
  });
  for (const Job* job : jobs) {
    RecordArrival(state, *job, job->submitted);
  }
}

double CurrentArrivalRate(const State& state, const core::PoolName& pool,
                          core::MonotonicTime now) {
  return internal::ArrivalRateAt(state, pool, now).fast;
}

double ForecastArrivalRate(const State& state, const core::PoolName& pool,
                           core::MonotonicTime now) {
  const ArrivalRate arrival_rate = internal::ArrivalRateAt(state, pool, now);
  // An average lags behind a ramp by its time constant.
  const double slope =
      (arrival_rate.fast - arrival_rate.slow) /
      (internal::kSlowTimeConstantMillis - internal::kFastTimeConstantMillis);
  const double ahead =
      internal::kFastTimeConstantMillis + internal::kMoveLeadTimeMillis;
  return arrival_rate.fast + std::max(0.0, slope * ahead);
}

}  // namespace camphormux::scheduler
