#ifndef CAMPHORMUX_COORDINATOR_STATE_LOG_HPP_
#define CAMPHORMUX_COORDINATOR_STATE_LOG_HPP_

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/scheduler/state.hpp"

namespace camphormux::coordinator {

/// @brief Logs the load of each pool and its work since the last call.
/// @param state The state; its record of work is emptied.
/// @param now Monotonic time.
void LogPoolLoads(scheduler::State& state, core::MonotonicTime now);

/// @brief Logs how far run times are from their estimates and from what is
/// expected, for the kinds of work that were seen last.
void LogRunTimes(const scheduler::State& state);

/// @brief Logs for each open wave what its machines wait for.
void LogWaveProgress(const scheduler::State& state, core::MonotonicTime now);

/// @brief Logs the jobs whose policy is not known.
/// @param state The state.
/// @param token Fencing token of this holder.
void LogJobsWithoutPolicy(const scheduler::State& state, core::Epoch token);

}  // namespace camphormux::coordinator

#endif  // CAMPHORMUX_COORDINATOR_STATE_LOG_HPP_
