#include "camphormux/controller/status.hpp"

#include <algorithm>

#include "camphormux/state/fold.hpp"

namespace camphormux::controller {
namespace internal {

using state::Host;
using state::HostPhase;

constexpr double kMillisPerDay = 24.0 * 3600.0 * 1000.0;

std::vector<PoolStatus> CountPools(const state::FleetState& state) {
  std::map<core::PoolName, PoolStatus> pools;
  if (state.text.parsed) {
    for (const auto& [name, service] : state.text.parsed->services) {
      pools[service.pool].pool = service.pool;
    }
  }
  for (const auto& [id, host] : state.hosts) {
    if (!host.pool) {
      continue;
    }
    PoolStatus& pool = pools[*host.pool];
    pool.pool = *host.pool;
    pool.assigned += host.phase == HostPhase::kAssigned ? 1 : 0;
    pool.admitted += host.phase == HostPhase::kAdmitted ? 1 : 0;
    pool.draining += host.phase == HostPhase::kDraining ? 1 : 0;
    pool.empty += host.phase == HostPhase::kEmpty ? 1 : 0;
  }
  std::vector<PoolStatus> list;
  list.reserve(pools.size());
  for (const auto& [name, pool] : pools) {
    list.push_back(pool);
  }
  return list;
}

std::vector<MoveStatus> ListMoves(const state::FleetState& state) {
  std::vector<MoveStatus> moves;
  for (const auto& [id, host] : state.hosts) {
    if (host.pool && host.phase != HostPhase::kAdmitted) {
      moves.push_back({id, host.zone, *host.pool, Describe(host.phase),
                       Describe(host.drain_reason)});
    }
  }
  return moves;
}

MaintenanceStatus CollectMaintenance(const StatusInput& input) {
  MaintenanceStatus status;
  status.forecast = input.memory.plan.last.maintenance.forecast;
  status.postponed =
      static_cast<int>(input.memory.plan.last.maintenance.postponed.size());
  if (!input.state.text.parsed) {
    return status;
  }
  const core::Millis period = input.state.text.parsed->maintenance.period;
  double millis_left = static_cast<double>(period.count());
  for (const auto& [id, host] : input.state.hosts) {
    ++status.hosts;
    status.in_progress +=
        host.drain_reason == state::DrainReason::kMaintenance ? 1 : 0;
    const auto record = input.state.maintenance.find(id);
    if (record == input.state.maintenance.end()) {
      continue;
    }
    const core::Millis age = input.wall - record->second.last_done;
    if (age < period) {
      ++status.done;
      millis_left =
          std::min(millis_left, static_cast<double>((period - age).count()));
    } else {
      status.on_time = false;
    }
  }
  const int left = status.hosts - status.done;
  status.hosts_per_day_needed =
      left == 0 ? 0.0 : left * kMillisPerDay / std::max(millis_left, 1.0);
  return status;
}

}  // namespace internal

const char* Describe(state::HostPhase phase) {
  switch (phase) {
    case state::HostPhase::kReleased:
      return "released";
    case state::HostPhase::kAssigned:
      return "assigned";
    case state::HostPhase::kAdmitted:
      return "admitted";
    case state::HostPhase::kDraining:
      return "draining";
    case state::HostPhase::kEmpty:
      return "empty";
  }
  return "unknown";
}

const char* Describe(state::DrainReason reason) {
  switch (reason) {
    case state::DrainReason::kNone:
      return "none";
    case state::DrainReason::kMove:
      return "move";
    case state::DrainReason::kMaintenance:
      return "maintenance";
    case state::DrainReason::kQuarantine:
      return "quarantine";
  }
  return "unknown";
}

FleetStatus CollectStatus(const StatusInput& input) {
  FleetStatus status;
  status.process = input.process;
  status.zone = input.zone;
  status.idle = Describe(input.last.idle);
  status.revision = input.state.text.revision;
  status.offset = input.state.next;
  status.digest = state::Digest(input.state);
  status.skipped_records = input.state.skipped_records;
  status.missing = input.last.missing;
  status.cut_off = input.cut_off;
  status.leases = input.state.leases;
  status.pools = internal::CountPools(input.state);
  status.moves = internal::ListMoves(input.state);
  status.shortfalls = input.memory.plan.last.moves.shortfalls;
  status.maintenance = internal::CollectMaintenance(input);
  if (input.jobs != nullptr) {
    status.jobs = dispatch::CountJobs(input.jobs->fold(), input.jobs->driver());
  }
  status.released = static_cast<int>(std::count_if(
      input.state.hosts.begin(), input.state.hosts.end(), [](const auto& item) {
        return item.second.phase == state::HostPhase::kReleased;
      }));
  return status;
}

}  // namespace camphormux::controller
