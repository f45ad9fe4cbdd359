#ifndef CAMPHORMUX_SCHEDULER_BALANCE_HPP_
#define CAMPHORMUX_SCHEDULER_BALANCE_HPP_

#include "camphormux/scheduler/plan.hpp"
#include "camphormux/scheduler/state.hpp"

namespace camphormux::scheduler {

/// @brief Moves machines without runs between pools: to pools whose ready
/// tasks find no room or where more work arrives than their hosts do, and to
/// the standby pool when their pool has been idle.
void PlanMoves(State& state, const PoolViews& views, core::MonotonicTime now);

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_BALANCE_HPP_
