#include "test/placement/fake_workers.hpp"

#include <algorithm>
#include <utility>

namespace camphormux::placement {
namespace {

void AddViolation(FakeWorkers& fake, const std::string& text,
                  const StartTask& start) {
  fake.invariant_violations.push_back(text + ": " + start.task.job.value +
                                      " on " + start.worker.value);
}

/// Memory of a worker that is reserved or reported as used by its runs.
core::Mebibytes ReservedOrUsedMemory(const FakeWorkers& fake,
                                     const core::HostId& worker) {
  core::Mebibytes sum;
  for (const auto& [epoch, run] : fake.runs) {
    if (run.worker != worker) continue;
    sum += std::max(run.limits.memory, run.reported);
  }
  return sum;
}

/// Sum of the resources reserved by a team's non-preemptible tasks that are not
/// abandoned.
Resources NonPreemptibleUse(const FakeWorkers& fake,
                            const core::TeamName& team) {
  Resources sum;
  for (const Task& task : fake.state.tasks) {
    if (task.job == kNone || task.abandoned || !task.non_preemptible) continue;
    if (fake.jobs.at(fake.state.jobs[task.job].id).team == team) {
      sum += task.reserved;
    }
  }
  return sum;
}

Resources TotalUse(const FakeWorkers& fake) {
  Resources sum;
  for (const Task& task : fake.state.tasks) {
    if (task.job != kNone && !task.abandoned) sum += task.reserved;
  }
  return sum;
}

void CheckStart(FakeWorkers& fake, const StartTask& start) {
  const JobSpec& job = fake.jobs.at(start.task.job);
  const WorkerSpec& worker = fake.workers.at(start.worker);
  if (ReservedOrUsedMemory(fake, start.worker) + start.limits.memory >
      worker.shape.memory) {
    AddViolation(fake, "memory overcommitted", start);
  }
  if (job.pool != worker.pool) AddViolation(fake, "wrong pool", start);
  if (job.repeatable) return;
  const bool is_open = std::any_of(
      fake.runs.begin(), fake.runs.end(),
      [&](const auto& run) { return run.second.task.job == job.id; });
  if (is_open)
    AddViolation(fake, "started again without a confirmed end", start);
  if (fake.begun_runs[job.id] > 0) AddViolation(fake, "ran twice", start);
}

/// Checks that the non-preemptible tasks of the job's team are within the
/// team's quota.
void CheckQuotas(FakeWorkers& fake, const StartTask& start) {
  const JobSpec& job = fake.jobs.at(start.task.job);
  const Resources& quota = fake.quotas.at(job.team);
  if (!Fits(NonPreemptibleUse(fake, job.team), quota)) {
    AddViolation(fake, "non-preemptible tasks over quota", start);
  }
}

void ProcessEffect(FakeWorkers& fake, const Effect& effect) {
  if (const auto* start = std::get_if<StartTask>(&effect)) {
    CheckStart(fake, *start);
    CheckQuotas(fake, *start);
    fake.runs[start->task.epoch.value] = {
        start->worker, start->task, start->limits, {}, false};
    fake.starts.push_back(*start);
  } else if (const auto* notice = std::get_if<NotifyTeam>(&effect)) {
    fake.notices[notice->job] = notice->reason;
  } else if (const auto* probe = std::get_if<ProbeWorker>(&effect)) {
    fake.probes.push_back(probe->worker);
  }
}

}  // namespace

void AddWorker(FakeWorkers& fake, const std::string& id,
               const std::string& pool, const Resources& shape) {
  const WorkerSpec worker{{id},
                          {"z"},
                          {"r" + std::to_string(fake.workers.size() / 4)},
                          {pool},
                          shape};
  fake.workers[worker.id] = worker;
  ApplyEvent(fake, WorkerAdded{worker});
}

void SetTeamQuota(FakeWorkers& fake, const std::string& team,
                  const Resources& quota) {
  fake.quotas[{team}] = quota;
  ApplyEvent(fake, QuotaSet{{team}, quota});
}

void Submit(FakeWorkers& fake, const JobSpec& job) {
  fake.jobs.try_emplace(job.id, job);
  ApplyEvent(fake, JobSubmitted{job});
}

void ApplyEvent(FakeWorkers& fake, const Event& event) {
  if (const auto* moved = std::get_if<PoolChanged>(&event)) {
    fake.workers.at(moved->worker).pool = moved->pool;
  }
  // Usage may exceed the sum of all quotas only by starts within a team's own
  // quota while other teams borrow.
  const bool was_within = Fits(TotalUse(fake), fake.state.quota_total);
  for (const Effect& effect : Apply(fake.state, event, fake.now)) {
    ProcessEffect(fake, effect);
  }
  if (was_within && !Fits(fake.state.used_total, fake.state.quota_total)) {
    const bool lent = std::any_of(
        fake.state.teams.begin(), fake.state.teams.end(), [](const Team& team) {
          return team.quota && !Fits(team.used, *team.quota);
        });
    if (!lent)
      fake.invariant_violations.push_back(
          "each team is within its quota, but total usage is not");
  }
}

void AdvanceTime(FakeWorkers& fake, core::Millis time) {
  fake.now += time;
  ApplyEvent(fake, Tick{});
}

void BeginRun(FakeWorkers& fake, const TaskRef& task) {
  const auto run = fake.runs.find(task.epoch.value);
  if (run == fake.runs.end() || run->second.began) return;
  run->second.began = true;
  ++fake.begun_runs[task.job];
  ApplyEvent(fake, TaskStarted{task});
}

void EndRun(FakeWorkers& fake, const TaskRef& task, TaskOutcome outcome) {
  const auto run = fake.runs.find(task.epoch.value);
  if (run == fake.runs.end()) return;
  if (!run->second.began && outcome != TaskOutcome::kNeverBegan) {
    BeginRun(fake, task);
  }
  // `task` may refer into the run that is erased.
  const TaskEnded ended{task, outcome};
  fake.runs.erase(task.epoch.value);
  ApplyEvent(fake, ended);
}

TaskRef RunOf(const FakeWorkers& fake, const std::string& job) {
  for (const auto& [epoch, run] : fake.runs) {
    if (run.task.job.value == job) return run.task;
  }
  return {};
}

void ConfirmYieldSteps(FakeWorkers& fake) {
  std::vector<std::pair<TaskRef, YieldStep>> yielding;
  for (const auto& [epoch, run] : fake.runs) {
    const auto known = fake.state.tasks_by_epoch.find(run.task.epoch);
    if (known == fake.state.tasks_by_epoch.end()) continue;
    yielding.emplace_back(run.task, fake.state.tasks[known->second].yield);
  }
  for (const auto& [task, step] : yielding) {
    if (step == YieldStep::kThrottling) ApplyEvent(fake, TaskThrottled{task});
    if (step == YieldStep::kCheckpointing)
      ApplyEvent(fake, TaskCheckpointed{task});
    if (step == YieldStep::kStopping) EndRun(fake, task, TaskOutcome::kStopped);
  }
}

}  // namespace camphormux::placement
