#ifndef CAMPHORMUX_DISPATCH_STEP_HPP_
#define CAMPHORMUX_DISPATCH_STEP_HPP_

#include "camphormux/dispatch/driver.hpp"

/// Functions that make up a step of the driver.
namespace camphormux::dispatch::internal {

/// @brief Input, state and output of one step.
struct Context {
  const DriverInput& input;
  Driver& driver;
  DriverOutput& output;
};

/// @brief Applies an event to the placement and carries out the effects.
void ApplyEvent(Context& context, const placement::Event& event);

/// @brief Requests a record about a job on the log.
void RequestRecord(Context& context, const core::JobId& job,
                   jobs::Record record);

/// @brief Outputs the requested records that are due.
void SendRecords(Context& context);

/// @brief Outputs the calls and lease renewals that are due.
void SendCalls(Context& context);

/// @brief Replaces the desired call of a task.
void SetDesiredCall(Context& context, DesiredTask& task, TaskCallKind kind);

/// @brief Processes the confirmed end of a task. Its deletion waits until the
/// end of the job is on the log, so that the next holder sees the task or the
/// end.
void EndTask(Context& context, std::uint64_t number,
             placement::TaskOutcome outcome);

/// @brief Processes a task's state from a report or an answer.
void HandleTaskState(Context& context, std::uint64_t number, RunState state);

/// @brief Processes the answers to calls.
void HandleAnswers(Context& context);
/// @brief Processes the task reports of workers.
void HandleReports(Context& context);

/// @brief Advances the phases of a takeover until the zone's tasks are known.
void AdvanceTakeover(Context& context);

/// @brief Adopts the tasks in a worker's list.
void Adopt(Context& context, const HostTasks& list);

/// @brief Updates the placement's workers from the fleet state.
void SyncWorkers(Context& context);
/// @brief Updates the placement's quotas from the operator text.
void SyncQuotas(Context& context);

/// @brief Adds a host as a worker.
void AddWorker(Context& context, const state::Host& host);

/// @brief Submits a job of this zone to the placement, or cancels one that
/// ended or that another zone has claimed.
void SyncJob(Context& context, const core::JobId& job);

/// @brief Claims unclaimed jobs by this zone's rank, and jobs of zones that are
/// cut off.
void ClaimJobs(Context& context);

/// @brief Appends the zone's open jobs again before their records expire.
void RepeatOpenJobs(Context& context);

}  // namespace camphormux::dispatch::internal

#endif  // CAMPHORMUX_DISPATCH_STEP_HPP_
