#ifndef CAMPHORMUX_PLACEMENT_WORKERS_HPP_
#define CAMPHORMUX_PLACEMENT_WORKERS_HPP_

#include "camphormux/placement/state.hpp"

namespace camphormux::placement::internal {

/// @brief Tells whether a worker can get new tasks.
[[nodiscard]] bool IsUsable(const Worker& worker);

/// @brief Recomputes a worker's committed resources and updates the headroom
/// tree of its pool. Must be called after each change of the worker; the cost
/// grows with its number of tasks.
void RefreshHeadroom(State& state, WorkerIndex worker);

/// @brief Returns the resources on a worker that are free for a new task.
[[nodiscard]] Resources FreeResources(const Worker& worker);

/// @brief Adds a worker, or updates the shape, rack and pool of a known one.
/// @return The position of the worker.
[[nodiscard]] WorkerIndex AddOrUpdateWorker(State& state,
                                            const WorkerSpec& spec);

/// @brief Removes a worker that has no tasks and reservations. The cost grows
/// with the number of jobs and timers, which is acceptable because hosts are
/// removed rarely.
void ForgetWorker(State& state, WorkerIndex worker);

/// @brief Removes a worker from its pool, if it has one.
void LeavePool(State& state, WorkerIndex worker);

/// @brief Adds a worker without a pool to one.
void JoinPool(State& state, WorkerIndex worker, PoolIndex pool);

}  // namespace camphormux::placement::internal

#endif  // CAMPHORMUX_PLACEMENT_WORKERS_HPP_
