#include "test/maintenance/period_fleet.hpp"

#include <algorithm>
#include <cmath>
#include <string>

namespace camphormux::maintenance {
namespace {

using state::DrainReason;
using state::HostPhase;

state::Host& HostOf(std::vector<state::Host>& hosts, const core::HostId& id) {
  return *std::find_if(
      hosts.begin(), hosts.end(),
      [&id](const state::Host& host) { return host.id == id; });
}

/// One service in ten steps surges to the load of 12 hosts; the others are
/// calm.
sizing::SizingInput DrawDemand(PeriodFleet& fleet, core::WallTime now) {
  constexpr double kServiceTimeSeconds = 0.1;
  constexpr double kSurgeHosts = 12.0;
  sizing::SizingInput input;
  input.text = fleet.text;
  input.now = core::MonotonicTime{now.time_since_epoch()};
  input.maintenance_reserve = fleet.reserve;
  for (const auto& [zone, hosts] : fleet.zones) {
    input.usable_hosts[zone] = static_cast<int>(
        std::count_if(hosts.begin(), hosts.end(), [&](const state::Host& host) {
          return !fleet.missing.contains(host.id);
        }));
  }
  for (const auto& [name, service] : fleet.text->services) {
    const bool surge = core::UniformBelow(fleet.random, 50) == 0;
    const double slots = (surge ? kSurgeHosts : 0.8) * service.slots_per_host;
    sizing::DemandSample& sample = input.demand[name];
    sample.arrivals_per_s = slots / kServiceTimeSeconds;
    sample.running = slots;
  }
  return input;
}

/// Ends the phases that the step before began.
void Advance(PeriodFleet& fleet, core::WallTime now) {
  for (auto& [zone, hosts] : fleet.zones) {
    for (state::Host& host : hosts) {
      if (fleet.missing.contains(host.id)) {
        continue;
      }
      if (fleet.rebooting.erase(host.id) > 0) {
        fleet.late +=
            now > fleet.last_done[host.id] + fleet.text->maintenance.period ? 1
                                                                            : 0;
        fleet.last_done[host.id] = now;
        ++fleet.maintained;
        host.phase = HostPhase::kAdmitted;
        host.drain_reason = DrainReason::kNone;
      } else if (host.phase == HostPhase::kDraining) {
        const bool moves_away = host.drain_reason == DrainReason::kMove;
        host.phase = moves_away ? HostPhase::kReleased : HostPhase::kEmpty;
        host.pool = moves_away ? std::nullopt : host.pool;
      } else if (host.phase == HostPhase::kAssigned) {
        host.phase = HostPhase::kAdmitted;
      }
    }
  }
}

void CarryOut(std::vector<state::Host>& hosts,
              const moves::MoveDecision& decision, PeriodFleet& fleet) {
  for (const moves::Move& move : decision.drains) {
    HostOf(hosts, move.host).phase = HostPhase::kDraining;
    HostOf(hosts, move.host).drain_reason = DrainReason::kMove;
    ++fleet.moves;
  }
  for (const moves::Move& move : decision.assignments) {
    state::Host& host = HostOf(hosts, move.host);
    host.phase = HostPhase::kAssigned;
    host.drain_reason = DrainReason::kNone;
    host.pool = move.to;
  }
  for (const moves::Reversal& reversal : decision.reversals) {
    HostOf(hosts, reversal.host).phase = HostPhase::kAdmitted;
    HostOf(hosts, reversal.host).drain_reason = DrainReason::kNone;
  }
}

void CarryOut(std::vector<state::Host>& hosts,
              const MaintenanceDecision& decision, PeriodFleet& fleet) {
  for (const Drain& drain : decision.drains) {
    HostOf(hosts, drain.host).phase = HostPhase::kDraining;
    HostOf(hosts, drain.host).drain_reason = DrainReason::kMaintenance;
  }
  for (const GiveBack& give_back : decision.give_backs) {
    HostOf(hosts, give_back.host).phase = HostPhase::kAdmitted;
    HostOf(hosts, give_back.host).drain_reason = DrainReason::kNone;
    ++fleet.give_backs;
  }
  fleet.rebooting.insert(decision.reboots.begin(), decision.reboots.end());
  for (const Postponement& postponement : decision.postponed) {
    ++fleet.postponed[postponement.cause];
  }
  fleet.drains_while_stopped +=
      decision.stopped ? static_cast<int>(decision.drains.size()) : 0;
}

void DecideZone(PeriodFleet& fleet, const sizing::Sizes& sizes,
                const core::ZoneName& zone, core::WallTime now) {
  std::vector<state::Host>& hosts = fleet.zones.at(zone);
  moves::MoveInput move_input;
  move_input.hosts = hosts;
  move_input.missing = fleet.missing;
  move_input.confirmed_dead = fleet.confirmed_dead;
  move_input.pools = moves::TargetsOf(*fleet.text, sizes, zone);
  move_input.spare_pool = fleet.text->spare_pool;
  CarryOut(hosts, moves::DecideMoves(move_input), fleet);
  MaintenanceInput input;
  input.hosts = hosts;
  input.missing = fleet.missing;
  input.rebooting = fleet.rebooting;
  input.last_done = fleet.last_done;
  input.budgets = BudgetsOf(*fleet.text, sizes, zone);
  input.plan = fleet.text->maintenance;
  input.now = now;
  const MaintenanceDecision decision = DecideMaintenance(input);
  CarryOut(hosts, decision, fleet);
  for (auto& [pool, by_zone] : fleet.reserve) {
    by_zone[zone] = 0;
  }
  for (const core::PoolName& pool : decision.reserve) {
    fleet.reserve[pool][zone] = 1;
  }
}

void CountBreaches(PeriodFleet& fleet) {
  const int zones = static_cast<int>(fleet.zones.size());
  for (const auto& [name, service] : fleet.text->services) {
    int total = 0;
    for (const auto& [zone, hosts] : fleet.zones) {
      int available = 0;
      bool failure = false;
      for (const state::Host& host : hosts) {
        const bool missing = fleet.missing.contains(host.id);
        failure = failure || missing;
        available += host.pool == service.pool && !missing &&
                             host.phase == HostPhase::kAdmitted
                         ? 1
                         : 0;
      }
      total += available;
      const int floor = (service.min_hosts + zones - 1) / zones;
      fleet.zone_breaches += !failure && available < floor ? 1 : 0;
    }
    const int budget = static_cast<int>(
        std::ceil(service.host_availability * service.min_hosts));
    fleet.service_breaches += total < budget ? 1 : 0;
  }
}

}  // namespace

PeriodFleet MakePeriodFleet(const text::OperatorText& text, int hosts,
                            core::WallTime start, std::uint64_t seed) {
  PeriodFleet fleet;
  fleet.text = &text;
  fleet.random = core::SeededRandom(seed);
  std::vector<core::PoolName> pools;
  for (const auto& [name, service] : text.services) {
    pools.push_back(service.pool);
  }
  std::vector<core::ZoneName> zones;
  for (const auto& [name, zone] : text.zones) {
    zones.push_back(name);
  }
  for (int i = 0; i < hosts; ++i) {
    const std::size_t index = static_cast<std::size_t>(i);
    state::Host host;
    host.zone = zones[index % zones.size()];
    std::vector<state::Host>& members = fleet.zones[host.zone];
    host.id = {"h" + std::to_string(100 + i)};
    host.rack = {host.zone.value + std::to_string(members.size() / 4)};
    host.phase = HostPhase::kAdmitted;
    host.pool = pools[(index / zones.size()) % pools.size()];
    fleet.last_done[host.id] =
        start - text.maintenance.period * (i % hosts) / hosts;
    members.push_back(std::move(host));
  }
  return fleet;
}

void StepFleet(PeriodFleet& fleet, core::WallTime now) {
  Advance(fleet, now);
  CountBreaches(fleet);
  const sizing::Sizes sizes =
      sizing::DecideSizes(fleet.sizing, DrawDemand(fleet, now));
  for (const auto& [zone, hosts] : fleet.zones) {
    DecideZone(fleet, sizes, zone, now);
  }
}

}  // namespace camphormux::maintenance
