#ifndef CAMPHORMUX_PLACEMENT_WORKERS_HPP_
#define CAMPHORMUX_PLACEMENT_WORKERS_HPP_

#include "camphormux/placement/state.hpp"

namespace camphormux::placement::internal {

/// @brief Tells whether a worker may get new tasks.
[[nodiscard]] bool IsUsable(const Worker& worker);

/// @brief Sums up a worker's tasks and updates its pool's search tree. Called
/// after each change of the worker; costs as much as it has tasks.
void RefreshHeadroom(State& state, WorkerIndex worker);

/// @brief Returns the room on a worker for a new task.
[[nodiscard]] Resources FreeResources(const Worker& worker);

/// @brief Adds a worker or updates the shape of a known one.
/// @return Its position.
[[nodiscard]] WorkerIndex AddOrUpdateWorker(State& state,
                                            const WorkerSpec& spec);

/// @brief Forgets a worker without tasks and promises. The cost grows with the
/// number of jobs and deadlines; hosts leave rarely.
void ForgetWorker(State& state, WorkerIndex worker);

/// @brief Takes a worker out of its pool, if it has one.
void LeavePool(State& state, WorkerIndex worker);

/// @brief Puts a worker without pool into one.
void JoinPool(State& state, WorkerIndex worker, PoolIndex pool);

}  // namespace camphormux::placement::internal

#endif  // CAMPHORMUX_PLACEMENT_WORKERS_HPP_
