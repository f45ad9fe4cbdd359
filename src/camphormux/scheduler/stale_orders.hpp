#ifndef CAMPHORMUX_SCHEDULER_STALE_ORDERS_HPP_
#define CAMPHORMUX_SCHEDULER_STALE_ORDERS_HPP_

#include "camphormux/scheduler/state.hpp"

namespace camphormux::scheduler {

/// An order that could not be stored and sent within this time after its
/// decision is decided again. Two appends to a store that is 60 times slower
/// than usual take about 0.6 s; a surge changes a pool's demand within 1.5 s,
/// the duration of a move.
inline constexpr core::Millis kOrderValidity{1500};

/// @brief Withdraws an order that was never sent, so that the next planning
/// pass decides about its task or machine on current information.
/// @param state The state.
/// @param order The order; only starts and machine orders can be withdrawn.
/// @param now The time.
/// @return False if the order must be sent nevertheless: an earlier try got no
/// answer and may have taken effect.
[[nodiscard]] bool Withdraw(State& state, const Order& order,
                            core::MonotonicTime now);

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_STALE_ORDERS_HPP_
