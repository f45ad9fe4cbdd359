#ifndef CAMPHORMUX_PLACEMENT_DECISION_HPP_
#define CAMPHORMUX_PLACEMENT_DECISION_HPP_

#include <optional>

#include "camphormux/core/time.hpp"
#include "camphormux/placement/effects.hpp"
#include "camphormux/placement/events.hpp"
#include "camphormux/placement/state.hpp"

namespace camphormux::placement {

/// @brief Applies one event to the state. Urgent jobs are placed at once, other
/// jobs on the next Tick. Deterministic: reads no clock and no random numbers.
/// @param state The state; updated.
/// @param event The event.
/// @param now The current time; must not go back.
/// @return Commands to workers and notices to teams, in order.
[[nodiscard]] Effects Apply(State& state, const Event& event,
                            core::MonotonicTime now);

/// @brief Returns the time of the earliest timer. The caller must send a Tick
/// at that time at the latest.
/// @param state The state.
/// @return The time, or nothing if no timer is set.
[[nodiscard]] std::optional<core::MonotonicTime> NextDeadline(
    const State& state);

/// @brief Tells whether a worker has no task left, so that its host may go into
/// maintenance or change pools.
/// @param state The state.
/// @param worker Id of the worker's host.
/// @return True if the worker has no task or is not known.
[[nodiscard]] bool HasNoTask(const State& state, const core::HostId& worker);

}  // namespace camphormux::placement

#endif  // CAMPHORMUX_PLACEMENT_DECISION_HPP_
