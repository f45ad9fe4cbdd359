#ifndef CAMPHORMUX_SCHEDULER_RUNS_HPP_
#define CAMPHORMUX_SCHEDULER_RUNS_HPP_

#include "camphormux/scheduler/state.hpp"

namespace camphormux::scheduler {

/// @brief Adds a run of a task on a host and takes its room.
/// @return The run; valid until it is removed.
Run& AddRun(State& state, Job& job, std::uint32_t task, std::uint32_t attempt,
            Host& host, core::MonotonicTime now);

/// @brief Removes a run whose end is certain and gives its room back. Keeps
/// its latest checkpoint for the task.
void RemoveRun(State& state, RunId id);

/// @brief Orders a run to stop; does nothing if that was done before.
void RequestStop(State& state, Run& run);

/// @brief Takes the answer to an order to start a run into account.
void OnStartAnswer(State& state, RunId id, StartOutcome outcome,
                   core::MonotonicTime now);

/// @brief Takes a confirmed stop into account: the run cannot start any more.
void OnStopConfirmed(State& state, const core::HostId& host,
                     const RunName& name, core::MonotonicTime now);

/// @brief Takes a host's lists of runs and ends into account.
void OnReport(State& state, const HostReport& report, core::MonotonicTime now,
              core::WallTime wall);

/// @brief Repeats stops without effect, replaces runs that make no progress.
void CheckRuns(State& state, core::MonotonicTime now);

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_RUNS_HPP_
