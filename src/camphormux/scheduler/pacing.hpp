#ifndef CAMPHORMUX_SCHEDULER_PACING_HPP_
#define CAMPHORMUX_SCHEDULER_PACING_HPP_

#include "camphormux/scheduler/state.hpp"

namespace camphormux::scheduler {

/// @brief Lowers the pace of the best-effort runs on a host while a serving
/// task there is near or above its latency target, and raises it gradually
/// afterwards.
void PaceBestEffortRuns(State& state, Host& host, core::MonotonicTime now);

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_PACING_HPP_
