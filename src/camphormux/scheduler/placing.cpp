#include "camphormux/scheduler/placing.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>

#include "camphormux/scheduler/hosts.hpp"
#include "camphormux/scheduler/jobs.hpp"
#include "camphormux/scheduler/load.hpp"
#include "camphormux/scheduler/runs.hpp"
#include "camphormux/scheduler/shares.hpp"
#include "camphormux/scheduler/urgency.hpp"

namespace camphormux::scheduler {
namespace internal {

/// A copy is started when a run takes this multiple of its estimate plus a
/// delay; estimates are often wrong by half.
constexpr int kCopyFactor = 2;
constexpr core::Millis kCopyDelay{300};
/// Maximum time that a task waits for free resources on the rack of its data
/// before it runs elsewhere.
constexpr core::Millis kDataRackTimeout{1500};

/// A step of one occurrence of a job.
struct StepInstance {
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t first = 0;  ///< Position of its first task.
};

std::uint32_t CountRunsOfStep(const State& state, const Host& host,
                              const Job& job, const StepInstance& instance) {
  return static_cast<std::uint32_t>(
      std::count_if(host.runs.begin(), host.runs.end(), [&](RunId id) {
        const Run& run = state.runs.at(id);
        return run.name.job == job.spec.id &&
               run.name.place.occurrence == instance.occurrence &&
               run.name.place.step == instance.step;
      }));
}

placement::Resources ReservationOf(const workload::Step& step) {
  placement::Resources reservation = step.size;
  if (step.best_effort) {
    reservation.cores = core::MilliCores{0};
  }
  return reservation;
}

bool CanRunOn(const State& state, const Host& host, const Job& job,
              const workload::Step& step, const StepInstance& instance) {
  if (!placement::Fits(ReservationOf(step), FreeResources(host))) {
    return false;
  }
  if (!step.required_label.empty() &&
      !host.listing.labels.contains(step.required_label)) {
    return false;
  }
  return step.max_per_host == 0 ||
         CountRunsOfStep(state, host, job, instance) < step.max_per_host;
}

std::size_t CountServingRuns(const State& state, const Host& host) {
  return static_cast<std::size_t>(std::count_if(
      host.runs.begin(), host.runs.end(),
      [&](RunId id) { return state.runs.at(id).latency_target.count() > 0; }));
}

std::int64_t CountPermanentRuns(const State& state, const Host& host) {
  return std::count_if(host.runs.begin(), host.runs.end(),
                       [&](RunId id) { return state.runs.at(id).permanent; });
}

/// Returns the rack on which runs of a colocated step already are.
std::optional<core::RackName> RackOfStep(const State& state, const Job& job,
                                         const StepInstance& instance) {
  const workload::Step& step = job.spec.steps[instance.step];
  for (std::uint32_t i = 0; i < step.count; ++i) {
    for (const RunId run : job.tasks[instance.first + i].runs) {
      return state.hosts.at(state.runs.at(run).host).listing.rack;
    }
  }
  return std::nullopt;
}

/// Returns the rack with most free cores.
std::optional<core::RackName> RackWithMostFreeCores(
    const std::vector<Host*>& hosts) {
  std::map<core::RackName, std::int64_t> free_cores;
  for (const Host* host : hosts) {
    free_cores[host->listing.rack] += FreeResources(*host).cores.value;
  }
  const auto best = std::max_element(
      free_cores.begin(), free_cores.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  return best == free_cores.end() ? std::nullopt : std::optional(best->first);
}

/// Chooses the host for a task: preferably on the rack of its data or of its
/// step's other tasks, not the host of its last failure, and with the fewest
/// free cores, so that other hosts stay free. Permanent tasks go to hosts with
/// most permanent runs, as a host with one of them can never leave its pool.
/// Best-effort tasks go to hosts with few serving and best-effort runs and most
/// free cores.
Host* ChooseHost(const State& state, const Job& job,
                 const StepInstance& instance, const Task& task,
                 const std::vector<Host*>& hosts,
                 const std::optional<core::RackName>& rack,
                 bool must_match_rack) {
  const workload::Step& step = job.spec.steps[instance.step];
  using Score = std::tuple<bool, bool, std::int64_t, std::size_t, std::int64_t>;
  Host* best = nullptr;
  Score best_score;
  for (Host* host : hosts) {
    const bool off_rack = rack && host->listing.rack != *rack;
    if ((off_rack && must_match_rack) ||
        !CanRunOn(state, *host, job, step, instance)) {
      continue;
    }
    const Score score{
        off_rack, host->listing.id == task.failed_on,
        step.permanent && !step.best_effort ? -CountPermanentRuns(state, *host)
                                            : 0,
        step.best_effort
            ? CountServingRuns(state, *host) + host->best_effort_runs
            : 0,
        FreeResources(*host).cores.value * (step.best_effort ? -1 : 1)};
    if (best == nullptr || score < best_score) {
      best = host;
      best_score = score;
    }
  }
  return best;
}

void Start(State& state, Job& job, std::uint32_t task, std::uint32_t attempt,
           Host& host, core::MonotonicTime now) {
  Task& entry = job.tasks[task];
  entry.progress.next_attempt = attempt + 1;
  Run& run = AddRun(state, job, task, attempt, host, now);
  ++state.counters.started;
  RecordStart(state, job, now);
  RecordServed(state, job, run, now);
  state.unsaved.insert(job.spec.id);
  state.orders.emplace_back(
      StartRun{run.id, host.listing.id, run.name, entry.progress.checkpoint});
}

bool WaitsForData(const State& state, const Job& job,
                  const workload::Step& step, core::MonotonicTime now) {
  const auto remote = core::Millis(
      static_cast<std::int64_t>(static_cast<double>(step.estimate.count()) *
                                state.settings.remote_factor));
  return job.policy.objective.count() > 0 &&
         now + remote > job.submitted + job.policy.objective &&
         now < job.submitted + kDataRackTimeout;
}

/// Sums the cores of a step's tasks that wait to be placed.
core::MilliCores WaitingCores(const Job& job, const StepInstance& instance) {
  const workload::Step& step = job.spec.steps[instance.step];
  core::MilliCores waiting;
  for (std::uint32_t i = 0; i < step.count; ++i) {
    const Task& task = job.tasks[instance.first + i];
    if (!task.progress.done && task.runs.empty()) {
      waiting += ReservationOf(step).cores;
    }
  }
  return waiting;
}

/// Returns the number of additional hosts that a step's waiting tasks need if
/// hosts with its running tasks are excluded.
std::uint32_t HostsToSpread(const Job& job, const StepInstance& instance) {
  const workload::Step& step = job.spec.steps[instance.step];
  std::uint32_t waiting = 0;
  for (std::uint32_t i = 0; i < step.count; ++i) {
    const Task& task = job.tasks[instance.first + i];
    waiting += !task.progress.done && task.runs.empty() ? 1U : 0U;
  }
  return (waiting + step.max_per_host - 1) / step.max_per_host;
}

/// Places the tasks of a step independently of each other.
core::MilliCores PlaceIndividually(State& state, Job& job,
                                   const StepInstance& instance,
                                   const std::vector<Host*>& hosts,
                                   core::MonotonicTime now) {
  const workload::Step& step = job.spec.steps[instance.step];
  std::optional<core::RackName> rack;
  bool must_match = false;
  if (!step.data_rack.value.empty()) {
    rack = step.data_rack;
    must_match = WaitsForData(state, job, step, now);
  } else if (step.colocated) {
    rack = RackOfStep(state, job, instance);
    rack = rack ? rack : RackWithMostFreeCores(hosts);
  }
  core::MilliCores unplaced;
  std::uint32_t within_cap = TasksWithinCap(state, job.spec.account, step.size);
  bool full = false;
  for (std::uint32_t i = 0; i < step.count; ++i) {
    Task& task = job.tasks[instance.first + i];
    if (task.progress.done || !task.runs.empty()) {
      continue;
    }
    if (within_cap == 0) {
      break;  // More hosts would not help.
    }
    --within_cap;
    Host* host =
        full ? nullptr
             : ChooseHost(state, job, instance, task, hosts, rack, must_match);
    if (host == nullptr) {
      full = true;  // Tasks of a step have equal needs.
      unplaced += ReservationOf(step).cores;
      continue;
    }
    Start(state, job, instance.first + i, task.progress.next_attempt, *host,
          now);
  }
  return unplaced;
}

/// Places all tasks of a gang, or none.
core::MilliCores PlaceGang(State& state, Job& job, const StepInstance& instance,
                           const std::vector<Host*>& hosts,
                           core::MonotonicTime now) {
  const workload::Step& step = job.spec.steps[instance.step];
  std::uint32_t attempt = 1;
  for (std::uint32_t i = 0; i < step.count; ++i) {
    const Task& task = job.tasks[instance.first + i];
    if (!task.runs.empty()) {
      return {};  // A run of the gang has not ended everywhere yet.
    }
    attempt = std::max(attempt, task.progress.next_attempt);
  }
  std::optional<core::RackName> rack;
  if (!step.data_rack.value.empty()) {
    rack = step.data_rack;
  } else if (step.colocated) {
    rack = RackWithMostFreeCores(hosts);
  }
  // Resources are reserved while hosts are chosen and released if a member does
  // not fit; orders are only added once all members fit.
  std::vector<RunId> members;
  for (std::uint32_t i = 0; i < step.count; ++i) {
    Task& task = job.tasks[instance.first + i];
    Host* host = ChooseHost(state, job, instance, task, hosts, rack, false);
    if (host == nullptr) {
      for (const RunId member : members) {
        RemoveRun(state, member, std::nullopt);
      }
      return core::MilliCores{ReservationOf(step).cores.value * step.count};
    }
    members.push_back(
        AddRun(state, job, instance.first + i, attempt, *host, now).id);
  }
  state.unsaved.insert(job.spec.id);
  for (const RunId member : members) {
    Run& run = state.runs.at(member);
    workload::TaskProgress& progress = job.tasks[run.task].progress;
    progress.next_attempt = attempt + 1;
    ++state.counters.started;
    RecordStart(state, job, now);
    RecordServed(state, job, run, now);
    state.orders.emplace_back(
        StartRun{run.id, run.host, run.name, progress.checkpoint});
  }
  return {};
}

/// Returns what a host has for tasks that end.
placement::Resources CapacityOfEndingTasks(const State& state,
                                           const Host& host) {
  placement::Resources capacity = host.listing.capacity;
  for (const RunId id : host.runs) {
    const Run& run = state.runs.at(id);
    if (run.permanent) {
      capacity -= run.reserved;
    }
  }
  return capacity;
}

/// Sums the cores of a step's waiting tasks that can start once other tasks
/// have ended. Tasks that wait for something else do not count: for the rack of
/// their data, for other hosts than those of the step's tasks, for their cap.
core::MilliCores StartableCores(
    const State& state, const Job& job, const StepInstance& instance,
    const std::vector<Host*>& hosts,
    const std::vector<placement::Resources>& capacities) {
  const workload::Step& step = job.spec.steps[instance.step];
  if (step.max_per_host > 0 || !step.data_rack.value.empty()) {
    return {};
  }
  const placement::Resources reservation = ReservationOf(step);
  core::MilliCores room;
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    if (placement::Fits(reservation, capacities[i]) &&
        (step.required_label.empty() ||
         hosts[i]->listing.labels.contains(step.required_label))) {
      room += capacities[i].cores;
    }
  }
  const std::int64_t within_cap =
      TasksWithinCap(state, job.spec.account, step.size);
  core::MilliCores waiting = WaitingCores(job, instance);
  if (step.gang) {
    return within_cap < step.count || room < waiting ? core::MilliCores{0}
                                                     : waiting;
  }
  if (within_cap < step.count) {
    waiting = std::min(waiting,
                       core::MilliCores{within_cap * reservation.cores.value});
  }
  return std::min(waiting, room);
}

}  // namespace internal

void UpdateMaxFree(Candidates& candidates) {
  candidates.max_free = {};
  for (const Host* host : candidates.hosts) {
    candidates.max_free =
        placement::Largest(candidates.max_free, FreeResources(*host));
  }
}

Unplaced PlaceJob(State& state, Job& job, Candidates& hosts,
                  core::MonotonicTime now, core::WallTime wall) {
  const std::uint64_t started = state.counters.started;
  Unplaced unplaced;
  if (!job.saved || job.rejected || workload::IsFinal(job.state)) {
    return unplaced;
  }
  const std::uint32_t occurrences = std::max(1U, job.spec.occurrences);
  std::uint32_t first = 0;
  for (std::uint32_t k = 0; k < occurrences; ++k) {
    for (std::uint32_t s = 0; s < job.spec.steps.size(); ++s) {
      const internal::StepInstance instance{k, s, first};
      first += job.spec.steps[s].count;
      if (!IsStepReady(state, job, k, s, wall)) {
        continue;
      }
      const workload::Step& step = job.spec.steps[s];
      // More hosts do not help an account that has reached its cap.
      if (TasksWithinCap(state, job.spec.account, step.size) <
          (step.gang ? step.count : 1)) {
        continue;
      }
      if (!placement::Fits(internal::ReservationOf(step), hosts.max_free)) {
        unplaced.cores += internal::WaitingCores(job, instance);
        continue;
      }
      const core::MilliCores cores =
          step.gang
              ? internal::PlaceGang(state, job, instance, hosts.hosts, now)
              : internal::PlaceIndividually(state, job, instance, hosts.hosts,
                                            now);
      unplaced.cores += cores;
      if (cores.value > 0 && step.max_per_host > 0) {
        unplaced.hosts_to_spread = std::max(
            unplaced.hosts_to_spread, internal::HostsToSpread(job, instance));
      }
    }
  }
  if (state.counters.started != started) {
    UpdateMaxFree(hosts);
  }
  return unplaced;
}

void HoldHosts(const State& state, const std::vector<const Job*>& waiting,
               Candidates& candidates, core::WallTime wall) {
  std::vector<placement::Resources> capacities;
  capacities.reserve(candidates.hosts.size());
  for (const Host* host : candidates.hosts) {
    capacities.push_back(internal::CapacityOfEndingTasks(state, *host));
  }
  core::MilliCores needed;
  for (const Job* job : waiting) {
    const std::uint32_t occurrences = std::max(1U, job->spec.occurrences);
    std::uint32_t first = 0;
    for (std::uint32_t k = 0; k < occurrences; ++k) {
      for (std::uint32_t s = 0; s < job->spec.steps.size(); ++s) {
        if (IsStepReady(state, *job, k, s, wall)) {
          needed += internal::StartableCores(state, *job, {k, s, first},
                                             candidates.hosts, capacities);
        }
        first += job->spec.steps[s].count;
      }
    }
  }
  while (needed.value > 0 && !candidates.hosts.empty()) {
    const auto most_free = std::max_element(
        candidates.hosts.begin(), candidates.hosts.end(),
        [](const Host* a, const Host* b) {
          return FreeResources(*a).cores < FreeResources(*b).cores;
        });
    const auto position = most_free - candidates.hosts.begin();
    needed -= std::max(core::MilliCores{1}, capacities[position].cores);
    capacities.erase(capacities.begin() + position);
    candidates.hosts.erase(most_free);
  }
  UpdateMaxFree(candidates);
}

void PlaceCopies(State& state, Job& job, const std::vector<Host*>& hosts,
                 core::MonotonicTime now) {
  if (workload::IsFinal(job.state) || job.rejected ||
      UrgencyOf(job, now) == Urgency::kOverdue) {
    return;
  }
  for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
    Task& task = job.tasks[i];
    if (task.runs.size() != 1 || task.progress.done) {
      continue;
    }
    const Run& run = state.runs.at(task.runs.front());
    const workload::Step& step = job.spec.steps[run.name.place.step];
    if (!step.speculative || step.gang || step.permanent ||
        now < run.ordered + run.estimate * internal::kCopyFactor +
                  internal::kCopyDelay ||
        TasksWithinCap(state, job.spec.account, step.size) == 0) {
      continue;
    }
    std::vector<Host*> others = hosts;
    std::erase_if(
        others, [&](const Host* host) { return host->listing.id == run.host; });
    const internal::StepInstance instance{run.name.place.occurrence,
                                          run.name.place.step,
                                          i - run.name.place.index};
    Host* host = internal::ChooseHost(state, job, instance, task, others,
                                      std::nullopt, false);
    if (host != nullptr) {
      ++state.counters.copies;
      internal::Start(state, job, i, task.progress.next_attempt, *host, now);
    }
  }
}

bool FitsOn(const State& state, const Host& host, const Job& job,
            std::uint32_t task) {
  const workload::TaskPlace place = workload::PlaceOf(job.spec, task);
  return internal::CanRunOn(state, host, job, job.spec.steps[place.step],
                            {place.occurrence, place.step, task - place.index});
}

bool FitsElsewhere(const State& state, const Run& run,
                   const std::vector<Host*>& hosts) {
  const Job& job = state.jobs.at(run.name.job);
  const internal::StepInstance instance{run.name.place.occurrence,
                                        run.name.place.step,
                                        run.task - run.name.place.index};
  return std::any_of(hosts.begin(), hosts.end(), [&](const Host* host) {
    return host->listing.id != run.host &&
           internal::CanRunOn(state, *host, job,
                              job.spec.steps[run.name.place.step], instance);
  });
}

}  // namespace camphormux::scheduler
