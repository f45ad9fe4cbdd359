#ifndef CAMPHORMUX_SCHEDULER_BALANCE_HPP_
#define CAMPHORMUX_SCHEDULER_BALANCE_HPP_

#include "camphormux/scheduler/plan.hpp"
#include "camphormux/scheduler/state.hpp"

namespace camphormux::scheduler {

/// @brief Takes the work of an accepted job into account.
void NoteArrival(State& state, const Job& job, core::MonotonicTime now);

/// @brief Work that arrives at a pool now.
/// @return Core seconds a second, averaged over the last second or so.
[[nodiscard]] double InflowOf(const State& state, const core::PoolName& pool,
                              core::MonotonicTime now);

/// @brief Moves machines without runs between pools: to pools whose ready
/// tasks find no room or where more work arrives than their hosts do, and to
/// the standby pool when their pool has been idle.
void PlanMoves(State& state, const PoolViews& views, core::MonotonicTime now);

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_BALANCE_HPP_
