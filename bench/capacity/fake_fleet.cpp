#include "bench/capacity/fake_fleet.hpp"

#include <algorithm>
#include <string>

namespace camphormux::bench {
namespace {

using state::HostPhase;

state::Host& FindHost(std::vector<state::Host>& hosts, const core::HostId& id) {
  return *std::find_if(
      hosts.begin(), hosts.end(),
      [&id](const state::Host& host) { return host.id == id; });
}

int RandomDrainSeconds(FakeFleet& fleet) {
  const int spread = fleet.delays.max_drain_s - fleet.delays.min_drain_s + 1;
  return fleet.delays.min_drain_s +
         static_cast<int>(core::UniformBelow(
             fleet.random, static_cast<std::uint64_t>(spread)));
}

std::string PaddedNumber(int number) {
  std::string digits = std::to_string(number);
  return std::string(4 - std::min<std::size_t>(4, digits.size()), '0') + digits;
}

}  // namespace

FakeFleet MakeFleet(const text::OperatorText& text, int hosts,
                    std::uint64_t seed) {
  constexpr int kHostsPerRack = 4;
  FakeFleet fleet;
  fleet.random = core::SeededRandom(seed ^ 0x5DEECE66DULL);
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
    const core::ZoneName& zone = zones[index % zones.size()];
    std::vector<state::Host>& members = fleet.zones[zone];
    state::Host host;
    host.id = {"host-" + PaddedNumber(i)};
    host.zone = zone;
    host.rack = {zone.value + "-" +
                 std::to_string(members.size() / kHostsPerRack)};
    host.phase = HostPhase::kAdmitted;
    host.pool =
        pools[(index / zones.size() + index % zones.size()) % pools.size()];
    fleet.last_pool[host.id] = *host.pool;
    members.push_back(std::move(host));
  }
  return fleet;
}

void AdvanceFleet(FakeFleet& fleet, int second) {
  for (auto& [zone, hosts] : fleet.zones) {
    for (state::Host& host : hosts) {
      const bool due = host.phase != HostPhase::kAdmitted &&
                       host.phase != HostPhase::kReleased &&
                       fleet.ready_at[host.id] <= second;
      if (due && host.phase == HostPhase::kDraining) {
        host.phase = HostPhase::kReleased;
        host.pool.reset();
      } else if (due && host.phase == HostPhase::kAssigned) {
        host.phase = HostPhase::kAdmitted;
      }
    }
  }
}

void ApplyMoves(FakeFleet& fleet, const core::ZoneName& zone,
                const moves::MoveDecision& decision, int second) {
  std::vector<state::Host>& hosts = fleet.zones.at(zone);
  for (const moves::Move& move : decision.drains) {
    state::Host& host = FindHost(hosts, move.host);
    host.phase = HostPhase::kDraining;
    host.drain_reason = state::DrainReason::kMove;
    fleet.ready_at[host.id] = second + RandomDrainSeconds(fleet);
    ++fleet.drains;
  }
  for (const moves::Move& move : decision.assignments) {
    state::Host& host = FindHost(hosts, move.host);
    host.phase = HostPhase::kAssigned;
    host.drain_reason = state::DrainReason::kNone;
    host.pool = move.to;
    fleet.ready_at[host.id] = second + fleet.delays.assign_s;
    fleet.moves += fleet.last_pool[host.id] != move.to ? 1 : 0;
    fleet.last_pool[host.id] = move.to;
  }
  for (const moves::Reversal& reversal : decision.reversals) {
    state::Host& host = FindHost(hosts, reversal.host);
    host.phase = HostPhase::kAssigned;
    host.drain_reason = state::DrainReason::kNone;
    fleet.ready_at[host.id] = second + fleet.delays.assign_s;
    ++fleet.reversals;
  }
}

}  // namespace camphormux::bench
