#include "camphormux/moves/zone_view.hpp"

#include <algorithm>
#include <tuple>

namespace camphormux::moves::internal {
namespace {

RackIndex IndexOfRack(std::map<core::RackName, RackIndex>& racks,
                      const core::RackName& rack) {
  return racks.try_emplace(rack, racks.size()).first->second;
}

bool IsInMotion(const state::Host& host) {
  return host.phase != state::HostPhase::kAdmitted;
}

// A missing host cannot be given to another pool, so it is not counted.
void CountOrphan(ZoneView& view, std::size_t index, bool missing) {
  const state::Host& host = view.input->hosts[index];
  const bool stays = host.drain_reason == state::DrainReason::kMaintenance;
  if (missing) {
    return;
  }
  if (host.phase == state::HostPhase::kAdmitted) {
    view.orphans.push_back(index);
  } else if (!stays) {
    ++view.orphans_in_motion;
  }
}

void CountMember(ZoneView& view, std::size_t index, bool missing) {
  const state::Host& host = view.input->hosts[index];
  const auto found = view.pool_of_name.find(*host.pool);
  if (found == view.pool_of_name.end()) {
    CountOrphan(view, index, missing);
    return;
  }
  PoolCount& count = view.pools[found->second];
  switch (host.phase) {
    case state::HostPhase::kAssigned:
      ++count.members;
      count.arriving += missing ? 0 : 1;
      break;
    case state::HostPhase::kAdmitted:
      ++count.members;
      if (!missing) {
        ++count.available;
        count.by_rack[view.rack_of_host[index]].push_back(index);
      }
      break;
    case state::HostPhase::kDraining:
    case state::HostPhase::kEmpty:
      if (host.drain_reason == state::DrainReason::kMove) {
        ++count.leaving;
        view.draining.push_back(index);
      } else {
        ++count.members;
      }
      break;
    case state::HostPhase::kReleased:
      break;
  }
}

}  // namespace

ZoneView MakeView(const MoveInput& input) {
  ZoneView view;
  view.input = &input;
  view.pools.resize(input.pools.size());
  for (PoolIndex i = 0; i < input.pools.size(); ++i) {
    view.pool_of_name[input.pools[i].pool] = i;
  }
  std::map<core::RackName, RackIndex> racks;
  for (std::size_t i = 0; i < input.hosts.size(); ++i) {
    const state::Host& host = input.hosts[i];
    const bool missing = input.missing.contains(host.id);
    const RackIndex rack = IndexOfRack(racks, host.rack);
    view.rack_of_host.push_back(rack);
    view.in_flight_of_rack.resize(racks.size(), 0);
    view.in_flight_of_rack[rack] += IsInMotion(host) ? 1 : 0;
    if (host.phase != state::HostPhase::kReleased && host.pool) {
      CountMember(view, i, missing);
    } else if (!missing) {
      view.released.push_back(i);
    }
  }
  return view;
}

int MinimumAfterDrain(const ZoneView& view, PoolIndex pool) {
  const PoolTarget& target = view.input->pools[pool];
  return MinAvailableHosts(target.floor, target.host_availability,
                           view.pools[pool].members - 1);
}

std::optional<std::size_t> ChooseHost(const ZoneView& view, PoolIndex from,
                                      PoolIndex to) {
  const MoveLimits& limits = view.input->limits;
  if (view.pools[from].leaving >= limits.in_flight_per_pool) {
    return std::nullopt;
  }
  std::optional<std::size_t> best;
  std::tuple<int, int> best_key;
  for (const auto& [rack, hosts] : view.pools[from].by_rack) {
    if (hosts.empty() ||
        view.in_flight_of_rack[rack] >= limits.in_flight_per_rack) {
      continue;
    }
    const auto& target_racks = view.pools[to].by_rack;
    const auto at_target = target_racks.find(rack);
    const int hosts_in_target =
        at_target == target_racks.end()
            ? 0
            : static_cast<int>(at_target->second.size());
    const std::tuple<int, int> key{hosts_in_target,
                                   -static_cast<int>(hosts.size())};
    if (!best || key < best_key) {
      best = hosts.front();
      best_key = key;
    }
  }
  return best;
}

void StartDrain(ZoneView& view, std::size_t host, PoolIndex from) {
  PoolCount& count = view.pools[from];
  const RackIndex rack = view.rack_of_host[host];
  std::erase(count.by_rack[rack], host);
  --count.available;
  --count.members;
  ++count.leaving;
  ++view.in_flight_of_rack[rack];
}

}  // namespace camphormux::moves::internal
