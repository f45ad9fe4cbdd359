#include "camphormux/scheduler/balance.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

#include "camphormux/scheduler/hosts.hpp"
#include "camphormux/scheduler/upkeep.hpp"

namespace camphormux::scheduler {
namespace internal {

/// Time between two looks at the balance; a fraction of a move's duration.
constexpr core::Millis kBalancePause{100};
/// A pool gives hosts away when none of its tasks has waited for this long.
constexpr core::Millis kCalm{1000};
/// An idle host is worth keeping this long, the price of a move and the move
/// back that its next surge would need.
constexpr core::Millis kIdleKept{2500};
/// Idle hosts that a pool keeps for the first moments of a surge.
constexpr std::size_t kWarmHosts = 2;
/// A move that was not seen to end by then is not counted any more.
constexpr core::Millis kMoveTimeout{6000};
/// Moves of one look; the cloud's limit of calls is far above.
constexpr std::size_t kMovesPerLook = 8;

/// Time constant of the arriving work: half of a move's duration, so that hosts
/// are ordered in the first half second of a surge.
constexpr double kInflowMillis = 700;
constexpr double kMillisPerSecond = 1000;
constexpr double kMilliCoresPerCore = 1000;

struct PoolBalance {
  std::int64_t missing_cores =
      0;                       ///< In millicores; what is on its way is off.
  std::vector<Machine*> idle;  ///< Machines that could leave at once.
};

bool IsStandby(const State& state, const core::PoolName& pool) {
  const auto found = state.catalog.pools.find(pool);
  return found != state.catalog.pools.end() && found->second.standby;
}

bool IsCalm(const State& state, const core::PoolName& pool,
            core::MonotonicTime now, core::Millis calm) {
  const auto last = state.last_pending.find(pool);
  return last == state.last_pending.end() || now >= last->second + calm;
}

bool CanMove(const State& state, const Machine& machine) {
  if (machine.listing.state != MachineState::kUp || machine.order_pending ||
      !machine.target.value.empty()) {
    return false;
  }
  const auto host = state.hosts.find(machine.listing.host);
  if (host == state.hosts.end()) {
    return IsStandby(state, machine.listing.pool);
  }
  return host->second.runs.empty() && host->second.synced &&
         host->second.listed && !host->second.reserved &&
         !host->second.listing.draining && !host->second.silent_since;
}

std::map<core::PoolName, PoolBalance> Measure(State& state,
                                              const PoolViews& views,
                                              core::MonotonicTime now) {
  std::map<core::PoolName, PoolBalance> pools;
  for (const auto& [pool, view] : views) {
    std::int64_t capacity = 0;
    for (const Host* host : view.usable) {
      capacity += host->listing.capacity.cores.value;
    }
    const auto arriving = static_cast<std::int64_t>(InflowOf(state, pool, now) *
                                                    kMilliCoresPerCore);
    pools[pool].missing_cores +=
        std::max(view.unplaced.value, arriving - capacity);
  }
  for (auto& [id, machine] : state.machines) {
    if (!machine.target.value.empty()) {
      if (now >= machine.ordered + kMoveTimeout) {
        machine.target.value.clear();
      } else {
        pools[machine.target].missing_cores -=
            machine.listing.capacity.cores.value;
      }
    }
    if (CanMove(state, machine)) {
      pools[machine.listing.pool].idle.push_back(&machine);
    }
  }
  return pools;
}

void Move(State& state, Machine& machine, const core::PoolName& pool,
          core::MonotonicTime now) {
  machine.order_pending = true;
  machine.ordered = now;
  machine.target = pool;
  const auto host = state.hosts.find(machine.listing.host);
  if (host != state.hosts.end()) {
    host->second.reserved = true;
  }
  state.orders.emplace_back(MoveMachine{machine.listing.id, pool});
}

/// Takes an idle machine from the pool that can best spare one: a standby pool
/// first, then calm pools with most idle hosts.
Machine* TakeIdle(const State& state,
                  std::map<core::PoolName, PoolBalance>& pools,
                  const core::PoolName& except, core::MonotonicTime now) {
  PoolBalance* best = nullptr;
  bool best_standby = false;
  for (auto& [pool, balance] : pools) {
    const bool standby = IsStandby(state, pool);
    const std::size_t kept = standby ? 0 : kWarmHosts;
    if (pool == except || balance.idle.size() <= kept ||
        balance.missing_cores > 0 ||
        (!standby && !IsCalm(state, pool, now, kCalm))) {
      continue;
    }
    if (best == nullptr || (standby && !best_standby) ||
        (standby == best_standby && balance.idle.size() > best->idle.size())) {
      best = &balance;
      best_standby = standby;
    }
  }
  if (best == nullptr) {
    return nullptr;
  }
  Machine* machine = best->idle.back();
  best->idle.pop_back();
  return machine;
}

void FillPools(State& state, std::map<core::PoolName, PoolBalance>& pools,
               core::MonotonicTime now) {
  std::size_t moves = 0;
  for (auto& [pool, balance] : pools) {
    if (IsStandby(state, pool)) {
      continue;
    }
    while (balance.missing_cores > 0 && moves < kMovesPerLook) {
      Machine* machine = TakeIdle(state, pools, pool, now);
      if (machine == nullptr) {
        return;
      }
      balance.missing_cores -= machine->listing.capacity.cores.value;
      Move(state, *machine, pool, now);
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
    if (IsStandby(state, pool) || !IsCalm(state, pool, now, kIdleKept)) {
      continue;
    }
    while (balance.idle.size() > kWarmHosts) {
      Machine& machine = *balance.idle.back();
      balance.idle.pop_back();
      const Host& host = state.hosts.at(machine.listing.host);
      if (now >= host.idle_since + kIdleKept) {
        Move(state, machine, *standby, now);
      }
    }
  }
}

}  // namespace internal

double InflowOf(const State& state, const core::PoolName& pool,
                core::MonotonicTime now) {
  const auto found = state.inflows.find(pool);
  if (found == state.inflows.end()) {
    return 0;
  }
  const auto age = static_cast<double>((now - found->second.updated).count());
  return found->second.cores * std::exp(-age / internal::kInflowMillis);
}

void NoteArrival(State& state, const Job& job, core::MonotonicTime now) {
  if (job.permanent || job.spec.occurrences > 0) {
    return;
  }
  const double cores = InflowOf(state, job.pool, now);
  state.inflows[job.pool] = {cores + job.core_seconds *
                                         internal::kMillisPerSecond /
                                         internal::kInflowMillis,
                             now};
}

void PlanMoves(State& state, const PoolViews& views, core::MonotonicTime now) {
  if (!state.machines_known || now < state.next_balance ||
      now < state.took_over + state.settings.machine_lease) {
    return;
  }
  state.next_balance = now + internal::kBalancePause;
  auto pools = internal::Measure(state, views, now);
  internal::FillPools(state, pools, now);
  internal::ParkIdle(state, pools, now);
}

}  // namespace camphormux::scheduler
