#include "camphormux/maintenance/forecast.hpp"

#include <algorithm>

#include "camphormux/moves/moves.hpp"

namespace camphormux::maintenance::internal {
namespace {

/// Part of the period before the deadline in which a host is due. A quarter
/// (5 days of 3 weeks) outlasts a zone failure and its repair.
constexpr int kDuePart = 4;

using HostsByPool = std::map<core::PoolName, int>;

/// Hosts that a pool can spare at once; 1 when its budget has no slack,
/// because sizing lends it one.
HostsByPool SparedByPool(const MaintenanceInput& input) {
  HostsByPool members;
  for (const state::Host& host : input.hosts) {
    if (host.pool) {
      ++members[*host.pool];
    }
  }
  HostsByPool spared;
  for (const PoolBudget& budget : input.budgets) {
    const int count = members[budget.pool];
    const int minimum = std::max(
        moves::MinAvailableHosts(budget.floor, budget.host_availability, count),
        budget.needed);
    spared[budget.pool] = std::max(1, count - minimum);
  }
  return spared;
}

/// Consecutive drains that a rack takes.
int RoundsOf(const HostsByPool& in_rack, const HostsByPool& spared) {
  int rounds = 1;
  for (const auto& [pool, count] : in_rack) {
    const auto found = spared.find(pool);
    const int at_once = found == spared.end() ? 1 : found->second;
    rounds = std::max(rounds, (count + at_once - 1) / at_once);
  }
  return rounds;
}

struct RackWork {
  core::WallTime deadline = core::WallTime::max();
  core::HostId first_host;  ///< The one with the earliest deadline.
  HostsByPool pools;
  int hosts = 0;
};

std::vector<RackWork> PendingRacks(const MaintenanceInput& input) {
  std::map<core::RackName, RackWork> racks;
  for (const state::Host& host : input.hosts) {
    const core::WallTime deadline = DeadlineOf(input, host.id);
    if (input.now < DueFrom(input.plan, deadline)) {
      continue;
    }
    RackWork& rack = racks[host.rack];
    ++rack.hosts;
    if (host.pool) {
      ++rack.pools[*host.pool];
    }
    if (deadline < rack.deadline) {
      rack.deadline = deadline;
      rack.first_host = host.id;
    }
  }
  std::vector<RackWork> ordered;
  ordered.reserve(racks.size());
  for (auto& [name, rack] : racks) {
    ordered.push_back(std::move(rack));
  }
  std::stable_sort(ordered.begin(), ordered.end(),
                   [](const RackWork& a, const RackWork& b) {
                     return a.deadline < b.deadline;
                   });
  return ordered;
}

}  // namespace

core::WallTime DueFrom(const text::MaintenancePlan& plan,
                       core::WallTime deadline) {
  return deadline - plan.period / kDuePart;
}

bool InWindow(const text::MaintenancePlan& plan, core::WallTime now) {
  constexpr core::Millis kDay = std::chrono::hours(24);
  const core::Millis since_midnight = now.time_since_epoch() % kDay;
  return since_midnight >= plan.window_start &&
         since_midnight < plan.window_end;
}

std::optional<Forecast> ForecastMiss(const MaintenanceInput& input) {
  constexpr double kDayMs = 24.0 * 3600.0 * 1000.0;
  const HostsByPool spared = SparedByPool(input);
  const double open_share =
      static_cast<double>(
          (input.plan.window_end - input.plan.window_start).count()) /
      kDayMs;
  const double parallel = input.plan.max_parallel_racks;
  double work_ms = 0.0;
  std::optional<Forecast> miss;
  int late_hosts = 0;
  for (const RackWork& rack : PendingRacks(input)) {
    work_ms += static_cast<double>(input.host_duration.count()) *
               RoundsOf(rack.pools, spared);
    const core::WallTime expected =
        input.now + core::Millis{static_cast<core::Millis::rep>(
                        work_ms / parallel / open_share)};
    if (expected <= rack.deadline) {
      continue;
    }
    late_hosts += rack.hosts;
    const bool worse =
        !miss || expected - rack.deadline > miss->expected - miss->deadline;
    if (worse) {
      miss = Forecast{rack.first_host, rack.deadline, expected, 0};
    }
  }
  if (miss) {
    miss->late_hosts = late_hosts;
  }
  return miss;
}

}  // namespace camphormux::maintenance::internal
