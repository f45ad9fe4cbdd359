#ifndef CAMPHORMUX_SCHEDULER_ARRIVALS_HPP_
#define CAMPHORMUX_SCHEDULER_ARRIVALS_HPP_

#include "camphormux/scheduler/state.hpp"

namespace camphormux::scheduler {

/// @brief Takes the work of an accepted job into account.
void RecordArrival(State& state, const Job& job, core::MonotonicTime now);

/// @brief Takes the arrivals of all open jobs into account, after a takeover.
void RebuildArrivalRates(State& state, core::MonotonicTime now);

/// @brief Work that arrives at a pool now.
/// @return Core seconds a second, averaged over the last second or so.
[[nodiscard]] double CurrentArrivalRate(const State& state,
                                        const core::PoolName& pool,
                                        core::MonotonicTime now);

/// @brief Work that will arrive at a pool when a host that is ordered now has
/// joined it: the present inflow and its trend.
/// @return Core seconds a second; not below the present inflow.
[[nodiscard]] double ForecastArrivalRate(const State& state,
                                         const core::PoolName& pool,
                                         core::MonotonicTime now);

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_ARRIVALS_HPP_
