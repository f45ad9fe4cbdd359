#include "camphormux/scheduler/balance.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <map>
#include <vector>

#include "camphormux/scheduler/arrivals.hpp"
#include "camphormux/scheduler/hosts.hpp"
#include "camphormux/scheduler/upkeep.hpp"

namespace camphormux::scheduler {
namespace internal {

/// Interval of balancing passes; a fraction of the duration of a move.
constexpr core::Millis kBalanceInterval{100};
/// Time that an idle host is kept before it is parked: the cost of the move and
/// of the move back that the next surge would need.
constexpr core::Millis kIdleRetention{2500};
/// Idle hosts that a pool keeps for the start of a surge.
constexpr std::int64_t kWarmHosts = 2;
/// A move that has not been observed to complete within this time is no longer
/// counted.
constexpr core::Millis kMoveTimeout{6000};
/// Share of the platform's limit that moves use; upkeep needs the rest.
constexpr double kMoveShare = 0.9;
/// Moves of this time may be ordered at once.
constexpr std::chrono::duration<double> kMoveBurst{0.5};

constexpr double kMilliCoresPerCore = 1000;

/// Capacity and demand of a pool in millicores.
struct PoolBalance {
  std::int64_t present = 0;  ///< Hosts that can take tasks now.
  /// Includes machines that are moving to the pool.
  std::int64_t capacity = 0;
  /// Demand of running tasks, of jobs that can still be on time and of the work
  /// that is about to arrive.
  std::int64_t urgent_demand = 0;
  /// Urgent demand plus that of jobs that are already late.
  std::int64_t demand = 0;
  std::int64_t permanent = 0;  ///< Cores reserved by permanent tasks.
  std::vector<Machine*> idle;  ///< Machines that can leave immediately.
  bool standby = false;
};

bool HadNoPendingTasks(const State& state, const core::PoolName& pool,
                       core::MonotonicTime now, core::Millis period) {
  const auto last = state.last_pending.find(pool);
  return last == state.last_pending.end() || now >= last->second + period;
}

bool CanMove(const State& state, const Machine& machine,
             core::MonotonicTime now) {
  if (machine.listing.state != MachineState::kUp || machine.order_pending ||
      !machine.target.value.empty() ||
      !MayOrder(state, machine.listing.id, now)) {
    return false;
  }
  const auto host = state.hosts.find(machine.listing.host);
  if (host == state.hosts.end()) {
    return IsStandby(state, machine.listing.pool);
  }
  return host->second.runs.empty() && host->second.synced &&
         host->second.listed && !host->second.reserved &&
         !host->second.listing.draining && !host->second.unresponsive_since;
}

/// Adds the capacity of machines that are moving to a pool. A host that has
/// joined a pool but is not linked to a machine in the list yet is counted
/// once.
void AddMovingCapacity(State& state,
                       std::map<core::PoolName, PoolBalance>& pools,
                       core::MonotonicTime now) {
  std::set<core::HostId> machine_hosts;
  for (const auto& [id, machine] : state.machines) {
    machine_hosts.insert(machine.listing.host);
  }
  std::map<core::PoolName, std::int64_t> joined;
  for (const auto& [id, host] : state.hosts) {
    if (host.listed && !machine_hosts.contains(id)) {
      joined[host.listing.pool] += host.listing.capacity.cores.value;
    }
  }
  std::map<core::PoolName, std::int64_t> moving;
  for (auto& [id, machine] : state.machines) {
    if (machine.target.value.empty()) {
      continue;
    }
    if (now >= machine.ordered + kMoveTimeout) {
      machine.target.value.clear();
    } else {
      moving[machine.target] += machine.listing.capacity.cores.value;
    }
  }
  for (const auto& [pool, cores] : moving) {
    pools[pool].capacity += std::max<std::int64_t>(0, cores - joined[pool]);
  }
}

std::map<core::PoolName, PoolBalance> MeasurePools(State& state,
                                                   const PoolViews& views,
                                                   core::MonotonicTime now) {
  std::map<core::PoolName, PoolBalance> pools;
  for (const auto& [pool, policy] : state.catalog.pools) {
    pools[pool].standby = policy.standby;
  }
  for (const auto& [pool, view] : views) {
    PoolBalance& balance = pools[pool];
    std::int64_t reserved_cores = 0;
    for (const Host* host : view.usable) {
      balance.present += host->listing.capacity.cores.value;
      reserved_cores += host->committed.cores.value;
      for (const RunId id : host->runs) {
        const Run& run = state.runs.at(id);
        balance.permanent += run.permanent ? run.reserved.cores.value : 0;
      }
    }
    balance.capacity = balance.present;
    const auto arriving = static_cast<std::int64_t>(
        ForecastArrivalRate(state, pool, now) * kMilliCoresPerCore);
    balance.urgent_demand =
        std::max(reserved_cores, balance.permanent + arriving);
    // Machines that are on their way will take what waits now, so that it adds
    // to the present hosts only. Tasks can be unplaced although cores are free:
    // they must run on different hosts or need more memory than is left on any
    // host.
    const std::uint32_t hosts =
        std::max(view.hosts_to_spread,
                 state.pools_without_room_for_upkeep.contains(pool) ? 1U : 0U);
    const std::int64_t spread =
        view.usable.empty()
            ? 0
            : hosts * view.usable.front()->listing.capacity.cores.value;
    const std::int64_t waiting =
        std::max(view.unplaced.value - view.unplaced_late.value, spread);
    if (waiting > 0) {
      balance.urgent_demand =
          std::max(balance.urgent_demand, balance.present + waiting);
    }
    balance.demand = balance.urgent_demand;
    if (view.unplaced_late.value > 0) {
      balance.demand =
          std::max(balance.demand, balance.present + view.unplaced.value);
    }
  }
  AddMovingCapacity(state, pools, now);
  for (auto& [id, machine] : state.machines) {
    if (CanMove(state, machine, now)) {
      pools[machine.listing.pool].idle.push_back(&machine);
    }
  }
  return pools;
}

void OrderMove(State& state, Machine& machine, const core::PoolName& pool,
               core::MonotonicTime now) {
  machine.order_pending = true;
  machine.ordered = now;
  machine.ordered_host = machine.listing.host;
  machine.target = pool;
  machine.ordered_pool = pool;
  machine.ordered_incarnation = {};
  const auto host = state.hosts.find(machine.listing.host);
  if (host != state.hosts.end()) {
    machine.ordered_incarnation = host->second.listing.incarnation;
    host->second.reserved = true;
  }
  state.move_budget -= 1;
  state.orders.emplace_back(MoveMachine{machine.listing.id, pool});
}

/// Takes an idle machine from the pool with most idle hosts among those whose
/// capacity exceeds their own demand, otherwise from a standby pool: hosts that
/// are idle are paid for, and would be parked later by a move of their own.
Machine* TakeIdleMachine(std::map<core::PoolName, PoolBalance>& pools,
                         const core::PoolName& except) {
  PoolBalance* best = nullptr;
  for (auto& [pool, balance] : pools) {
    if (pool == except || balance.idle.empty()) {
      continue;
    }
    const std::int64_t size = balance.idle.back()->listing.capacity.cores.value;
    const std::int64_t required =
        std::max(balance.urgent_demand, balance.permanent + kWarmHosts * size);
    if (!balance.standby && balance.capacity - size < required) {
      continue;
    }
    if (best == nullptr || (!balance.standby && best->standby) ||
        (balance.standby == best->standby &&
         balance.idle.size() > best->idle.size())) {
      best = &balance;
    }
  }
  if (best == nullptr) {
    return nullptr;
  }
  Machine* machine = best->idle.back();
  best->idle.pop_back();
  best->capacity -= machine->listing.capacity.cores.value;
  return machine;
}

/// Adds the moves that the platform accepts since the last pass to those that
/// may be ordered.
void RefillMoveBudget(State& state, core::MonotonicTime now) {
  const double per_second =
      kMoveShare * state.settings.machine_orders_per_second;
  const std::chrono::duration<double> elapsed = now - state.move_budget_updated;
  state.move_budget =
      std::min(per_second * kMoveBurst.count(),
               state.move_budget + per_second * elapsed.count());
  state.move_budget_updated = now;
}

/// Moves machines to pools whose capacity is below their demand, one pool after
/// the other.
void FillPools(State& state, std::map<core::PoolName, PoolBalance>& pools,
               std::int64_t PoolBalance::*demand, core::MonotonicTime now) {
  bool moved = true;
  while (moved) {
    moved = false;
    for (auto& [pool, balance] : pools) {
      if (balance.standby || balance.*demand <= balance.capacity ||
          state.move_budget < 1) {
        continue;
      }
      Machine* machine = TakeIdleMachine(pools, pool);
      if (machine == nullptr) {
        continue;
      }
      balance.capacity += machine->listing.capacity.cores.value;
      OrderMove(state, *machine, pool, now);
      moved = true;
    }
  }
}

const core::PoolName* StandbyPool(const State& state) {
  for (const auto& [pool, policy] : state.catalog.pools) {
    if (policy.standby) {
      return &pool;
    }
  }
  return nullptr;
}

/// Moves hosts to the standby pool that have been idle in pools without recent
/// pending tasks.
void ParkIdleMachines(State& state,
                      std::map<core::PoolName, PoolBalance>& pools,
                      core::MonotonicTime now) {
  const core::PoolName* standby = StandbyPool(state);
  if (standby == nullptr) {
    return;
  }
  for (auto& [pool, balance] : pools) {
    if (balance.standby ||
        !HadNoPendingTasks(state, pool, now, kIdleRetention)) {
      continue;
    }
    while (std::ssize(balance.idle) > kWarmHosts && state.move_budget >= 1) {
      Machine& machine = *balance.idle.back();
      balance.idle.pop_back();
      const Host& host = state.hosts.at(machine.listing.host);
      balance.capacity -= machine.listing.capacity.cores.value;
      if (balance.capacity < balance.urgent_demand) {
        break;
      }
      if (now >= host.idle_since + kIdleRetention) {
        OrderMove(state, machine, *standby, now);
      }
    }
  }
}

}  // namespace internal

void PlanMoves(State& state, const PoolViews& views, core::MonotonicTime now) {
  if (!state.machines_known || now < state.next_balance) {
    return;
  }
  state.next_balance = now + internal::kBalanceInterval;
  internal::RefillMoveBudget(state, now);
  auto pools = internal::MeasurePools(state, views, now);
  internal::FillPools(state, pools, &internal::PoolBalance::urgent_demand, now);
  internal::FillPools(state, pools, &internal::PoolBalance::demand, now);
  internal::ParkIdleMachines(state, pools, now);
}

}  // namespace camphormux::scheduler
