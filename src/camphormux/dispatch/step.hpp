#ifndef CAMPHORMUX_DISPATCH_STEP_HPP_
#define CAMPHORMUX_DISPATCH_STEP_HPP_

#include "camphormux/dispatch/driver.hpp"

/// The parts of a driver's step.
namespace camphormux::dispatch::internal {

/// @brief What the parts of one step share.
struct Context {
  const DriverInput& input;
  Driver& driver;
  DriverOutput& output;
};

/// @brief Gives an event to the placement and takes its effects.
void ApplyEvent(Context& context, const placement::Event& event);

/// @brief Wants a record on the log.
void RequestRecord(Context& context, const core::JobId& job,
                   jobs::Record record);

/// @brief Appends wanted records that are due.
void SendRecords(Context& context);

/// @brief Sends wanted calls that are due, and renewals.
void SendCalls(Context& context);

/// @brief Changes the call that is wanted for a task.
void SetDesiredCall(Context& context, DesiredTask& task, TaskCallKind kind);

/// @brief Takes the confirmed end of a task. Its deletion waits until the log
/// has the end of the job, so that the next holder sees one of the two.
void EndTask(Context& context, std::uint64_t number,
             placement::TaskOutcome outcome);

/// @brief Takes a task's state from a report or an answer.
void HandleTaskState(Context& context, std::uint64_t number, RunState state);

void HandleAnswers(Context& context);
void HandleReports(Context& context);

/// @brief Goes through the phases until the tasks of the zone are known.
void AdvanceTakeover(Context& context);

/// @brief Takes over the tasks that a worker has.
void Adopt(Context& context, const HostTasks& list);

/// @brief Brings the placement's workers and quotas in line with the state.
void SyncWorkers(Context& context);
void SyncQuotas(Context& context);

/// @brief Adds a host as a worker.
void AddWorker(Context& context, const state::Host& host);

/// @brief Submits a job that this zone shall run, or cancels one that it shall
/// not run any more.
void SyncJob(Context& context, const core::JobId& job);

/// @brief Takes unclaimed jobs whose turn it is, and jobs of silent zones.
void ClaimJobs(Context& context);

/// @brief Repeats the zone's open jobs before their records expire.
void RepeatOpenJobs(Context& context);

}  // namespace camphormux::dispatch::internal

#endif  // CAMPHORMUX_DISPATCH_STEP_HPP_
