#ifndef CAMPHORMUX_TEST_PLACEMENT_FAKE_WORKERS_HPP_
#define CAMPHORMUX_TEST_PLACEMENT_FAKE_WORKERS_HPP_

#include <map>
#include <string>
#include <vector>

#include "camphormux/placement/decision.hpp"

namespace camphormux::placement {

/// A run that a worker got and whose end is not confirmed.
struct OpenRun {
  core::HostId worker;
  TaskRef task;
  Resources limits;
  core::Mebibytes reported;
  bool began = false;
};

/// Workers seen from outside the decisions: knows what was ordered and what
/// was confirmed, and collects breaches of what must always hold.
struct FakeWorkers {
  State state;
  core::MonotonicTime now{core::Millis{1000000}};
  std::map<core::HostId, WorkerSpec> workers;
  std::map<core::JobId, JobSpec> jobs;
  std::map<core::TeamName, Resources> quotas;
  std::map<std::uint64_t, OpenRun> runs;  ///< By epoch.
  std::map<core::JobId, int> begun_runs;  ///< Runs that really began.
  std::vector<StartTask> starts;          ///< All, in order.
  std::map<core::JobId, Reason> notices;  ///< The latest per job.
  std::vector<core::HostId> probes;
  std::vector<std::string> invariant_violations;
};

void AddWorker(FakeWorkers& fake, const std::string& id,
               const std::string& pool, const Resources& shape);
void SetTeamQuota(FakeWorkers& fake, const std::string& team,
                  const Resources& quota);
void Submit(FakeWorkers& fake, const JobSpec& job);

/// Applies an event and takes the effects into account.
void ApplyEvent(FakeWorkers& fake, const Event& event);

/// Lets time pass and steps.
void Step(FakeWorkers& fake, core::Millis time);

/// Begins a run, if its worker has it.
void BeginRun(FakeWorkers& fake, const TaskRef& task);

/// Ends a run and tells so.
void EndRun(FakeWorkers& fake, const TaskRef& task, TaskOutcome outcome);

/// Only run of a job; fails if there is none.
TaskRef RunOf(const FakeWorkers& fake, const std::string& job);

/// Obeys all orders to yield, and finishes or reports nothing else.
void ConfirmYieldSteps(FakeWorkers& fake);

}  // namespace camphormux::placement

#endif  // CAMPHORMUX_TEST_PLACEMENT_FAKE_WORKERS_HPP_
