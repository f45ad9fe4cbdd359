#include "camphormux/placement/health.hpp"

#include <algorithm>

#include "camphormux/placement/queue.hpp"
#include "camphormux/placement/tables.hpp"
#include "camphormux/placement/workers.hpp"

namespace camphormux::placement::internal {
namespace {

/// Failed jobs that are recorded per worker.
constexpr std::size_t kMaxFailedJobs = 16;

bool Contains(const std::vector<std::uint32_t>& numbers, std::uint32_t number) {
  return std::find(numbers.begin(), numbers.end(), number) != numbers.end();
}

/// Number of jobs that failed on this worker only. A job that fails on several
/// workers is no evidence against any of them.
std::uint32_t CountFailedOnlyHere(const State& state,
                                  const WorkerHealth& health) {
  return static_cast<std::uint32_t>(std::count_if(
      health.failed_jobs.begin(), health.failed_jobs.end(),
      [&](JobIndex job) { return state.jobs[job].failed_on.size() == 1; }));
}

bool MayQuarantine(const State& state, const Worker& worker) {
  if (worker.pool == kNone) return true;
  const Pool& pool = state.pools[worker.pool];
  return pool.quarantined == 0 ||
         pool.quarantined + 1 <= state.settings.quarantine_share * pool.workers;
}

void ArmProbeTimer(State& state, WorkerIndex worker, core::MonotonicTime now) {
  AddTimer(state, {now + state.workers[worker].health.probe_interval,
                   TimerKind::kProbe, worker, core::Epoch{}});
}

void Quarantine(State& state, WorkerIndex index, core::MonotonicTime now) {
  Worker& worker = state.workers[index];
  WorkerHealth& health = worker.health;
  health.quarantined = true;
  health.probe_interval = std::clamp(health.probe_interval * 2,
                                     state.settings.initial_probe_interval,
                                     state.settings.max_probe_interval);
  for (const JobIndex job : health.failed_jobs) {
    std::erase(state.jobs[job].failed_on, index);
  }
  health.failed_jobs.clear();
  health.failed_jobs_proven = 0;
  if (worker.pool != kNone) ++state.pools[worker.pool].quarantined;
  ++state.counters.quarantined;
  RefreshHeadroom(state, index);
  ArmProbeTimer(state, index, now);
}

void QuarantineIfFaulty(State& state, WorkerIndex index,
                        core::MonotonicTime now) {
  const Worker& worker = state.workers[index];
  if (worker.health.quarantined) return;
  const bool is_bad = worker.health.failed_jobs_proven >=
                          state.settings.quarantine_after_proven ||
                      CountFailedOnlyHere(state, worker.health) +
                              worker.health.failed_jobs_proven >=
                          state.settings.quarantine_after;
  if (is_bad && MayQuarantine(state, worker)) Quarantine(state, index, now);
}

void GiveUp(State& state, JobIndex index, Effects& effects) {
  Job& job = state.jobs[index];
  job.phase = JobPhase::kGivenUp;
  ++state.counters.given_up;
  effects.push_back(NotifyTeam{
      job.id, GivenUp{static_cast<std::uint32_t>(job.failed_on.size()),
                      job.out_of_memory}});
  RecordEndedJob(state, index);
}

/// Limits a number of distinct workers to the size of the pool, as a job cannot
/// fail on more workers than its pool has.
std::uint32_t DistinctWorkersNeeded(const State& state, JobIndex job,
                                    std::uint32_t wanted) {
  const Pool& pool = state.pools[ClassOf(state, job).key.pool];
  return std::clamp(pool.workers, 1U, wanted);
}

}  // namespace

void RecordSuccess(State& state, JobIndex index, WorkerIndex worker,
                   core::MonotonicTime now) {
  WorkerHealth& health = state.workers[worker].health;
  health.failed_jobs.clear();
  health.failed_jobs_proven = 0;
  // A quarantined worker may still finish an earlier task; only a successful
  // probe ends the quarantine.
  if (!health.quarantined) health.probe_interval = core::Millis{0};
  const std::vector<WorkerIndex> failed_on = state.jobs[index].failed_on;
  for (const WorkerIndex suspect : failed_on) {
    WorkerHealth& other = state.workers[suspect].health;
    if (!Contains(other.failed_jobs, index)) continue;
    std::erase(other.failed_jobs, index);
    ++other.failed_jobs_proven;
    QuarantineIfFaulty(state, suspect, now);
  }
  state.jobs[index].failed_on.clear();
}

void RecordFailure(State& state, JobIndex index, WorkerIndex worker,
                   core::MonotonicTime now) {
  Job& job = state.jobs[index];
  ++job.failures;
  if (!Contains(job.failed_on, worker)) job.failed_on.push_back(worker);
  WorkerHealth& health = state.workers[worker].health;
  if (!Contains(health.failed_jobs, index)) {
    if (health.failed_jobs.size() >= kMaxFailedJobs) {
      health.failed_jobs.erase(health.failed_jobs.begin());
    }
    health.failed_jobs.push_back(index);
  }
  QuarantineIfFaulty(state, worker, now);
}

void RetryOrHoldBack(State& state, JobIndex index, core::MonotonicTime now,
                     Effects& effects) {
  const Settings& settings = state.settings;
  Job& job = state.jobs[index];
  const auto distinct = static_cast<std::uint32_t>(job.failed_on.size());
  const std::uint32_t hold =
      DistinctWorkersNeeded(state, index, settings.hold_back_after);
  const std::uint32_t give_up =
      DistinctWorkersNeeded(state, index, settings.give_up_after);
  if ((distinct >= give_up && job.failures >= settings.give_up_after) ||
      job.failures >= 2 * settings.give_up_after) {
    GiveUp(state, index, effects);
    return;
  }
  if (distinct < hold) {
    Enqueue(state, index, QueueEnd::kFront);
    return;
  }
  core::Millis pause = settings.initial_back_off;
  for (std::uint32_t i = hold; i < distinct; ++i) pause *= 2;
  job.phase = JobPhase::kHeldBack;
  job.back_off_end = now + std::min(pause, settings.max_back_off);
  AddTimer(state,
           {job.back_off_end, TimerKind::kBackOffEnd, index, core::Epoch{}});
  effects.push_back(NotifyTeam{job.id, HeldBack{distinct, job.back_off_end}});
}

void ReleaseHeldBack(State& state, const Timer& timer) {
  const Job& job = state.jobs[timer.number];
  if (job.phase != JobPhase::kHeldBack || job.back_off_end != timer.due) return;
  Enqueue(state, timer.number, QueueEnd::kBack);
}

void RequestProbe(State& state, const Timer& timer, core::MonotonicTime now,
                  Effects& effects) {
  const Worker& worker = state.workers[timer.number];
  if (!worker.health.quarantined) return;
  effects.push_back(ProbeWorker{worker.id});
  // The probe is repeated if no result arrives.
  ArmProbeTimer(state, timer.number, now);
}

void RecordProbe(State& state, WorkerIndex index, bool succeeded) {
  Worker& worker = state.workers[index];
  WorkerHealth& health = worker.health;
  if (!health.quarantined) return;
  if (!succeeded) {
    health.probe_interval =
        std::min(health.probe_interval * 2, state.settings.max_probe_interval);
    return;
  }
  health.quarantined = false;
  if (worker.pool != kNone) {
    --state.pools[worker.pool].quarantined;
    MarkDirty(state, worker.pool);
  }
  RefreshHeadroom(state, index);
}

}  // namespace camphormux::placement::internal
