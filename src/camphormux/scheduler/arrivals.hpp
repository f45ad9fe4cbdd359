#ifndef CAMPHORMUX_SCHEDULER_ARRIVALS_HPP_
#define CAMPHORMUX_SCHEDULER_ARRIVALS_HPP_

#include "camphormux/scheduler/state.hpp"

namespace camphormux::scheduler {

/// @brief Adds the work of an accepted job to its pool's arrival rate.
void RecordArrival(State& state, const Job& job, core::MonotonicTime now);

/// @brief Recomputes the arrival rates from all open jobs after a takeover.
void RebuildArrivalRates(State& state, core::MonotonicTime now);

/// @brief Returns the rate at which work currently arrives at a pool.
/// @return Core seconds per second, averaged over about the last second.
[[nodiscard]] double CurrentArrivalRate(const State& state,
                                        const core::PoolName& pool,
                                        core::MonotonicTime now);

/// @brief Forecasts the rate at which work arrives at a pool when a host that
/// is ordered now will have joined it, from the current rate and its trend.
/// @return Core seconds per second; never below the current rate.
[[nodiscard]] double ForecastArrivalRate(const State& state,
                                         const core::PoolName& pool,
                                         core::MonotonicTime now);

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_ARRIVALS_HPP_
