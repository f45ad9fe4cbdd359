#include "camphormux/scheduler/upkeep.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "camphormux/scheduler/availability.hpp"
#include "camphormux/scheduler/hosts.hpp"
#include "camphormux/scheduler/placing.hpp"
#include "camphormux/scheduler/runs.hpp"

namespace camphormux::scheduler {
namespace internal {

/// Number of hosts that are drained in addition to those that may be down at
/// the same time, so that the next one is empty when a machine returns.
constexpr std::size_t kHostsDrainedAhead = 2;

/// Interval of planning the waves; a small fraction of the duration of an
/// upkeep.
constexpr core::Millis kUpkeepInterval{50};

/// Time after a takeover by which stops that the previous lease holder ordered
/// have taken effect; a host takes up to 0.9 s. Until then a task that is about
/// to stop may still appear as running.
constexpr core::Millis kStopSettleTime{3000};

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

void AdvanceWave(State& state, Wave& wave, const PoolViews& views,
                 core::MonotonicTime now) {
  std::size_t down = 0;
  std::vector<Candidate> waiting;
  for (const MachineId& id : wave.request.machines) {
    const auto found = state.machines.find(id);
    if (found == state.machines.end()) {
      continue;
    }
    Machine& machine = found->second;
    if (IsDown(machine)) {
      ++down;
    } else if (!wave.begun.contains(id) && MayOrder(state, id, now) &&
               machine.listing.state == MachineState::kUp) {
      Host* host = HostOf(state, machine);
      // Hosts that were chosen in an earlier pass stay chosen.
      const bool chosen = host != nullptr && host->reserved;
      waiting.push_back(
          {{!chosen, DrainCost(state, host), id}, &machine, host});
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
      break;
    }
    ++chosen;
    if (host != nullptr) {
      host->reserved = true;
      if (!host->runs.empty()) {
        if (now >= state.took_over + kStopSettleTime) {
          Evacuate(state, *host, views, true);
        }
        continue;
      }
    }
    if (ordered < headroom) {
      ++ordered;
      machine->order_pending = true;
      machine->ordered = now;
      machine->ordered_host = machine->listing.host;
      state.orders.emplace_back(
          UpkeepMachine{machine->listing.id, wave.request.id});
    }
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

void ApplyMachines(State& state, const std::vector<MachineListing>& listings,
                   core::MonotonicTime asked) {
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
    // The order stays pending and is repeated.
    if (wave != nullptr) {
      state.orders.emplace_back(UpkeepMachine{machine, *wave});
    } else {
      state.orders.emplace_back(MoveMachine{machine, entry.target});
    }
    return;
  }
  entry.order_pending = false;
  entry.unanswered_since.reset();
  if (outcome == MachineOutcome::kDone) {
    RemoveHost(state, entry.ordered_host, EndEvidence::kMachineOrdered);
    // A repeated order may be answered when the machine already has its next
    // host.
    const bool listed_before = entry.listing.host == entry.ordered_host;
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
        entry.listing.pool = entry.target;
      }
      ++state.counters.moves;
    }
    return;
  }
  entry.target.value.clear();
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
  for (auto& [id, wave] : state.waves) {
    if (!wave.complete && !wave.request.machines.empty()) {
      internal::AdvanceWave(state, wave, views, now);
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
