#include "camphormux/scheduler/balance.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <vector>

#include "camphormux/scheduler/arrivals.hpp"
#include "camphormux/scheduler/hosts.hpp"
#include "camphormux/scheduler/upkeep.hpp"

namespace camphormux::scheduler {
namespace internal {

/// Time between two looks at the balance; a fraction of a move's duration.
constexpr core::Millis kBalancePause{100};
/// An idle host is worth keeping this long, the price of a move and the move
/// back that its next surge would need.
constexpr core::Millis kIdleKept{2500};
/// Idle hosts that a pool keeps for the first moments of a surge.
constexpr std::int64_t kWarmHosts = 2;
/// A move that was not seen to end by then is not counted any more.
constexpr core::Millis kMoveTimeout{6000};
/// Moves of one look; the cloud's limit of calls is far above.
constexpr std::size_t kMovesPerLook = 8;

constexpr double kMilliCoresPerCore = 1000;

/// What a pool has and needs, in millicores.
struct PoolBalance {
  std::int64_t capacity = 0;  ///< With what is on its way.
  /// For what runs, what can still be on time and what is about to arrive.
  std::int64_t urgent_need = 0;
  std::int64_t need = 0;       ///< With what is late already.
  std::int64_t permanent = 0;  ///< Taken by permanent tasks.
  std::vector<Machine*> idle;  ///< Machines that could leave at once.
  bool standby = false;
};

bool IsCalm(const State& state, const core::PoolName& pool,
            core::MonotonicTime now, core::Millis calm) {
  const auto last = state.last_pending.find(pool);
  return last == state.last_pending.end() || now >= last->second + calm;
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

/// Adds the machines that are on their way to a pool. A host that has joined
/// while the list of machines does not name it yet is one of them.
void CountMoving(State& state, std::map<core::PoolName, PoolBalance>& pools,
                 core::MonotonicTime now) {
  std::set<core::HostId> linked;
  for (const auto& [id, machine] : state.machines) {
    linked.insert(machine.listing.host);
  }
  std::map<core::PoolName, std::int64_t> joined;
  for (const auto& [id, host] : state.hosts) {
    if (host.listed && !linked.contains(id)) {
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

std::map<core::PoolName, PoolBalance> Measure(State& state,
                                              const PoolViews& views,
                                              core::MonotonicTime now) {
  std::map<core::PoolName, PoolBalance> pools;
  for (const auto& [pool, policy] : state.catalog.pools) {
    pools[pool].standby = policy.standby;
  }
  for (const auto& [pool, view] : views) {
    PoolBalance& balance = pools[pool];
    std::int64_t taken = 0;
    for (const Host* host : view.usable) {
      balance.capacity += host->listing.capacity.cores.value;
      taken += host->committed.cores.value;
      for (const RunId id : host->runs) {
        const Run& run = state.runs.at(id);
        balance.permanent += run.permanent ? run.reserved.cores.value : 0;
      }
    }
    const auto arriving = static_cast<std::int64_t>(
        ForecastInflow(state, pool, now) * kMilliCoresPerCore);
    balance.urgent_need = std::max(taken, balance.permanent + arriving);
    // What waits found no room although some may be free: its tasks must be
    // apart, or need more memory than is left.
    const std::int64_t spread =
        view.usable.empty()
            ? 0
            : view.hosts_to_spread *
                  view.usable.front()->listing.capacity.cores.value;
    const std::int64_t waiting =
        std::max(view.unplaced.value - view.unplaced_late.value, spread);
    if (waiting > 0) {
      balance.urgent_need =
          std::max(balance.urgent_need, balance.capacity + waiting);
    }
    balance.need = balance.urgent_need;
    if (view.unplaced_late.value > 0) {
      balance.need =
          std::max(balance.need, balance.capacity + view.unplaced.value);
    }
  }
  CountMoving(state, pools, now);
  for (auto& [id, machine] : state.machines) {
    if (CanMove(state, machine, now)) {
      pools[machine.listing.pool].idle.push_back(&machine);
    }
  }
  return pools;
}

void Move(State& state, Machine& machine, const core::PoolName& pool,
          core::MonotonicTime now) {
  machine.order_pending = true;
  machine.ordered = now;
  machine.ordered_host = machine.listing.host;
  machine.target = pool;
  const auto host = state.hosts.find(machine.listing.host);
  if (host != state.hosts.end()) {
    host->second.reserved = true;
  }
  state.orders.emplace_back(MoveMachine{machine.listing.id, pool});
}

/// Takes an idle machine from the pool that can best spare one: a standby pool
/// first, then the pool with most idle hosts beyond its own need.
Machine* TakeIdle(std::map<core::PoolName, PoolBalance>& pools,
                  const core::PoolName& except) {
  PoolBalance* best = nullptr;
  for (auto& [pool, balance] : pools) {
    if (pool == except || balance.idle.empty()) {
      continue;
    }
    const std::int64_t size = balance.idle.back()->listing.capacity.cores.value;
    const std::int64_t kept =
        std::max(balance.urgent_need, balance.permanent + kWarmHosts * size);
    if (!balance.standby && balance.capacity - size < kept) {
      continue;
    }
    if (best == nullptr || (balance.standby && !best->standby) ||
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

/// Moves machines to pools that have less than they need, in turn.
void FillPools(State& state, std::map<core::PoolName, PoolBalance>& pools,
               std::int64_t PoolBalance::*need, core::MonotonicTime now) {
  std::size_t moves = 0;
  bool moved = true;
  while (moved && moves < kMovesPerLook) {
    moved = false;
    for (auto& [pool, balance] : pools) {
      if (balance.standby || balance.*need <= balance.capacity) {
        continue;
      }
      Machine* machine = TakeIdle(pools, pool);
      if (machine == nullptr) {
        continue;
      }
      balance.capacity += machine->listing.capacity.cores.value;
      Move(state, *machine, pool, now);
      moved = true;
      ++moves;
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

/// Powers down hosts that have been idle in calm pools.
void ParkIdle(State& state, std::map<core::PoolName, PoolBalance>& pools,
              core::MonotonicTime now) {
  const core::PoolName* standby = StandbyPool(state);
  if (standby == nullptr) {
    return;
  }
  for (auto& [pool, balance] : pools) {
    if (balance.standby || !IsCalm(state, pool, now, kIdleKept)) {
      continue;
    }
    while (std::ssize(balance.idle) > kWarmHosts) {
      Machine& machine = *balance.idle.back();
      balance.idle.pop_back();
      const Host& host = state.hosts.at(machine.listing.host);
      balance.capacity -= machine.listing.capacity.cores.value;
      if (balance.capacity < balance.urgent_need) {
        break;
      }
      if (now >= host.idle_since + kIdleKept) {
        Move(state, machine, *standby, now);
      }
    }
  }
}

}  // namespace internal

void PlanMoves(State& state, const PoolViews& views, core::MonotonicTime now) {
  if (!state.machines_known || now < state.next_balance) {
    return;
  }
  state.next_balance = now + internal::kBalancePause;
  auto pools = internal::Measure(state, views, now);
  internal::FillPools(state, pools, &internal::PoolBalance::urgent_need, now);
  internal::FillPools(state, pools, &internal::PoolBalance::need, now);
  internal::ParkIdle(state, pools, now);
}

}  // namespace camphormux::scheduler
