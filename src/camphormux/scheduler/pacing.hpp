#ifndef CAMPHORMUX_SCHEDULER_PACING_HPP_
#define CAMPHORMUX_SCHEDULER_PACING_HPP_

#include "camphormux/scheduler/state.hpp"

namespace camphormux::scheduler {

/// @brief Slows the runs that use a host's idle cores while a serving task
/// there is near its latency target, and lets them recover slowly.
void PaceBestEffortRuns(State& state, Host& host, core::MonotonicTime now);

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_PACING_HPP_
