#ifndef CAMPHORMUX_SCHEDULER_RUNS_HPP_
#define CAMPHORMUX_SCHEDULER_RUNS_HPP_

#include <optional>

#include "camphormux/scheduler/state.hpp"

namespace camphormux::scheduler {

/// @brief Adds a run of a task on a host and reserves its resources.
/// @return The run; valid until it is removed.
Run& AddRun(State& state, Job& job, std::uint32_t task, std::uint32_t attempt,
            Host& host, core::MonotonicTime now);

/// @brief Removes a run whose end is certain and releases its resources. Its
/// latest checkpoint is kept for the task.
/// @param state The state.
/// @param id The run.
/// @param evidence What shows the end; nothing if the host has reported it.
void RemoveRun(State& state, RunId id, std::optional<EndEvidence> evidence);

/// @brief Orders a run to stop; has no effect if that was done before.
void RequestStop(State& state, Run& run);

/// @brief Records that the start order of a run was sent.
/// @param state The state.
/// @param id The run; has no effect if it is unknown.
/// @param now The time.
void OnStartSent(State& state, RunId id, core::MonotonicTime now);

/// @brief Records that the start order of a run was sent again.
/// @param state The state.
/// @param id The run; has no effect if it is unknown.
void OnStartRepeated(State& state, RunId id);

/// @brief Removes a run whose start order will not be sent any more.
/// @param state The state.
/// @param id The run; has no effect if it is unknown or its start was sent.
void WithdrawStart(State& state, RunId id);

/// @brief Handles an order for the pace of a run that was not confirmed: its
/// pace is ordered again with the next report.
void OnPaceUnconfirmed(State& state, const core::HostId& host,
                       const RunName& name);

/// @brief Handles the answer to an order to start a run.
void OnStartAnswer(State& state, RunId id, StartOutcome outcome,
                   core::MonotonicTime now);

/// @brief Handles the confirmation of a stop: the run cannot start any more.
/// @param state The state.
/// @param host The host.
/// @param incarnation The incarnation to which the stop was sent. Has no effect
/// if the host has another one by now, which may not know of the stop.
/// @param name The run.
/// @param now The time.
void OnStopConfirmed(State& state, const core::HostId& host,
                     core::Incarnation incarnation, const RunName& name,
                     core::MonotonicTime now);

/// @brief Handles a host's report of its current and ended runs.
void OnReport(State& state, const HostReport& report, core::MonotonicTime now,
              core::WallTime wall);

/// @brief Repeats stops that had no effect and replaces runs without progress.
void CheckRuns(State& state, core::MonotonicTime now);

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_RUNS_HPP_
