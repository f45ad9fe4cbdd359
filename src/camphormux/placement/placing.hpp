#ifndef CAMPHORMUX_PLACEMENT_PLACING_HPP_
#define CAMPHORMUX_PLACEMENT_PLACING_HPP_

#include "camphormux/placement/effects.hpp"
#include "camphormux/placement/state.hpp"

namespace camphormux::placement::internal {

/// @brief Places the urgent jobs of a pool, oldest first.
void PlaceUrgent(State& state, PoolIndex pool, core::MonotonicTime now,
                 Effects& effects);

/// @brief Places queued jobs in all pools that changed or have urgent jobs, and
/// in a rotating part of the other pools.
void PlaceAll(State& state, core::MonotonicTime now, Effects& effects);

}  // namespace camphormux::placement::internal

#endif  // CAMPHORMUX_PLACEMENT_PLACING_HPP_
