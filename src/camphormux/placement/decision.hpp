#ifndef CAMPHORMUX_PLACEMENT_DECISION_HPP_
#define CAMPHORMUX_PLACEMENT_DECISION_HPP_

#include <optional>

#include "camphormux/core/time.hpp"
#include "camphormux/placement/effects.hpp"
#include "camphormux/placement/events.hpp"
#include "camphormux/placement/state.hpp"

namespace camphormux::placement {

/// @brief Takes one event into account. Urgent jobs are placed at once, others
/// in the step that Tick makes. Reads no clock and no random numbers.
/// @param state The state; updated.
/// @param event What happened.
/// @param now The time; does not go back.
/// @return What to do on the workers and to tell the teams, in order.
[[nodiscard]] Effects Apply(State& state, const Event& event,
                            core::MonotonicTime now);

/// @brief Returns when the earliest deadline is due, so that the caller sends
/// a Tick then at the latest.
[[nodiscard]] std::optional<core::MonotonicTime> NextDeadline(
    const State& state);

/// @brief Tells whether a host has no task left, so that maintenance or a move
/// may take it.
[[nodiscard]] bool HasNoTask(const State& state, const core::HostId& worker);

}  // namespace camphormux::placement

#endif  // CAMPHORMUX_PLACEMENT_DECISION_HPP_
