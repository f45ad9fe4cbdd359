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
void Feed(Context& at, const placement::Event& event);

/// @brief Wants a record on the log.
void WantRecord(Context& at, const core::JobId& job, jobs::Record record);

/// @brief Appends wanted records that are due.
void SendRecords(Context& at);

/// @brief Sends wanted calls that are due, and renewals.
void SendCalls(Context& at);

/// @brief Changes the call that is wanted for a task.
void WantCall(Context& at, WantedTask& task, TaskCallKind kind);

/// @brief Takes the confirmed end of a task. Its deletion waits until the log
/// has the end of the job, so that the next holder sees one of the two.
void EndTask(Context& at, std::uint64_t number, placement::TaskOutcome outcome);

/// @brief Takes a task's state from a report or an answer.
void TakeState(Context& at, std::uint64_t number, RunState state);

void TakeAnswers(Context& at);
void TakeReports(Context& at);

/// @brief Goes through the phases until the tasks of the zone are known.
void AdvanceTakeover(Context& at);

/// @brief Takes over the tasks that a worker has.
void Adopt(Context& at, const HostTasks& list);

/// @brief Brings the placement's workers and quotas in line with the state.
void SyncWorkers(Context& at);
void SyncQuotas(Context& at);

/// @brief Adds a host as a worker.
void AddWorker(Context& at, const state::Host& host);

/// @brief Submits a job that this zone shall run, or cancels one that it shall
/// not run any more.
void SyncJob(Context& at, const core::JobId& job);

/// @brief Takes unclaimed jobs whose turn it is, and jobs of silent zones.
void ClaimJobs(Context& at);

/// @brief Repeats the zone's open jobs before their records expire.
void CarryJobs(Context& at);

}  // namespace camphormux::dispatch::internal

#endif  // CAMPHORMUX_DISPATCH_STEP_HPP_
