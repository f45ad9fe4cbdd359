#ifndef CAMPHORMUX_SCHEDULER_STALE_ORDERS_HPP_
#define CAMPHORMUX_SCHEDULER_STALE_ORDERS_HPP_

#include "camphormux/scheduler/state.hpp"

namespace camphormux::scheduler {

/// An order that could not be stored and sent by this time after its decision
/// is decided anew. Two appends to a store that is 60 times slower than usual
/// take about 0.6 s; a surge changes what a pool needs within 1.5 s, the time
/// of a move.
inline constexpr core::Millis kOrderValidity{1500};

/// @brief Takes back an order that was never sent, so that the next planning
/// pass decides about its task or machine by what is known then.
/// @param state The state.
/// @param order A start, or an order for a machine.
/// @param now The time.
/// @return False if the order has to be sent all the same: an earlier try had
/// no answer and may have taken effect.
[[nodiscard]] bool Withdraw(State& state, const Order& order,
                            core::MonotonicTime now);

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_STALE_ORDERS_HPP_
