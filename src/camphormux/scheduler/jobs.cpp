#include "camphormux/scheduler/jobs.hpp"

#include <algorithm>
#include <utility>

#include "camphormux/scheduler/arrivals.hpp"
#include "camphormux/scheduler/hosts.hpp"
#include "camphormux/scheduler/runs.hpp"
#include "camphormux/scheduler/shares.hpp"
#include "camphormux/scheduler/urgency.hpp"

namespace camphormux::scheduler {
namespace internal {

/// Limits the memory that cancellations of unknown jobs can take.
constexpr std::size_t kMaxTombstones = 20'000;
/// Ids are chosen at random, so that a caller whose id is in use hardly has a
/// reason to send it again.
constexpr core::Millis kIdInUseRetryAfter{10'000};
/// A job that exceeds a cap can run once operators have raised it.
constexpr core::Millis kAboveCapRetryAfter{60'000};

/// Adds the stored runs of a task that a previous lease holder started. Whether
/// they exist is known once their hosts report or their leases expire.
void LoadRuns(State& state, Job& job, std::uint32_t task,
              core::MonotonicTime now) {
  for (const workload::StoredRun& placed : job.tasks[task].progress.runs) {
    auto host = state.hosts.find(placed.host);
    if (host == state.hosts.end()) {
      Host missing = MakeHost(state, placed.host);
      missing.listing.incarnation = placed.incarnation;
      missing.listed = false;
      missing.gone_at = now + state.settings.listing_grace;
      missing.lease_end = now + TakeoverWait(state.settings);
      host = state.hosts.emplace(placed.host, std::move(missing)).first;
    }
    // Also if the host has another incarnation now, which may have accepted the
    // start, or may still do so.
    if (!host->second.synced &&
        host->second.listing.incarnation != placed.incarnation) {
      host->second.has_earlier_calls = true;
      host->second.lease_end = std::max(
          host->second.lease_end, now + EarlierCallsDuration(state.settings));
    }
    Run& run = AddRun(state, job, task, placed.attempt, host->second, now);
    run.phase = RunPhase::kUnanswered;
    run.is_sent = true;
    run.is_pace_in_doubt = true;
    run.has_open_copy = true;
    run.last_open_copy = now;
    RecordServed(state, job, run, now);
  }
}

bool IsPermanent(const workload::JobSpec& spec) {
  return std::any_of(spec.steps.begin(), spec.steps.end(),
                     [](const workload::Step& step) { return step.permanent; });
}

/// Updates the estimated critical path of the incomplete steps. Only relevant
/// for jobs without a schedule; occurrences of scheduled jobs have due times.
void UpdateRemainingPath(Job& job) {
  std::vector<bool> complete(job.spec.steps.size());
  for (std::size_t i = 0; i < complete.size(); ++i) {
    complete[i] = job.open_in_step[i] == 0;
  }
  job.remaining_path = workload::CriticalPath(job.spec, complete);
}

void CountOpenTasks(Job& job) {
  const std::size_t steps = job.spec.steps.size();
  job.open_in_step.assign(steps * std::max(1U, job.spec.occurrences), 0);
  job.open_tasks = 0;
  for (std::uint32_t task = 0; task < job.tasks.size(); ++task) {
    if (!job.tasks[task].progress.done) {
      const workload::TaskPlace place = workload::PlaceOf(job.spec, task);
      ++job.open_in_step[place.occurrence * steps + place.step];
      ++job.open_tasks;
    }
  }
  UpdateRemainingPath(job);
}

std::vector<core::Millis> ExpectRunTimes(const State& state,
                                         const workload::JobSpec& spec) {
  std::vector<core::Millis> run_times;
  run_times.reserve(spec.steps.size());
  for (const workload::Step& step : spec.steps) {
    run_times.push_back(state.settings.learn_run_times
                            ? ExpectedRunTime(state.run_times,
                                              {spec.queue, step.image},
                                              step.estimate)
                            : step.estimate);
  }
  return run_times;
}

workload::JobPolicy PolicyOf(const workload::Queue& queue,
                             const workload::JobSpec& spec) {
  workload::JobPolicy policy;
  policy.pool = queue.pool;
  policy.priority = queue.priority;
  policy.max_failures = std::max(1U, queue.max_failures);
  if (!IsPermanent(spec) && spec.occurrences == 0) {
    const auto path =
        static_cast<double>(workload::CriticalPath(spec, {}).count());
    policy.objective =
        core::Millis(static_cast<std::int64_t>(path * queue.stretch)) +
        queue.latency_target;
  }
  return policy;
}

bool HasRuns(const std::vector<workload::TaskProgress>& tasks) {
  return std::any_of(
      tasks.begin(), tasks.end(),
      [](const workload::TaskProgress& task) { return !task.runs.empty(); });
}

bool HasRuns(const Job& job) {
  return std::any_of(job.tasks.begin(), job.tasks.end(),
                     [](const Task& task) { return !task.runs.empty(); });
}

Job MakeJob(workload::JobSpec spec, workload::JobPolicy policy,
            std::vector<core::Millis> run_times) {
  Job job;
  job.spec = std::move(spec);
  job.run_times = std::move(run_times);
  job.policy = std::move(policy);
  job.permanent = IsPermanent(job.spec);
  job.core_seconds = workload::CoreSeconds(job.spec);
  job.tasks.resize(workload::TaskCount(job.spec));
  CountOpenTasks(job);
  return job;
}

/// Gives a job without a policy that of its queue, if the catalog has it.
void AssignPolicy(State& state, Job& job, core::WallTime wall) {
  if (HasPolicy(job) || workload::IsFinal(job.state)) {
    return;
  }
  const workload::Queue* queue =
      workload::FindQueue(state.catalog, job.spec.queue);
  if (queue == nullptr) {
    return;
  }
  job.policy = PolicyOf(*queue, job.spec);
  state.unsaved.insert(job.spec.id);
  const bool failed =
      std::any_of(job.tasks.begin(), job.tasks.end(), [&](const Task& task) {
        return task.progress.failed_attempts.size() >= job.policy.max_failures;
      });
  if (failed) {
    EndJob(state, job, workload::JobState::kFailed, wall);
  }
}

/// Returns on whose behalf a job is submitted. Without an account, it is known
/// to be nobody's only on a public queue: nodes of an earlier version, or with
/// an earlier catalog, do not tell the account.
workload::Caller SubmitterOf(const State& state,
                             const workload::JobSpec& spec) {
  if (!spec.account.value.empty()) {
    return {spec.account};
  }
  const workload::Queue* queue = workload::FindQueue(state.catalog, spec.queue);
  const bool is_public =
      state.catalog.needs_keys && queue != nullptr && queue->is_public;
  return is_public ? workload::Caller{workload::AccountName{}}
                   : workload::Caller{};
}

/// Returns whether all jobs that a caller may access are accessible to another.
bool Includes(const workload::Caller& other, const workload::Caller& caller) {
  return !other.account || other == caller;
}

}  // namespace internal

std::string_view Describe(RefusalReason reason) noexcept {
  switch (reason) {
    case RefusalReason::kNone:
      break;
    case RefusalReason::kNoTimeLeft:
      return "the job cannot complete in time";
    case RefusalReason::kShareInUse:
      return "the account has more work than its share";
    case RefusalReason::kAboveCap:
      return "the job exceeds the cap of its account";
    case RefusalReason::kIdInUse:
      return "the id of the job is in use";
  }
  return "";
}

bool HasPolicy(const Job& job) { return !job.policy.pool.value.empty(); }

std::size_t CountJobsWithoutPolicy(const State& state) {
  return static_cast<std::size_t>(std::count_if(
      state.jobs.begin(), state.jobs.end(),
      [](const auto& entry) { return !HasPolicy(entry.second); }));
}

AdmissionResult Submit(State& state, workload::JobSpec spec,
                       core::MonotonicTime now, core::WallTime wall) {
  if (IsForeign(state, spec.id, internal::SubmitterOf(state, spec))) {
    return {Admission::kRefused, internal::kIdInUseRetryAfter,
            RefusalReason::kIdInUse};
  }
  if (state.closed.contains(spec.id)) {
    return {Admission::kAccepted};
  }
  const auto known = state.jobs.find(spec.id);
  if (known != state.jobs.end()) {
    return {known->second.saved ? Admission::kAccepted : Admission::kStoring};
  }
  const workload::Queue* queue = workload::FindQueue(state.catalog, spec.queue);
  if (queue == nullptr) {
    return {Admission::kNoQueue};
  }
  std::vector<core::Millis> run_times = internal::ExpectRunTimes(state, spec);
  workload::JobPolicy policy = internal::PolicyOf(*queue, spec);
  Job job = internal::MakeJob(std::move(spec), std::move(policy),
                              std::move(run_times));
  job.policy_saved = true;
  job.submitted = now;
  job.accepted = wall;
  const auto tombstone = state.tombstones.find(job.spec.id);
  if (tombstone != state.tombstones.end() &&
      workload::MayAccess(tombstone->second.caller, job.spec.account)) {
    const core::JobId id = job.spec.id;
    EndJob(state, state.jobs.emplace(id, std::move(job)).first->second,
           workload::JobState::kCancelled, wall);
    return {Admission::kStoring};
  }
  if (ExceedsCap(state, job.spec)) {
    ++state.counters.refused;
    RecordRefusal(state, job.spec.account, RefusalReason::kAboveCap);
    return {Admission::kRefused, internal::kAboveCapRetryAfter,
            RefusalReason::kAboveCap};
  }
  if (const auto wait = RefusalRetryAfter(state, job, now)) {
    ++state.counters.refused;
    RecordRefusal(state, job.spec.account, RefusalReason::kNoTimeLeft);
    return {Admission::kRefused, *wait, RefusalReason::kNoTimeLeft};
  }
  const core::JobId id = job.spec.id;
  RecordArrival(state, job, now);
  RecordWaiting(state, job);
  state.jobs.emplace(id, std::move(job));
  ++state.counters.accepted;
  return {Admission::kStoring};
}

void RecordRejectedSubmission(State& state, const workload::JobSpec& spec,
                              core::MonotonicTime now) {
  const workload::Queue* queue = workload::FindQueue(state.catalog, spec.queue);
  if (queue == nullptr) {
    return;
  }
  state.last_pending[queue->pool] = now;
  const auto run_times = internal::ExpectRunTimes(state, spec);
  RecordArrival(
      state,
      internal::MakeJob(spec, internal::PolicyOf(*queue, spec), run_times),
      now);
}

void ConfirmSubmission(State& state, const core::JobId& id) {
  const auto found = state.jobs.find(id);
  if (found != state.jobs.end()) {
    found->second.saved = true;
  }
}

void DropSubmission(State& state, const core::JobId& id) {
  const auto found = state.jobs.find(id);
  if (found != state.jobs.end() && !found->second.saved) {
    state.jobs.erase(found);
    state.unsaved.erase(id);
  }
}

void EndJob(State& state, Job& job, workload::JobState final_state,
            core::WallTime wall) {
  if (workload::IsFinal(job.state)) {
    return;
  }
  job.state = final_state;
  job.ended = wall;
  state.unsaved.insert(job.spec.id);
  for (Task& task : job.tasks) {
    for (const RunId run : task.runs) {
      RequestStop(state, state.runs.at(run));
    }
  }
}

bool IsForeign(const State& state, const core::JobId& id,
               const workload::Caller& caller) {
  const auto open = state.jobs.find(id);
  if (open != state.jobs.end()) {
    return !workload::MayAccess(caller, open->second.spec.account);
  }
  const auto closed = state.closed.find(id);
  return closed != state.closed.end() &&
         !workload::MayAccess(caller, closed->second.account);
}

bool Cancel(State& state, const core::JobId& id, core::WallTime wall,
            const workload::Caller& caller) {
  if (IsForeign(state, id, caller)) {
    return false;
  }
  const auto found = state.jobs.find(id);
  if (found == state.jobs.end()) {
    return state.closed.contains(id);
  }
  EndJob(state, found->second, workload::JobState::kCancelled, wall);
  return true;
}

TombstoneStatus AddTombstone(State& state, const core::JobId& id,
                             const workload::Caller& caller) {
  const auto found = state.tombstones.find(id);
  if (found != state.tombstones.end()) {
    if (internal::Includes(found->second.caller, caller)) {
      return found->second.is_stored ? TombstoneStatus::kStored
                                     : TombstoneStatus::kStoring;
    }
    if (!internal::Includes(caller, found->second.caller)) {
      return TombstoneStatus::kTooMany;
    }
    found->second = Tombstone{false, {}, caller};
    return TombstoneStatus::kAdded;
  }
  if (state.tombstones.size() >= internal::kMaxTombstones) {
    return TombstoneStatus::kTooMany;
  }
  state.tombstones.emplace(id, Tombstone{false, {}, caller});
  return TombstoneStatus::kAdded;
}

void ConfirmTombstone(State& state, const core::JobId& id,
                      core::MonotonicTime now) {
  const auto found = state.tombstones.find(id);
  if (found != state.tombstones.end()) {
    found->second.is_stored = true;
    found->second.forget_at = now + state.settings.status_retention;
  }
}

void DropTombstone(State& state, const core::JobId& id) {
  const auto found = state.tombstones.find(id);
  if (found != state.tombstones.end() && !found->second.is_stored) {
    state.tombstones.erase(found);
  }
}

void LoadJob(State& state, const core::JobId& id,
             std::optional<workload::StoredJob> stored,
             const std::optional<workload::Progress>& progress,
             core::MonotonicTime now, core::WallTime wall) {
  if (progress && workload::IsFinal(progress->state)) {
    // Counted from now: the age is not known, as clocks can be set.
    const core::MonotonicTime forget_at = now + state.settings.status_retention;
    if (workload::IsTombstone(*progress)) {
      state.tombstones[id] = {true, forget_at, {progress->account}};
    } else {
      state.closed[id] =
          ClosedJob{progress->state, forget_at,
                    progress->account.value_or(workload::AccountName{})};
    }
    if (!internal::HasRuns(progress->tasks)) {
      return;
    }
  }
  if (!stored) {
    return;
  }
  std::vector<core::Millis> run_times =
      internal::ExpectRunTimes(state, stored->spec);
  Job job = internal::MakeJob(
      std::move(stored->spec),
      std::move(stored->policy).value_or(workload::JobPolicy{}),
      std::move(run_times));
  job.saved = true;
  job.policy_saved = HasPolicy(job);
  const bool is_final = progress && workload::IsFinal(progress->state);
  if (is_final) {
    job.state = progress->state;
    job.ended = progress->ended;
    job.final_saved = true;
    job.final_runs_saved = true;
  }
  job.accepted = progress ? progress->accepted : wall;
  const core::Millis age = std::max(core::Millis(0), wall - job.accepted);
  job.submitted = now - age;
  for (std::size_t i = 0; i < job.tasks.size(); ++i) {
    workload::TaskProgress& task = job.tasks[i].progress;
    if (progress && i < progress->tasks.size()) {
      task = progress->tasks[i];
    }
  }
  internal::CountOpenTasks(job);
  Job& loaded = state.jobs.insert_or_assign(id, std::move(job)).first->second;
  for (std::uint32_t i = 0; i < loaded.tasks.size(); ++i) {
    // A run of a task that is done counts against the cap until it has ended.
    if (is_final || !loaded.tasks[i].progress.done ||
        !loaded.spec.account.value.empty()) {
      internal::LoadRuns(state, loaded, i, now);
    }
    loaded.tasks[i].progress.runs.clear();
  }
  internal::AssignPolicy(state, loaded, wall);
}

void ApplyCatalog(State& state, workload::Catalog catalog,
                  core::WallTime wall) {
  state.catalog = std::move(catalog);
  for (auto& [id, job] : state.jobs) {
    internal::AssignPolicy(state, job, wall);
  }
  for (auto& [id, host] : state.hosts) {
    UpdateUse(state, host);
  }
}

std::optional<workload::JobState> VisibleState(const State& state,
                                               const core::JobId& id,
                                               const workload::Caller& caller) {
  if (IsForeign(state, id, caller)) {
    return std::nullopt;
  }
  const auto closed = state.closed.find(id);
  if (closed != state.closed.end()) {
    return closed->second.state;
  }
  const auto found = state.jobs.find(id);
  if (found == state.jobs.end() || !found->second.saved) {
    return std::nullopt;
  }
  const Job& job = found->second;
  if (workload::IsFinal(job.state) && !job.final_saved) {
    return workload::JobState::kRunning;
  }
  return job.state;
}

std::size_t PendingJobs(const State& state, const workload::QueueName& queue) {
  return static_cast<std::size_t>(std::count_if(
      state.jobs.begin(), state.jobs.end(), [&](const auto& entry) {
        const Job& job = entry.second;
        return job.saved && job.state == workload::JobState::kQueued &&
               job.spec.queue == queue;
      }));
}

workload::Progress ProgressOf(const State& state, const Job& job) {
  workload::Progress progress;
  progress.state = job.state;
  progress.queue = job.spec.queue;
  progress.accepted = job.accepted;
  progress.ended = job.ended;
  if (workload::IsFinal(job.state)) {
    // The record of the job, which has the account as well, is removed.
    if (!job.spec.account.value.empty()) {
      progress.account = job.spec.account;
    }
    if (!internal::HasRuns(job)) {
      return progress;
    }
  }
  for (const Task& task : job.tasks) {
    workload::TaskProgress& entry = progress.tasks.emplace_back();
    if (!workload::IsFinal(job.state)) {
      entry = task.progress;
    }
    for (const RunId id : task.runs) {
      const Run& run = state.runs.at(id);
      entry.runs.push_back({run.host,
                            state.hosts.at(run.host).listing.incarnation,
                            run.name.attempt});
    }
  }
  return progress;
}

void ConfirmProgress(State& state, const core::JobId& id,
                     workload::JobState stored, core::MonotonicTime now) {
  const auto found = state.jobs.find(id);
  if (found == state.jobs.end() || !workload::IsFinal(stored)) {
    return;
  }
  Job& job = found->second;
  job.final_saved = true;
  state.closed[id] = ClosedJob{job.state, now + state.settings.status_retention,
                               job.spec.account};
  state.tombstones.erase(id);
  RemoveIfEnded(state, id);
}

void RemoveIfEnded(State& state, const core::JobId& id) {
  const auto found = state.jobs.find(id);
  if (found == state.jobs.end() || !found->second.final_saved ||
      internal::HasRuns(found->second)) {
    return;
  }
  if (found->second.final_runs_saved) {
    state.unsaved.insert(id);
  } else {
    state.jobs.erase(found);
  }
}

std::vector<core::JobId> ExpireClosedJobs(State& state,
                                          core::MonotonicTime now) {
  std::vector<core::JobId> forgotten;
  for (auto it = state.closed.begin(); it != state.closed.end();) {
    if (it->second.forget_at <= now && !state.jobs.contains(it->first)) {
      forgotten.push_back(it->first);
      it = state.closed.erase(it);
    } else {
      ++it;
    }
  }
  for (auto it = state.tombstones.begin(); it != state.tombstones.end();) {
    if (it->second.is_stored && it->second.forget_at <= now &&
        !state.jobs.contains(it->first)) {
      forgotten.push_back(it->first);
      it = state.tombstones.erase(it);
    } else {
      ++it;
    }
  }
  return forgotten;
}

void CompleteTask(State& state, Job& job, std::uint32_t task,
                  core::WallTime wall) {
  Task& entry = job.tasks[task];
  if (entry.progress.done) {
    return;
  }
  entry.progress.done = true;
  entry.progress.checkpoint.clear();
  const workload::TaskPlace place = workload::PlaceOf(job.spec, task);
  const bool gang = job.spec.steps[place.step].gang;
  for (const RunId run : entry.runs) {
    // Members of a gang stop on their own when one of them is done.
    if (!gang) {
      RequestStop(state, state.runs.at(run));
    }
  }
  const std::size_t step =
      place.occurrence * job.spec.steps.size() + place.step;
  --job.open_in_step[step];
  --job.open_tasks;
  if (job.open_in_step[step] == 0) {
    internal::UpdateRemainingPath(job);
  }
  state.unsaved.insert(job.spec.id);
  if (job.open_tasks == 0) {
    EndJob(state, job, workload::JobState::kSucceeded, wall);
  }
}

bool IsStepReady(const State& state, const Job& job, std::uint32_t occurrence,
                 std::uint32_t step, core::WallTime wall) {
  const std::size_t base = occurrence * job.spec.steps.size();
  if (job.open_in_step[base + step] == 0) {
    return false;
  }
  for (const std::uint32_t before : job.spec.steps[step].after) {
    if (job.open_in_step[base + before] > 0) {
      return false;
    }
  }
  if (job.spec.occurrences == 0) {
    return true;
  }
  const core::WallTime due =
      job.spec.first_run + job.spec.interval * occurrence;
  // Half of the tolerance is reserved for clock differences between hosts.
  return wall >= due - state.settings.max_early_start / 2;
}

}  // namespace camphormux::scheduler
