#ifndef CAMPHORMUX_SCHEDULER_BALANCE_HPP_
#define CAMPHORMUX_SCHEDULER_BALANCE_HPP_

#include "camphormux/scheduler/plan.hpp"
#include "camphormux/scheduler/state.hpp"

namespace camphormux::scheduler {

/// @brief Moves idle machines between pools: to pools whose ready tasks cannot
/// be placed or whose arrival rate exceeds their hosts' capacity, and to the
/// standby pool when hosts have been idle.
void PlanMoves(State& state, const PoolViews& views, core::MonotonicTime now);

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_BALANCE_HPP_
