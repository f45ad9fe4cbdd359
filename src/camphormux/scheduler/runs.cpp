#include "camphormux/scheduler/runs.hpp"

#include <algorithm>
#include <utility>

#include "camphormux/scheduler/availability.hpp"
#include "camphormux/scheduler/hosts.hpp"
#include "camphormux/scheduler/jobs.hpp"
#include "camphormux/scheduler/load.hpp"
#include "camphormux/scheduler/pacing.hpp"
#include "camphormux/scheduler/shares.hpp"
#include "camphormux/workload/validate.hpp"

namespace camphormux::scheduler {
namespace internal {

/// Back-off after a host refused a start for lack of resources: its next report
/// can have arrived by then.
constexpr core::Millis kRefusalBackoff{200};
/// Back-off after a host reported itself unhealthy: one health check interval.
constexpr core::Millis kUnhealthyBackoff{1000};
/// A stop is sent again if its run is still listed after this time; longer than
/// a call and its answer.
constexpr core::Millis kStopRetryInterval{500};
/// A start without an answer is repeated after this time; longer than a call
/// and its answer.
constexpr core::Millis kStartRepeatInterval{1000};
/// A run without progress is replaced after this minimum or a multiple of its
/// estimate, whichever is longer; estimates are often wrong by a factor of two.
constexpr core::Millis kMinStallTimeout{2000};
constexpr int kStallFactor = 3;
/// A permanent task that fails later than this after its start has been at
/// work. Such tasks may fail at any time, so it says nothing about their host.
constexpr core::Millis kMinPermanentRun{2000};
/// Number of attempts to skip when a host has seen a newer attempt.
constexpr std::uint32_t kAttemptSkip = 16;

Run* FindRun(State& state, const Task& task, const core::HostId& host,
             std::uint32_t attempt) {
  for (const RunId id : task.runs) {
    Run& run = state.runs.at(id);
    if (run.host == host && run.name.attempt == attempt) {
      return &run;
    }
  }
  return nullptr;
}

/// Sets the checkpoint of a task. In a gang it is set for all members, which
/// continue from the same checkpoint.
void SetCheckpoint(Job& job, std::uint32_t task,
                   const std::string& checkpoint) {
  if (checkpoint.empty() || checkpoint.size() > workload::kMaxCheckpointBytes ||
      job.tasks[task].progress.done) {
    return;
  }
  const workload::TaskPlace place = workload::PlaceOf(job.spec, task);
  const workload::Step& step = job.spec.steps[place.step];
  const std::uint32_t first = step.gang ? task - place.index : task;
  const std::uint32_t count = step.gang ? step.count : 1;
  for (std::uint32_t i = first; i < first + count; ++i) {
    job.tasks[i].progress.checkpoint = checkpoint;
  }
}

void CountFailure(State& state, Job& job, std::uint32_t task,
                  const core::HostId& host, std::uint32_t attempt,
                  core::WallTime wall) {
  const workload::TaskPlace place = workload::PlaceOf(job.spec, task);
  const workload::Step& step = job.spec.steps[place.step];
  job.tasks[task].failed_on = host;
  if (step.permanent) {
    return;
  }
  // A gang fails as a whole; its failures are counted at its first member.
  const std::uint32_t counted = step.gang ? task - place.index : task;
  auto& failed = job.tasks[counted].progress.failed_attempts;
  failed.insert(attempt);
  state.unsaved.insert(job.spec.id);
  if (HasPolicy(job) && failed.size() >= job.policy.max_failures) {
    EndJob(state, job, workload::JobState::kFailed, wall);
  }
}

void CompleteGang(State& state, Job& job, std::uint32_t task,
                  core::WallTime wall) {
  const workload::TaskPlace place = workload::PlaceOf(job.spec, task);
  const std::uint32_t first = task - place.index;
  for (std::uint32_t i = 0; i < job.spec.steps[place.step].count; ++i) {
    CompleteTask(state, job, first + i, wall);
  }
}

void RecordMissingEnds(State& state, const Host& host, EndNumber reported) {
  const EndNumber expected = core::Next(host.ended);
  // A previous holder may have acknowledged ends, unless the host has restarted
  // since.
  if ((host.ended.value > 0 || host.restarted) && reported > expected) {
    state.missing_ends.push_back({host.listing.id, host.listing.incarnation,
                                  expected, EndNumber{reported.value - 1}});
  }
}

void RecordUnexpectedEnd(State& state, const Host& host, const Task& task,
                         const ReportedEnd& end) {
  UnexpectedEnd& unexpected = state.unexpected_ends.emplace_back();
  unexpected.name = end.name;
  unexpected.host = host.listing.id;
  unexpected.incarnation = host.listing.incarnation;
  unexpected.kind = end.kind;
  if (!task.runs.empty()) {
    unexpected.other_host = state.runs.at(task.runs.front()).host;
  }
}

/// Learns how long a task took, if the run shows it: a whole run by itself,
/// near its data, that this lease holder has started.
void LearnRunTime(State& state, const Job& job, const Run& run,
                  const Host& host, core::MonotonicTime now) {
  const workload::Step& step = job.spec.steps[run.name.place.step];
  const bool is_near =
      step.data_rack.value.empty() || step.data_rack == host.listing.rack;
  const bool is_started_here = run.token.value > 0 && !run.has_open_copy;
  if (!state.settings.learn_run_times || step.gang || step.permanent ||
      step.best_effort || step.colocated || !run.resumed_from.empty() ||
      !is_near || !is_started_here || job.tasks[run.task].runs.size() != 1) {
    return;
  }
  Learn(state.run_times,
        {{job.spec.queue, step.image}, step.estimate, now - run.ordered});
}

void ProcessEnd(State& state, Host& host, const ReportedEnd& end,
                core::MonotonicTime now, core::WallTime wall) {
  const auto found = state.jobs.find(end.name.job);
  if (found == state.jobs.end()) {
    return;
  }
  Job& job = found->second;
  const auto position = workload::PositionOf(job.spec, end.name.place);
  if (!position) {
    return;
  }
  Task& task = job.tasks[*position];
  bool was_at_work = false;
  if (const Run* run =
          FindRun(state, task, host.listing.id, end.name.attempt)) {
    RecordRunTime(state, job, *run, now - run->ordered);
    if (end.kind == EndKind::kDone) {
      LearnRunTime(state, job, *run, host, now);
    }
    was_at_work = run->permanent && now >= run->ordered + kMinPermanentRun;
    RemoveRun(state, run->id, std::nullopt);
  } else if (host.synced || host.restarted) {
    RecordUnexpectedEnd(state, host, task, end);
  }
  task.progress.next_attempt =
      std::max(task.progress.next_attempt, end.name.attempt + 1);
  if (workload::IsFinal(job.state) || task.progress.done) {
    return;
  }
  const workload::Step& step = job.spec.steps[end.name.place.step];
  SetCheckpoint(job, *position, end.checkpoint);
  switch (end.kind) {
    case EndKind::kDone:
      RecordSuccess(host);
      if (step.permanent) {
        return;  // It runs again until its job is cancelled.
      }
      if (step.gang) {
        CompleteGang(state, job, *position, wall);
      } else {
        CompleteTask(state, job, *position, wall);
      }
      if (job.state == workload::JobState::kSucceeded) {
        RecordCompletion(state, job, now);
      }
      return;
    case EndKind::kFailed:
      if (!was_at_work) {
        RecordFailure(state, host, job.spec.id, now);
      }
      CountFailure(state, job, *position, host.listing.id, end.name.attempt,
                   wall);
      return;
    case EndKind::kStopped:
    case EndKind::kLeaseExpired:
    case EndKind::kBroken:
    case EndKind::kAlone:
      if (!end.checkpoint.empty()) {
        state.unsaved.insert(job.spec.id);
      }
      return;
  }
}

/// Whether a run is of no use any more, because its job or its task has ended.
bool IsObsolete(const State& state, const Run& run) {
  const Job& job = state.jobs.at(run.name.job);
  return workload::IsFinal(job.state) || job.tasks[run.task].progress.done;
}

void UpdateRun(State& state, Run& run, const ReportedRun& listed,
               core::MonotonicTime now) {
  if (run.phase == RunPhase::kOrdered || run.phase == RunPhase::kUnanswered) {
    run.phase = RunPhase::kRunning;
    run.confirmed = now;
    Job& job = state.jobs.at(run.name.job);
    if (job.state == workload::JobState::kQueued) {
      job.state = workload::JobState::kRunning;
    }
  }
  if (run.phase == RunPhase::kRunning && !run.was_listed &&
      IsObsolete(state, run)) {
    RequestStop(state, run);
  }
  run.was_listed = true;
  if (listed.percent != run.percent) {
    run.progressed = now;
  }
  run.percent = listed.percent;
  run.load = listed.load;
  if (!listed.checkpoint.empty()) {
    run.checkpoint = listed.checkpoint;
  }
}

/// Adopts a run that this lease holder did not start, or orders it to stop.
Run* AdoptRun(State& state, Host& host, const ReportedRun& listed,
              core::MonotonicTime now) {
  UnexpectedRun unexpected;
  unexpected.name = listed.name;
  unexpected.host = host.listing.id;
  unexpected.incarnation = host.listing.incarnation;
  const auto found = state.jobs.find(listed.name.job);
  if (found != state.jobs.end() && !workload::IsFinal(found->second.state)) {
    Job& job = found->second;
    const auto position = workload::PositionOf(job.spec, listed.name.place);
    if (position) {
      Task& task = job.tasks[*position];
      const bool may_copy = job.spec.steps[listed.name.place.step].speculative;
      if (!task.progress.done && (task.runs.empty() || may_copy)) {
        task.progress.next_attempt =
            std::max(task.progress.next_attempt, listed.name.attempt + 1);
        host.lease_end =
            std::max(host.lease_end,
                     state.took_over + PreviousLeasesDuration(state.settings));
        Run& run =
            AddRun(state, job, *position, listed.name.attempt, host, now);
        run.is_sent = true;
        RecordServed(state, job, run, now);
        run.is_pace_in_doubt = true;
        return &run;
      }
      unexpected.is_open = !task.progress.done;
      if (!task.runs.empty()) {
        unexpected.other_host = state.runs.at(task.runs.front()).host;
      }
    }
  }
  state.unexpected_runs.push_back(std::move(unexpected));
  state.orders.emplace_back(StopRun{host.listing.id, listed.name});
  return nullptr;
}

/// Records a copy of a removed run's start that may still take effect.
void RememberOpenCopy(Host& host, const Run& run,
                      std::optional<EndEvidence> evidence) {
  const bool is_on_its_way = run.is_sent && run.phase == RunPhase::kOrdered &&
                             evidence == EndEvidence::kLeaseExpired;
  if (!run.has_open_copy && !is_on_its_way) {
    return;
  }
  OpenCopy& copy = host.open_copies.emplace_back();
  copy.name = run.name;
  copy.account = run.account;
  copy.size = run.size;
  copy.until =
      (is_on_its_way ? run.ordered + kMaxCallDuration : run.last_open_copy) +
      kMaxCallDelay;
  // A host refuses the start of a run that it has stopped or that has ended.
  if (!evidence || *evidence == EndEvidence::kStopConfirmed ||
      *evidence == EndEvidence::kFenced || run.was_listed) {
    copy.refused_by = host.listing.incarnation;
  }
}

void MarkRefused(Host& host, const RunName& name) {
  for (OpenCopy& copy : host.open_copies) {
    if (copy.name == name) {
      copy.refused_by = host.listing.incarnation;
    }
  }
}

void StopOpenCopies(State& state, Host& host, core::MonotonicTime now) {
  std::erase_if(host.open_copies,
                [&](const OpenCopy& copy) { return now >= copy.until; });
  if (!host.synced || host.unresponsive_since) {
    return;
  }
  for (OpenCopy& copy : host.open_copies) {
    if (copy.refused_by != host.listing.incarnation &&
        now >= copy.stop_sent + kStopRetryInterval) {
      copy.stop_sent = now;
      state.orders.emplace_back(StopRun{host.listing.id, copy.name});
    }
  }
}

Run* FindRunOnHost(State& state, Host& host, const RunName& name) {
  for (const RunId id : host.runs) {
    Run& run = state.runs.at(id);
    if (run.name == name) {
      return &run;
    }
  }
  return nullptr;
}

/// Finds out what became of a start without an answer. A stop would settle it,
/// too, but would end a run that takes effect just before.
void SettleUnansweredStart(State& state, Run& run, core::MonotonicTime now) {
  const Host& host = state.hosts.at(run.host);
  const bool is_leaving =
      host.reserved || (!host.listed && now >= host.gone_at);
  // A copy that can still take effect may put the task to work just before the
  // stop.
  const bool may_stop = now >= run.last_open_copy + kMaxCallDelay ||
                        MayStopWithinBudget(state, run);
  if (IsObsolete(state, run) || host.listing.draining || run.is_superseded ||
      ((run.repetition_refused || is_leaving ||
        IsAboveCap(state, run.account)) &&
       may_stop)) {
    RequestStop(state, run);
    return;
  }
  if (is_leaving) {
    return;
  }
  const bool was_repeated = run.start_repeated != core::MonotonicTime{};
  if (!was_repeated || now >= run.start_repeated + kStartRepeatInterval) {
    run.start_repeated = now;
    state.orders.emplace_back(
        RepeatStart{run.id, run.host, run.name, run.resumed_from});
  }
}

/// Handles the first report of an incarnation to this lease holder: no earlier
/// call takes effect any more.
void OnFirstReport(State& state, Host& host, const HostReport& report,
                   core::MonotonicTime now) {
  const core::MonotonicTime longest =
      now + MaxLeaseDuration(state.settings.longest_lease);
  if (host.has_earlier_calls ||
      now < state.took_over + kMaxCallDuration + kMaxCallDelay) {
    host.has_earlier_calls = false;
    host.lease_end = longest;
  }
  state.first_reports.push_back(
      {report.host, report.incarnation, report.token, report.running.size(),
       report.ended.size(),
       report.ended.empty() ? EndNumber{} : report.ended.front().number,
       host.lease_end});
}

/// Handles a run that is missing from its host's report. If the report was
/// requested in the millisecond of the run's confirmation, the request may have
/// been sent before the confirmation; such a report does not end the run.
void HandleMissingRun(State& state, Run& run, const HostReport& report,
                      core::MonotonicTime now) {
  if (report.is_partial) {
    return;  // The run or its end may be among those that are missing.
  }
  const bool asked_after = report.asked > run.confirmed;
  if (run.is_sent && run.token < report.token &&
      run.phase != RunPhase::kRunning) {
    RemoveRun(state, run.id, EndEvidence::kFenced);
    return;
  }
  switch (run.phase) {
    case RunPhase::kOrdered:
      return;
    case RunPhase::kUnanswered:
      if (asked_after) {
        SettleUnansweredStart(state, run, now);
      }
      return;
    case RunPhase::kRunning:
      if (asked_after) {
        RemoveRun(state, run.id, EndEvidence::kNotListed);
      }
      return;
    case RunPhase::kStopping:
      if (run.stop_confirmed && asked_after) {
        RemoveRun(state, run.id, EndEvidence::kStopConfirmed);
      }
      return;
  }
}

bool IsStalled(const Run& run, core::MonotonicTime now,
               core::MonotonicTime last_report) {
  if (run.phase != RunPhase::kRunning || run.permanent) {
    return false;
  }
  const core::Millis stall_timeout =
      std::max(kMinStallTimeout, run.estimate * kStallFactor);
  return last_report > run.progressed + stall_timeout &&
         now > run.confirmed + stall_timeout;
}

}  // namespace internal

Run& AddRun(State& state, Job& job, std::uint32_t task, std::uint32_t attempt,
            Host& host, core::MonotonicTime now) {
  const workload::TaskPlace place = workload::PlaceOf(job.spec, task);
  const workload::Step& step = job.spec.steps[place.step];
  Run run;
  run.id = state.next_run;
  state.next_run = core::Next(state.next_run);
  run.name = {job.spec.id, place, attempt};
  run.task = task;
  run.host = host.listing.id;
  run.reserved = step.size;
  if (step.best_effort) {
    run.reserved.cores = core::MilliCores{0};
    ++host.best_effort_runs;
  }
  run.best_effort = step.best_effort;
  run.permanent = step.permanent;
  run.estimate = job.run_times[place.step];
  run.latency_target = step.latency_target;
  run.account = job.spec.account;
  run.size = step.size;
  if (!run.account.value.empty()) {
    state.running_of_accounts[run.account] += run.size;
  }
  run.resumed_from = job.tasks[task].progress.checkpoint;
  run.ordered = now;
  run.confirmed = now;
  run.progressed = now;
  host.committed += run.reserved;
  host.runs.push_back(run.id);
  job.tasks[task].runs.push_back(run.id);
  const RunId id = run.id;
  return state.runs.emplace(id, std::move(run)).first->second;
}

void RemoveRun(State& state, RunId id, std::optional<EndEvidence> evidence) {
  const auto found = state.runs.find(id);
  const Run& run = found->second;
  const auto host = state.hosts.find(run.host);
  if (host != state.hosts.end()) {
    if (evidence) {
      state.presumed_ends.push_back(
          {run.name, run.host, host->second.listing.incarnation, *evidence,
           run.phase, run.was_listed, run.has_open_copy, run.ordered,
           host->second.lease_end, host->second.deadline_ms,
           host->second.last_report, host->second.heartbeat_clock_ms,
           host->second.last_heartbeat});
    }
    internal::RememberOpenCopy(host->second, run, evidence);
    host->second.committed -= run.reserved;
    host->second.best_effort_runs -= run.best_effort ? 1U : 0U;
    std::erase(host->second.runs, id);
  }
  if (!run.account.value.empty()) {
    // Runs that take no resources leave no entry.
    const auto running = state.running_of_accounts.find(run.account);
    if (running != state.running_of_accounts.end()) {
      running->second -= run.size;
      if (running->second == placement::Resources{}) {
        state.running_of_accounts.erase(running);
      }
    }
  }
  const auto job = state.jobs.find(run.name.job);
  if (job != state.jobs.end()) {
    if (evidence == EndEvidence::kRefused ||
        evidence == EndEvidence::kNotSent) {
      RecordRunTime(state, job->second, run, core::Millis(0));
    }
    std::erase(job->second.tasks[run.task].runs, id);
    internal::SetCheckpoint(job->second, run.task, run.checkpoint);
    if (workload::IsFinal(job->second.state)) {
      state.ended.push_back(run.name.job);
    } else {
      // Otherwise a later lease holder would wait for the stored run.
      state.unsaved.insert(run.name.job);
    }
  }
  state.runs.erase(found);
}

void RequestStop(State& state, Run& run) {
  if (run.phase == RunPhase::kStopping) {
    return;
  }
  run.phase = RunPhase::kStopping;
  run.stop_confirmed = false;
  ++state.counters.stopped;
  state.orders.emplace_back(StopRun{run.host, run.name});
}

void OnStartSent(State& state, RunId id, core::MonotonicTime now) {
  const auto found = state.runs.find(id);
  if (found != state.runs.end()) {
    found->second.is_sent = true;
    found->second.ordered = now;
    found->second.token = state.hosts.at(found->second.host).token;
  }
}

void OnStartRepeated(State& state, RunId id) {
  const auto found = state.runs.find(id);
  if (found != state.runs.end()) {
    found->second.token = state.hosts.at(found->second.host).token;
  }
}

void WithdrawStart(State& state, RunId id) {
  const auto found = state.runs.find(id);
  if (found != state.runs.end() && !found->second.is_sent) {
    RemoveRun(state, id, EndEvidence::kNotSent);
  }
}

void OnStartAnswer(State& state, RunId id, StartOutcome outcome,
                   core::MonotonicTime now) {
  const auto found = state.runs.find(id);
  if (found == state.runs.end()) {
    return;
  }
  Run& run = found->second;
  Host& host = state.hosts.at(run.host);
  Job& job = state.jobs.at(run.name.job);
  if (outcome == StartOutcome::kStarted) {
    if (run.phase == RunPhase::kOrdered || run.phase == RunPhase::kUnanswered) {
      run.phase = RunPhase::kRunning;
    }
    run.confirmed = now;
    run.progressed = now;
    if (job.state == workload::JobState::kQueued) {
      job.state = workload::JobState::kRunning;
    }
    return;
  }
  if (outcome == StartOutcome::kNoAnswer) {
    ++state.counters.unanswered_starts;
    MarkUnresponsive(host, now);
    run.has_open_copy = true;
    run.last_open_copy = now;
    if (run.phase == RunPhase::kOrdered || run.phase == RunPhase::kUnanswered) {
      run.phase = RunPhase::kUnanswered;
      run.confirmed = now;
    }
    return;
  }
  ++state.counters.rejected_starts;
  if (outcome == StartOutcome::kSuperseded && run.has_open_copy) {
    return;  // The next report shows whether another copy took effect.
  }
  workload::TaskProgress& task = job.tasks[run.task].progress;
  switch (outcome) {
    case StartOutcome::kNoCapacity:
    case StartOutcome::kLeaseExpired:
    case StartOutcome::kNoTicket:
    case StartOutcome::kBadRequest:
      host.busy_until = now + internal::kRefusalBackoff;
      break;
    case StartOutcome::kUnhealthy:
      host.busy_until = now + internal::kUnhealthyBackoff;
      break;
    case StartOutcome::kStaleAttempt:
      task.next_attempt += internal::kAttemptSkip;
      break;
    default:
      break;
  }
  if (run.has_open_copy) {
    run.repetition_refused = true;
    run.is_superseded = outcome == StartOutcome::kStaleAttempt;
    run.confirmed = now;
    return;
  }
  RemoveRun(state, id, EndEvidence::kRefused);
}

void OnStopConfirmed(State& state, const core::HostId& host,
                     core::Incarnation incarnation, const RunName& name,
                     core::MonotonicTime now) {
  const auto found = state.hosts.find(host);
  if (found == state.hosts.end() ||
      found->second.listing.incarnation != incarnation) {
    return;
  }
  internal::MarkRefused(found->second, name);
  if (Run* run = internal::FindRunOnHost(state, found->second, name)) {
    run->stop_confirmed = true;
    run->confirmed = now;
  }
}

void OnPaceUnconfirmed(State& state, const core::HostId& host,
                       const RunName& name) {
  const auto found = state.hosts.find(host);
  if (found == state.hosts.end()) {
    return;
  }
  if (Run* run = internal::FindRunOnHost(state, found->second, name)) {
    run->is_pace_in_doubt = true;
  }
}

void OnReport(State& state, const HostReport& report, core::MonotonicTime now,
              core::WallTime wall) {
  const auto found = state.hosts.find(report.host);
  if (found == state.hosts.end() ||
      found->second.listing.incarnation != report.incarnation) {
    return;
  }
  Host& host = found->second;
  if (!host.synced && (host.needs_token || report.token < host.token)) {
    return;  // Earlier calls may still take effect.
  }
  host.last_report = now;
  host.unresponsive_since.reset();
  host.address_taken = false;
  if (!host.synced) {
    internal::OnFirstReport(state, host, report, now);
  }
  for (const ReportedEnd& end : report.ended) {
    internal::MarkRefused(host, end.name);
    if (end.number > host.ended) {
      internal::RecordMissingEnds(state, host, end.number);
      host.ended = end.number;
      internal::ProcessEnd(state, host, end, now, wall);
    }
  }
  std::set<RunId> listed_runs;
  bool lists_unknown_runs = false;
  for (const ReportedRun& listed : report.running) {
    internal::MarkRefused(host, listed.name);
    Run* run = internal::FindRunOnHost(state, host, listed.name);
    if (run == nullptr) {
      run = internal::AdoptRun(state, host, listed, now);
    }
    if (run != nullptr) {
      internal::UpdateRun(state, *run, listed, now);
      listed_runs.insert(run->id);
    }
    lists_unknown_runs |= run == nullptr;
  }
  const std::vector<RunId> known = host.runs;
  for (const RunId id : known) {
    if (!listed_runs.contains(id)) {
      internal::HandleMissingRun(state, state.runs.at(id), report, now);
    }
  }
  host.synced = true;
  host.lists_unknown_runs =
      lists_unknown_runs || (report.is_partial && host.lists_unknown_runs);
  UpdateUse(state, host);
  PaceBestEffortRuns(state, host, now);
}

void CheckRuns(State& state, core::MonotonicTime now) {
  for (auto& [id, host] : state.hosts) {
    internal::StopOpenCopies(state, host, now);
  }
  for (auto& [id, run] : state.runs) {
    Host& host = state.hosts.at(run.host);
    if (run.phase == RunPhase::kStopping && !run.stop_confirmed &&
        now >= run.stop_sent + internal::kStopRetryInterval) {
      if (run.stop_sent != core::MonotonicTime{}) {
        state.orders.emplace_back(StopRun{run.host, run.name});
      }
      run.stop_sent = now;
    }
    if (internal::IsStalled(run, now, host.last_report)) {
      RequestStop(state, run);
      Quarantine(state, host, now);
    }
  }
}

}  // namespace camphormux::scheduler
