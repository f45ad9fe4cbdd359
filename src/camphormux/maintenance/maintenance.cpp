#include "camphormux/maintenance/maintenance.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

#include "camphormux/maintenance/forecast.hpp"
#include "camphormux/moves/moves.hpp"

namespace camphormux::maintenance {
namespace internal {

/// Hosts of a pool while a decision is made.
struct PoolCount {
  const PoolBudget* budget = nullptr;
  int available = 0;
  int members = 0;         ///< Without those that move away.
  int in_maintenance = 0;  ///< Drained for maintenance, rebooting included.
  std::map<core::RackName, int> available_by_rack;
};

struct WaveView {
  const MaintenanceInput* input = nullptr;
  std::map<core::PoolName, PoolCount> pools;
  std::set<core::RackName> active_racks;  ///< With hosts in maintenance.
  std::set<core::RackName> failed_racks;
  bool many_missing = false;
};

bool InMaintenance(const state::Host& host) {
  return host.drain_reason == state::DrainReason::kMaintenance &&
         (host.phase == state::HostPhase::kDraining ||
          host.phase == state::HostPhase::kEmpty);
}

bool MovesAway(const state::Host& host) {
  return host.drain_reason == state::DrainReason::kMove &&
         (host.phase == state::HostPhase::kDraining ||
          host.phase == state::HostPhase::kEmpty);
}

/// A rack counts as failed when more than one and at least half of its hosts
/// are missing without being in maintenance.
std::set<core::RackName> FailedRacks(const MaintenanceInput& input) {
  std::map<core::RackName, int> hosts;
  std::map<core::RackName, int> missing;
  for (const state::Host& host : input.hosts) {
    ++hosts[host.rack];
    const bool lost =
        input.missing.contains(host.id) && !input.rebooting.contains(host.id);
    missing[host.rack] += lost ? 1 : 0;
  }
  std::set<core::RackName> failed;
  for (const auto& [rack, count] : hosts) {
    if (missing[rack] > 1 && 2 * missing[rack] >= count) {
      failed.insert(rack);
    }
  }
  return failed;
}

/// Missing hosts that are not down for their own maintenance.
std::set<core::HostId> LostHosts(const MaintenanceInput& input) {
  std::set<core::HostId> lost;
  std::set_difference(input.missing.begin(), input.missing.end(),
                      input.rebooting.begin(), input.rebooting.end(),
                      std::inserter(lost, lost.end()));
  return lost;
}

WaveView MakeView(const MaintenanceInput& input) {
  WaveView view;
  view.input = &input;
  for (const PoolBudget& budget : input.budgets) {
    view.pools[budget.pool].budget = &budget;
  }
  for (const state::Host& host : input.hosts) {
    if (InMaintenance(host)) {
      view.active_racks.insert(host.rack);
    }
    if (!host.pool || !view.pools.contains(*host.pool) || MovesAway(host)) {
      continue;
    }
    PoolCount& count = view.pools[*host.pool];
    ++count.members;
    count.in_maintenance += InMaintenance(host) ? 1 : 0;
    if (host.phase == state::HostPhase::kAdmitted &&
        !input.missing.contains(host.id)) {
      ++count.available;
      ++count.available_by_rack[host.rack];
    }
  }
  view.failed_racks = FailedRacks(input);
  view.many_missing =
      moves::ManyMissing(input.hosts, LostHosts(input), input.missing_share);
  return view;
}

int BudgetOf(const PoolCount& count) {
  return std::max(1, moves::MinAvailableHosts(count.budget->floor,
                                              count.budget->host_availability,
                                              count.members));
}

/// Why a drained host must go back, if it must.
std::optional<GiveBackCause> GiveBackCauseOf(const WaveView& view,
                                             const PoolCount& count) {
  if (view.many_missing) {
    return GiveBackCause::kManyMissing;
  }
  if (!view.failed_racks.empty()) {
    return GiveBackCause::kRackFailed;
  }
  if (count.available < BudgetOf(count)) {
    return GiveBackCause::kBudget;
  }
  return count.available < count.budget->needed
             ? std::optional(GiveBackCause::kSurge)
             : std::nullopt;
}

/// Reboots empty hosts, unless their pool or a failure wants them back.
void SettleDrained(WaveView& view, MaintenanceDecision& decision) {
  for (const state::Host& host : view.input->hosts) {
    const bool rebooting = view.input->rebooting.contains(host.id);
    if (!InMaintenance(host) || rebooting || !host.pool ||
        !view.pools.contains(*host.pool)) {
      continue;
    }
    PoolCount& count = view.pools[*host.pool];
    const std::optional<GiveBackCause> cause = GiveBackCauseOf(view, count);
    if (cause && !view.input->missing.contains(host.id)) {
      decision.give_backs.push_back(
          {host.id, *host.pool, *cause, count.available,
           std::max(BudgetOf(count), count.budget->needed)});
      ++count.available;
      --count.in_maintenance;
    } else if (!cause && host.phase == state::HostPhase::kEmpty) {
      decision.reboots.push_back(host.id);
    }
  }
}

struct DueHost {
  const state::Host* host;
  core::WallTime deadline;
};

/// Due hosts, whole racks together, the rack with the earliest deadline first.
std::vector<DueHost> DueHosts(const MaintenanceInput& input) {
  std::vector<DueHost> due;
  std::map<core::RackName, core::WallTime> rack_deadline;
  for (const state::Host& host : input.hosts) {
    const core::WallTime deadline = DeadlineOf(input, host.id);
    if (InMaintenance(host) || input.missing.contains(host.id) ||
        input.now < DueFrom(input.plan, deadline)) {
      continue;
    }
    due.push_back({&host, deadline});
    auto& earliest =
        rack_deadline.try_emplace(host.rack, deadline).first->second;
    earliest = std::min(earliest, deadline);
  }
  std::stable_sort(due.begin(), due.end(),
                   [&](const DueHost& a, const DueHost& b) {
                     const auto key = [&](const DueHost& item) {
                       return std::tie(rack_deadline.at(item.host->rack),
                                       item.host->rack, item.deadline);
                     };
                     return key(a) < key(b);
                   });
  return due;
}

/// Causes that stop the whole zone.
std::optional<PostponeCause> ZoneCause(const WaveView& view) {
  if (view.many_missing) {
    return PostponeCause::kManyMissing;
  }
  if (!view.failed_racks.empty()) {
    return PostponeCause::kRackFailed;
  }
  return InWindow(view.input->plan, view.input->now)
             ? std::nullopt
             : std::optional(PostponeCause::kWindow);
}

/// Causes that hold back one host; none if it may be drained.
std::optional<PostponeCause> HostCause(const WaveView& view,
                                       const state::Host& host) {
  const bool settled = host.phase == state::HostPhase::kAdmitted && host.pool &&
                       view.pools.contains(*host.pool);
  if (!settled) {
    return PostponeCause::kNotAdmitted;
  }
  const bool rack_open = view.active_racks.contains(host.rack) ||
                         static_cast<int>(view.active_racks.size()) <
                             view.input->plan.max_parallel_racks;
  if (!rack_open) {
    return PostponeCause::kRacks;
  }
  const PoolCount& count = view.pools.at(*host.pool);
  if (count.budget->surging) {
    return PostponeCause::kSurge;
  }
  const int left = count.available - 1;
  if (left < BudgetOf(count)) {
    return PostponeCause::kBudget;
  }
  if (left < count.budget->needed) {
    return PostponeCause::kDemand;
  }
  const int elsewhere = count.available - count.available_by_rack.at(host.rack);
  return elsewhere == 0 && left < 1 ? std::optional(PostponeCause::kLastRack)
                                    : std::nullopt;
}

Postponement MakePostponement(const WaveView& view, const DueHost& due,
                              PostponeCause cause) {
  Postponement postponement{
      due.host->id, due.host->rack, cause, due.deadline, 0, 0};
  const bool by_pool =
      cause == PostponeCause::kBudget || cause == PostponeCause::kDemand ||
      cause == PostponeCause::kSurge || cause == PostponeCause::kLastRack;
  if (by_pool) {
    const PoolCount& count = view.pools.at(*due.host->pool);
    postponement.available = count.available;
    postponement.minimum = std::max(BudgetOf(count), count.budget->needed);
  }
  return postponement;
}

void DrainHost(WaveView& view, const DueHost& due,
               MaintenanceDecision& decision) {
  PoolCount& count = view.pools.at(*due.host->pool);
  decision.drains.push_back({due.host->id, *due.host->pool, due.host->rack,
                             due.deadline, count.available,
                             std::max(BudgetOf(count), count.budget->needed)});
  --count.available;
  --count.available_by_rack[due.host->rack];
  ++count.in_maintenance;
  view.active_racks.insert(due.host->rack);
}

/// Drains what budgets allow and lists what waits.
void AdvanceWave(WaveView& view, MaintenanceDecision& decision) {
  const std::optional<PostponeCause> zone_cause = ZoneCause(view);
  std::set<core::PoolName> short_of_hosts;
  for (const DueHost& due : DueHosts(*view.input)) {
    const std::optional<PostponeCause> cause =
        zone_cause ? zone_cause : HostCause(view, *due.host);
    if (!cause) {
      DrainHost(view, due, decision);
      continue;
    }
    decision.postponed.push_back(MakePostponement(view, due, *cause));
    const bool lacks_host =
        *cause == PostponeCause::kBudget || *cause == PostponeCause::kDemand;
    if (lacks_host && view.pools.at(*due.host->pool).in_maintenance == 0) {
      short_of_hosts.insert(*due.host->pool);
    }
  }
  decision.reserve.assign(short_of_hosts.begin(), short_of_hosts.end());
}

}  // namespace internal

core::WallTime DeadlineOf(const MaintenanceInput& input,
                          const core::HostId& host) {
  const auto done = input.last_done.find(host);
  const core::WallTime last =
      done == input.last_done.end() ? input.epoch_start : done->second;
  return last + input.plan.period;
}

MaintenanceDecision DecideMaintenance(const MaintenanceInput& input) {
  MaintenanceDecision decision;
  internal::WaveView view = internal::MakeView(input);
  decision.stopped = view.many_missing || !view.failed_racks.empty();
  internal::SettleDrained(view, decision);
  internal::AdvanceWave(view, decision);
  decision.forecast = internal::ForecastMiss(input);
  return decision;
}

std::vector<PoolBudget> BudgetsOf(const text::OperatorText& text,
                                  const sizing::Sizes& sizes,
                                  const core::ZoneName& zone) {
  std::vector<PoolBudget> budgets;
  for (const auto& [name, size] : sizes.services) {
    const auto found = size.zones.find(zone);
    if (found == size.zones.end()) {
      continue;
    }
    const sizing::ZoneSize& zone_size = found->second;
    budgets.push_back(
        {size.pool, zone_size.floor,
         std::max(zone_size.floor, zone_size.needed - zone_size.reserve),
         text.services.at(name).host_availability, size.surging});
  }
  return budgets;
}

}  // namespace camphormux::maintenance
