#ifndef CAMPHORMUX_TEST_PLACEMENT_FAKE_WORKERS_HPP_
#define CAMPHORMUX_TEST_PLACEMENT_FAKE_WORKERS_HPP_

#include <map>
#include <string>
#include <vector>

#include "camphormux/placement/decision.hpp"

namespace camphormux::placement {

/// A run that was sent to a worker and whose end is not confirmed.
struct OpenRun {
  core::HostId worker;
  TaskRef task;
  Resources limits;
  core::Mebibytes reported;
  bool began = false;
};

/// Simulated workers. Tracks independently of the placement state what was
/// ordered and what was confirmed, and collects violations of the invariants.
struct FakeWorkers {
  State state;
  core::MonotonicTime now{core::Millis{1000000}};
  std::map<core::HostId, WorkerSpec> workers;
  std::map<core::JobId, JobSpec> jobs;
  std::map<core::TeamName, Resources> quotas;
  std::map<std::uint64_t, OpenRun> runs;  ///< By epoch.
  std::map<core::JobId, int>
      begun_runs;                 ///< Number of runs that began on a worker.
  std::vector<StartTask> starts;  ///< All starts, in order.
  std::map<core::JobId, Reason> notices;  ///< The latest notice per job.
  std::vector<core::HostId> probes;
  std::vector<std::string> invariant_violations;
};

void AddWorker(FakeWorkers& fake, const std::string& id,
               const std::string& pool, const Resources& shape);
void SetTeamQuota(FakeWorkers& fake, const std::string& team,
                  const Resources& quota);
void Submit(FakeWorkers& fake, const JobSpec& job);

/// Applies an event, processes its effects and checks the invariants.
void ApplyEvent(FakeWorkers& fake, const Event& event);

/// Advances the time and applies a Tick.
void AdvanceTime(FakeWorkers& fake, core::Millis time);

/// Begins a run and reports it, if the run is open and has not begun.
void BeginRun(FakeWorkers& fake, const TaskRef& task);

/// Ends a run and reports the outcome, if the run is open.
void EndRun(FakeWorkers& fake, const TaskRef& task, TaskOutcome outcome);

/// The first open run of a job; an empty reference if there is none.
TaskRef RunOf(const FakeWorkers& fake, const std::string& job);

/// Confirms the current yield step of each run; reports nothing else.
void ConfirmYieldSteps(FakeWorkers& fake);

}  // namespace camphormux::placement

#endif  // CAMPHORMUX_TEST_PLACEMENT_FAKE_WORKERS_HPP_
