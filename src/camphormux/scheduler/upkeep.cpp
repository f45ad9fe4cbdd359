#include "camphormux/scheduler/upkeep.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "camphormux/scheduler/availability.hpp"
#include "camphormux/scheduler/hosts.hpp"
#include "camphormux/scheduler/jobs.hpp"
#include "camphormux/scheduler/placing.hpp"
#include "camphormux/scheduler/runs.hpp"

namespace camphormux::scheduler {
namespace internal {

/// Number of hosts that are drained in addition to those that may be down at
/// the same time, so that the next one is empty when a machine returns.
constexpr std::size_t kHostsDrainedAhead = 2;

/// Time in which the runs on the last host of a pool in service must be
/// expected to end before the host takes no new ones.
constexpr core::Millis kLastHostDrainTime{2000};

/// Time after a refused upkeep before another is prepared for the machine, for
/// which tasks may be stopped.
constexpr core::Millis kUpkeepRetryDelay{3000};

/// Interval of planning the waves; a small fraction of the duration of an
/// upkeep.
constexpr core::Millis kUpkeepInterval{50};

/// Time after a takeover by which stops that the previous lease holder ordered
/// have taken effect; a host takes up to 0.9 s. Until then a task that is about
/// to stop may still appear as running.
constexpr core::Millis kStopSettleTime{3000};

/// A list of machines that was requested this long after the confirmation of an
/// order shows its effect.
constexpr core::Millis kOrderSettleTime{2000};

/// Maximum difference between the wall clocks of two nodes: a jump of a clock,
/// plus a margin.
constexpr core::Millis kMaxClockDifference{4000};

/// A call without an answer is carried out at most this much later.
constexpr core::Millis kMaxCallDelay{12'000};

/// Number of consecutive complete lists of machines without a host before the
/// host is considered ended. A machine that changes while the pages of a list
/// are read may be on none of them.
constexpr std::uint32_t kMissedListsUntilEnded = 2;

/// Removes hosts that no machine has any more and that do not answer, so that a
/// host which is only known from stored runs or an old list, or whose address
/// another one has, is not kept until its lease expires.
void RemoveHostsWithoutMachine(State& state,
                               const std::set<core::HostId>& machine_hosts) {
  const auto with_machine =
      std::count_if(state.hosts.begin(), state.hosts.end(), [&](const auto& e) {
        return e.second.listed && machine_hosts.contains(e.first);
      });
  const auto listed =
      std::count_if(state.hosts.begin(), state.hosts.end(),
                    [](const auto& entry) { return entry.second.listed; });
  if (with_machine * 2 <= listed) {
    return;  // The list of machines does not match the list of hosts.
  }
  std::vector<core::HostId> ended;
  for (auto& [id, host] : state.hosts) {
    const bool answers = host.synced && !host.unresponsive_since;
    if (answers || machine_hosts.contains(id)) {
      host.missed_machine_lists = 0;
      continue;
    }
    ++host.missed_machine_lists;
    const bool is_expected = host.listed && !host.address_taken;
    if (!is_expected && host.missed_machine_lists >= kMissedListsUntilEnded) {
      ended.push_back(id);
    }
  }
  for (const core::HostId& id : ended) {
    RemoveHost(state, id, EndEvidence::kNoMachine);
  }
}

/// Corrects the end of a host that an order was taken to have ended. The
/// platform also confirms an order that it carried out for a previous lease
/// holder; the host may be the one that came after it.
/// @return Whether the list of hosts has to be applied again.
bool CorrectEnd(State& state, const Machine& machine,
                core::MonotonicTime asked) {
  const auto ended = state.ended_incarnations.find(machine.listing.host);
  return ended != state.ended_incarnations.end() &&
         machine.listing.host == machine.ordered_host &&
         !machine.order_pending && machine.listing.state == MachineState::kUp &&
         asked > machine.ordered + kOrderSettleTime &&
         ended->second.incarnations.erase(machine.ordered_incarnation) > 0;
}

/// Stops permanent tasks on a host if they fit on another host and, if
/// requested, as far as their budgets allow.
void Evacuate(State& state, const Host& host, const PoolViews& views,
              bool within_budget) {
  const auto view = views.find(host.listing.pool);
  if (view == views.end()) {
    return;
  }
  const std::vector<RunId> runs = host.runs;
  for (const RunId id : runs) {
    Run& run = state.runs.at(id);
    if (!run.permanent || run.phase != RunPhase::kRunning) {
      continue;
    }
    const workload::Step& step =
        state.jobs.at(run.name.job).spec.steps[run.name.place.step];
    const std::uint32_t unavailable =
        OtherUnavailableTasks(state, run) + (IsServing(state, run) ? 0U : 1U);
    if (within_budget && unavailable >= AvailabilityBudget(step)) {
      continue;
    }
    if (FitsElsewhere(state, run, view->second.usable)) {
      RequestStop(state, run);
    }
  }
}

Host* HostOf(State& state, const Machine& machine) {
  const auto found = state.hosts.find(machine.listing.host);
  return found == state.hosts.end() ? nullptr : &found->second;
}

bool IsDown(const Machine& machine) {
  return machine.order_pending ||
         machine.listing.state == MachineState::kUpkeep;
}

/// Returns the sort key for maintenance: machines with empty hosts first, then
/// those with few permanent tasks.
std::tuple<std::size_t, std::size_t> DrainCost(const State& state,
                                               const Host* host) {
  if (host == nullptr) {
    return {0, 0};
  }
  const auto permanent = static_cast<std::size_t>(
      std::count_if(host->runs.begin(), host->runs.end(),
                    [&](RunId id) { return state.runs.at(id).permanent; }));
  return {permanent, host->runs.size()};
}

/// A machine that waits for its upkeep, with its sort key.
struct Candidate {
  std::tuple<bool, std::tuple<std::size_t, std::size_t>, MachineId> key;
  Machine* machine = nullptr;
  Host* host = nullptr;
};

/// Hosts of a pool.
struct PoolHosts {
  std::size_t in_service = 0;
  /// Hosts that are down for upkeep, about to be, or reserved for it.
  std::size_t out = 0;
};

/// A task of a job, by its position in the job.
struct WaitingTask {
  const Job* job = nullptr;
  std::uint32_t task = 0;
};

using WaitingTasks = std::map<core::PoolName, std::vector<WaitingTask>>;

/// State of a pass over the open waves.
struct UpkeepPass {
  std::map<core::PoolName, PoolHosts> pools;
  /// Hosts that the previous pass reserved.
  std::set<core::HostId> reserved_before;
  WaitingTasks waiting;  ///< Permanent tasks without a host, by pool.
};

bool IsInService(const Host& host) {
  return host.listed && host.synced && !host.listing.draining &&
         !host.unresponsive_since;
}

/// Returns the permanent tasks of each pool that have no run.
WaitingTasks WaitingPermanentTasks(const State& state) {
  WaitingTasks waiting;
  for (const auto& [id, job] : state.jobs) {
    if (!job.permanent || !job.saved || job.rejected || !HasPolicy(job) ||
        workload::IsFinal(job.state)) {
      continue;
    }
    for (std::uint32_t task = 0; task < job.tasks.size(); ++task) {
      const Task& entry = job.tasks[task];
      const workload::TaskPlace place = workload::PlaceOf(job.spec, task);
      if (job.spec.steps[place.step].permanent && !entry.progress.done &&
          entry.runs.empty()) {
        waiting[job.policy.pool].push_back({&job, task});
      }
    }
  }
  return waiting;
}

/// Ends all reservations of earlier passes, which are made anew, so that none
/// outlasts its wave or its machine.
UpkeepPass BeginPass(State& state) {
  UpkeepPass pass;
  std::set<core::HostId> ordered;
  for (const auto& [id, machine] : state.machines) {
    if (machine.order_pending) {
      ordered.insert(machine.ordered_host);
    }
    if (IsDown(machine)) {
      ++pass.pools[machine.listing.pool].out;
    }
  }
  for (auto& [id, host] : state.hosts) {
    if (ordered.contains(id)) {
      continue;
    }
    if (host.reserved) {
      host.reserved = false;
      pass.reserved_before.insert(id);
    }
    if (IsInService(host)) {
      ++pass.pools[host.listing.pool].in_service;
    }
  }
  const bool has_open_wave = std::any_of(
      state.waves.begin(), state.waves.end(), [](const auto& entry) {
        return !entry.second.complete && !entry.second.request.machines.empty();
      });
  if (has_open_wave) {
    pass.waiting = WaitingPermanentTasks(state);
  }
  return pass;
}

/// Returns whether all runs on a host other than permanent ones are expected to
/// end within a time.
bool EndsWithin(const State& state, const Host& host, core::Millis time,
                core::MonotonicTime now) {
  return std::all_of(host.runs.begin(), host.runs.end(), [&](RunId id) {
    const Run& run = state.runs.at(id);
    return run.permanent || run.ordered + run.estimate <= now + time;
  });
}

/// Returns the runs of permanent tasks on a host that fit on no other host.
std::vector<RunId> ImmovableRuns(const State& state, const Host& host,
                                 const PoolViews& views) {
  std::vector<RunId> runs;
  const auto view = views.find(host.listing.pool);
  for (const RunId id : host.runs) {
    const Run& run = state.runs.at(id);
    if (run.permanent && run.phase != RunPhase::kStopping &&
        (view == views.end() ||
         !FitsElsewhere(state, run, view->second.usable))) {
      runs.push_back(id);
    }
  }
  return runs;
}

bool HasEmptyHost(const core::PoolName& pool, const PoolViews& views) {
  const auto view = views.find(pool);
  return view != views.end() &&
         std::any_of(view->second.usable.begin(), view->second.usable.end(),
                     [](const Host* host) { return host->runs.empty(); });
}

/// Whether a host may be taken out of service to prepare its upkeep.
enum class Reservation {
  kAllowed,
  kPoolInService,  ///< Its pool needs the host in service.
  kNeededByTask,   ///< A permanent task without a host fits on this one.
  /// Permanent tasks on the host fit on no other, and their steps cannot miss
  /// all of them.
  kTasksMustRun,
};

Reservation CheckReservation(const State& state, const Host& host,
                             const UpkeepPass& pass, const PoolViews& views,
                             core::MonotonicTime now) {
  if (!IsInService(host)) {
    return Reservation::kAllowed;
  }
  const bool is_stopping = std::all_of(
      host.runs.begin(), host.runs.end(),
      [&](RunId id) { return state.runs.at(id).phase == RunPhase::kStopping; });
  if (is_stopping && pass.reserved_before.contains(host.listing.id)) {
    return Reservation::kAllowed;
  }
  const auto found = pass.pools.find(host.listing.pool);
  if (found == pass.pools.end()) {
    return Reservation::kPoolInService;
  }
  const PoolHosts& pool = found->second;
  const std::size_t total = pool.in_service + pool.out;
  const bool is_last = pool.in_service == 1;
  if (pool.out >= std::max<std::size_t>(1, total / 2) ||
      (is_last && !EndsWithin(state, host, kLastHostDrainTime, now))) {
    return Reservation::kPoolInService;
  }
  const auto waiting = pass.waiting.find(host.listing.pool);
  const bool is_needed =
      waiting != pass.waiting.end() && !host.runs.empty() &&
      std::any_of(waiting->second.begin(), waiting->second.end(),
                  [&](const auto& entry) {
                    return FitsOn(state, host, *entry.job, entry.task);
                  });
  if (is_needed) {
    return Reservation::kNeededByTask;
  }
  return MayStopTogether(state, ImmovableRuns(state, host, views))
             ? Reservation::kAllowed
             : Reservation::kTasksMustRun;
}

void CountInBacklog(Reservation reservation, WaveBacklog& backlog) {
  switch (reservation) {
    case Reservation::kAllowed:
      return;
    case Reservation::kPoolInService:
      ++backlog.pool_in_service;
      return;
    case Reservation::kNeededByTask:
      ++backlog.needed_by_task;
      return;
    case Reservation::kTasksMustRun:
      ++backlog.tasks_must_run;
      return;
  }
}

/// Reserves a host if that is allowed. If only its permanent tasks prevent it,
/// requests another host for its pool, unless the pool has an empty one.
Reservation TryReserve(State& state, Host& host, UpkeepPass& pass,
                       const PoolViews& views, core::MonotonicTime now) {
  if (host.reserved) {
    return Reservation::kAllowed;  // By another wave, for the same machine.
  }
  const Reservation reservation =
      CheckReservation(state, host, pass, views, now);
  if (reservation == Reservation::kTasksMustRun &&
      !HasEmptyHost(host.listing.pool, views)) {
    state.pools_without_room_for_upkeep.insert(host.listing.pool);
  }
  if (reservation != Reservation::kAllowed) {
    return reservation;
  }
  host.reserved = true;
  if (IsInService(host)) {
    PoolHosts& pool = pass.pools[host.listing.pool];
    --pool.in_service;
    ++pool.out;
  }
  return reservation;
}

/// Stops the permanent tasks that no other host has room for, once nothing else
/// keeps the machine from its upkeep.
/// @return Whether only runs that are being stopped are left.
bool StopImmovableRuns(State& state, const Host& host, const PoolViews& views) {
  const std::vector<RunId> immovable = ImmovableRuns(state, host, views);
  const bool others_left =
      std::any_of(host.runs.begin(), host.runs.end(), [&](RunId id) {
        const Run& run = state.runs.at(id);
        const bool is_immovable = std::find(immovable.begin(), immovable.end(),
                                            id) != immovable.end();
        return run.phase != RunPhase::kStopping &&
               (!is_immovable || run.phase != RunPhase::kRunning);
      });
  if (others_left || !MayStopTogether(state, immovable)) {
    return false;
  }
  for (const RunId id : immovable) {
    RequestStop(state, state.runs.at(id));
  }
  return true;
}

void OrderUpkeep(State& state, Machine& machine, WaveId wave,
                 core::MonotonicTime now) {
  machine.order_pending = true;
  machine.ordered = now;
  machine.ordered_host = machine.listing.host;
  const Host* host = HostOf(state, machine);
  machine.ordered_incarnation =
      host == nullptr ? core::Incarnation{} : host->listing.incarnation;
  state.orders.emplace_back(UpkeepMachine{machine.listing.id, wave});
}

/// Whether the host for which an order was given has another incarnation by
/// now. Like the next host of the machine, it is not the one that has ended.
bool HasNextIncarnation(const State& state, const Machine& machine) {
  const auto host = state.hosts.find(machine.ordered_host);
  return host != state.hosts.end() && machine.ordered_incarnation.value != 0 &&
         host->second.listing.incarnation != machine.ordered_incarnation;
}

/// Removes the host that a confirmed order has ended.
void EndOrderedHost(State& state, Machine& machine) {
  const auto host = state.hosts.find(machine.ordered_host);
  if (host != state.hosts.end()) {
    machine.ordered_incarnation = host->second.listing.incarnation;
    RemoveHost(state, machine.ordered_host, EndEvidence::kMachineOrdered);
  }
}

void CompleteWave(State& state, Wave& wave) {
  const bool complete = std::all_of(
      wave.request.machines.begin(), wave.request.machines.end(),
      [&](const MachineId& id) {
        return wave.begun.contains(id) || !state.machines.contains(id);
      });
  if (complete) {
    wave.complete = true;
    state.orders.emplace_back(SaveWave{wave.request.id, true});
  }
}

void AdvanceWave(State& state, Wave& wave, UpkeepPass& pass,
                 const PoolViews& views, core::MonotonicTime now) {
  std::size_t down = 0;
  std::vector<Candidate> waiting;
  WaveBacklog& backlog = wave.backlog;
  backlog = {};
  for (const MachineId& id : wave.request.machines) {
    const auto found = state.machines.find(id);
    if (found == state.machines.end()) {
      continue;
    }
    Machine& machine = found->second;
    if (IsDown(machine)) {
      ++down;
      backlog.ordered += wave.begun.contains(id) ? 0U : 1U;
    } else if (!wave.begun.contains(id) && MayOrder(state, id, now) &&
               now >= machine.upkeep_allowed_from &&
               machine.listing.state == MachineState::kUp) {
      Host* host = HostOf(state, machine);
      // Hosts that were chosen in an earlier pass stay chosen.
      const bool chosen =
          host != nullptr && pass.reserved_before.contains(host->listing.id);
      waiting.push_back(
          {{!chosen, DrainCost(state, host), id}, &machine, host});
    } else if (!wave.begun.contains(id)) {
      ++backlog.unavailable;
    }
  }
  std::sort(
      waiting.begin(), waiting.end(),
      [](const Candidate& a, const Candidate& b) { return a.key < b.key; });
  const std::size_t headroom =
      wave.request.max_down > down ? wave.request.max_down - down : 0;
  std::size_t ordered = 0;
  std::size_t chosen = 0;
  for (const auto& [key, machine, host] : waiting) {
    if (chosen >= headroom + kHostsDrainedAhead) {
      ++backlog.queued;
      continue;
    }
    if (host != nullptr) {
      const Reservation reservation =
          TryReserve(state, *host, pass, views, now);
      if (reservation != Reservation::kAllowed) {
        CountInBacklog(reservation, backlog);
        continue;
      }
      if (!host->runs.empty()) {
        ++chosen;
        ++backlog.draining;
        if (now >= state.took_over + kStopSettleTime) {
          Evacuate(state, *host, views, true);
          if (ordered < headroom && StopImmovableRuns(state, *host, views)) {
            ++ordered;
          }
        }
        continue;
      }
    }
    ++chosen;
    if (ordered >= headroom) {
      ++backlog.queued;
      continue;
    }
    ++ordered;
    ++backlog.ordered;
    OrderUpkeep(state, *machine, wave.request.id, now);
  }
  CompleteWave(state, wave);
}

}  // namespace internal

bool IsStandby(const State& state, const core::PoolName& pool) {
  const auto found = state.catalog.pools.find(pool);
  return found != state.catalog.pools.end() && found->second.standby;
}

Machine* FindMachine(State& state, const core::HostId& host) {
  for (auto& [id, machine] : state.machines) {
    if (machine.listing.host == host) {
      return &machine;
    }
  }
  return nullptr;
}

bool ApplyMachines(State& state, const std::vector<MachineListing>& listings,
                   core::MonotonicTime asked) {
  bool has_corrected_end = false;
  std::set<MachineId> seen;
  std::set<core::HostId> machine_hosts;
  for (const MachineListing& listing : listings) {
    seen.insert(listing.id);
    machine_hosts.insert(listing.host);
    Machine& machine = state.machines[listing.id];
    if (asked <= machine.ordered) {
      continue;  // The list is older than the answer to the last order.
    }
    const auto previous = state.hosts.find(machine.listing.host);
    if (listing.host != machine.listing.host && previous != state.hosts.end() &&
        previous->second.address_taken) {
      RemoveHost(state, machine.listing.host, EndEvidence::kNoMachine);
    }
    machine.listing = listing;
    has_corrected_end |= internal::CorrectEnd(state, machine, asked);
    // Machines of a standby pool have no hosts.
    const bool arrived =
        state.hosts.contains(listing.host) ||
        (listing.state == MachineState::kUp && IsStandby(state, listing.pool));
    if (listing.pool == machine.target && arrived) {
      machine.target.value.clear();
    }
  }
  std::erase_if(state.machines, [&](const auto& entry) {
    return !seen.contains(entry.first) && !entry.second.order_pending;
  });
  state.machines_known = true;
  internal::RemoveHostsWithoutMachine(state, machine_hosts);
  return has_corrected_end;
}

void LoadMachineOrder(State& state, const MachineId& machine,
                      core::Millis age) {
  if (age < state.settings.machine_lease + internal::kMaxClockDifference) {
    state.machine_order_allowed_from[machine] =
        state.took_over + state.settings.machine_lease;
  }
}

bool MayOrder(const State& state, const MachineId& machine,
              core::MonotonicTime now) {
  const auto held = state.machine_order_allowed_from.find(machine);
  return held == state.machine_order_allowed_from.end() || now >= held->second;
}

void AddWave(State& state, WaveRequest request, core::MonotonicTime now) {
  const WaveId id = request.id;
  Wave& wave = state.waves[id];
  if (!wave.request.machines.empty()) {
    return;
  }
  wave.request = std::move(request);
  wave.seen = now;
  if (!wave.complete && !wave.announced) {
    wave.announced = true;
    state.orders.emplace_back(SaveWave{id, false});
  }
}

void OnMachineAnswer(State& state, const MachineId& machine, const WaveId* wave,
                     MachineOutcome outcome, core::MonotonicTime now) {
  const auto found = state.machines.find(machine);
  if (found == state.machines.end()) {
    return;
  }
  Machine& entry = found->second;
  entry.ordered = now;
  if (outcome == MachineOutcome::kNoAnswer && !entry.unanswered_since) {
    entry.unanswered_since = now;
  }
  // The refusal of a repeated order says nothing about the copy without an
  // answer, which can still be carried out.
  const bool is_open =
      entry.unanswered_since && outcome != MachineOutcome::kDone &&
      (outcome == MachineOutcome::kNoAnswer ||
       now < *entry.unanswered_since + internal::kMaxCallDelay);
  if (is_open) {
    // The order stays pending and is repeated, but a move not on the next host,
    // which may have runs. A repeated upkeep completes its wave.
    const bool has_next_host = !entry.listing.host.value.empty() &&
                               entry.listing.host != entry.ordered_host;
    if (wave != nullptr) {
      state.orders.emplace_back(UpkeepMachine{machine, *wave});
    } else if (has_next_host) {
      entry.order_pending = false;
      entry.unanswered_since.reset();
      entry.target.value.clear();
    } else {
      state.orders.emplace_back(MoveMachine{machine, entry.ordered_pool});
    }
    return;
  }
  entry.order_pending = false;
  entry.unanswered_since.reset();
  if (outcome == MachineOutcome::kDone) {
    const bool is_next_incarnation = internal::HasNextIncarnation(state, entry);
    if (!is_next_incarnation) {
      internal::EndOrderedHost(state, entry);
    }
    // A repeated order may be answered when the machine already has its next
    // host.
    const bool listed_before =
        entry.listing.host == entry.ordered_host && !is_next_incarnation;
    if (listed_before) {
      entry.listing.host.value.clear();
      entry.listing.state =
          wave != nullptr ? MachineState::kUpkeep : MachineState::kMoving;
    }
    if (wave != nullptr) {
      state.waves[*wave].begun.insert(machine);
      state.orders.emplace_back(SaveWave{*wave, false});
    } else {
      if (listed_before) {
        entry.listing.pool = entry.ordered_pool;
      }
      ++state.counters.moves;
    }
    return;
  }
  entry.target.value.clear();
  if (wave != nullptr && outcome == MachineOutcome::kBusy) {
    entry.upkeep_allowed_from = now + internal::kUpkeepRetryDelay;
  }
  if (outcome == MachineOutcome::kRejected && wave != nullptr) {
    state.waves[*wave].begun.insert(machine);
  }
  if (Host* host = internal::HostOf(state, entry)) {
    host->reserved = false;
    host->busy_until = now;
  }
}

void PlanUpkeep(State& state, const PoolViews& views, core::MonotonicTime now) {
  if (!state.machines_known || now < state.next_upkeep) {
    return;
  }
  state.next_upkeep = now + internal::kUpkeepInterval;
  state.pools_without_room_for_upkeep.clear();
  internal::UpkeepPass pass = internal::BeginPass(state);
  for (auto& [id, wave] : state.waves) {
    if (!wave.complete && !wave.request.machines.empty()) {
      internal::AdvanceWave(state, wave, pass, views, now);
    }
  }
}

void EvacuateLeaving(State& state, const PoolViews& views,
                     core::MonotonicTime now) {
  for (auto& [id, host] : state.hosts) {
    const bool is_gone = !host.listed && now >= host.gone_at;
    if (host.listing.draining) {
      internal::Evacuate(state, host, views, false);
    } else if (is_gone && host.synced && !host.unresponsive_since &&
               now >= state.took_over + internal::kStopSettleTime) {
      internal::Evacuate(state, host, views, true);
    }
  }
}

}  // namespace camphormux::scheduler
