#include "camphormux/membership/view.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "camphormux/membership/gossip.hpp"

namespace camphormux::membership {
namespace internal {

/// Names of the live processes of the own zone, with this one, in order.
std::vector<core::ProcessId> LiveRing(const View& view) {
  std::vector<core::ProcessId> ring;
  for (const auto& [process, member] : view.members) {
    if (member.identity.zone == view.self.zone &&
        member.health != Health::kDead) {
      ring.push_back(process);
    }
  }
  ring.push_back(view.self.process);
  std::sort(ring.begin(), ring.end());
  return ring;
}

struct Neighbours {
  std::vector<core::ProcessId> successors;  ///< Get heartbeats.
  std::set<core::ProcessId> watched;        ///< Successors and predecessors.
};

Neighbours ZoneNeighbours(const View& view) {
  const std::vector<core::ProcessId> ring = LiveRing(view);
  const auto self = static_cast<std::size_t>(
      std::find(ring.begin(), ring.end(), view.self.process) - ring.begin());
  const std::size_t size = ring.size();
  const std::size_t count = std::min(size - 1, view.config.fanout);
  Neighbours neighbours;
  for (std::size_t step = 1; step <= count; ++step) {
    const core::ProcessId& successor = ring[(self + step) % size];
    neighbours.successors.push_back(successor);
    neighbours.watched.insert(successor);
    neighbours.watched.insert(ring[(self + size - step) % size]);
  }
  return neighbours;
}

/// The processes of another zone that its link goes to: the lowest-named one,
/// and while that is suspect also the next one, which may know that it died.
std::vector<core::ProcessId> ZoneLinks(const View& view,
                                       const core::ZoneName& zone) {
  std::vector<core::ProcessId> links;
  for (const auto& [process, member] : view.members) {
    if (member.identity.zone != zone || member.health == Health::kDead) {
      continue;
    }
    if (links.empty() || member.health == Health::kAlive) {
      links.push_back(process);
    }
    if (member.health == Health::kAlive || links.size() == 2) {
      break;
    }
  }
  return links;
}

std::set<core::ZoneName> OtherZones(const View& view) {
  std::set<core::ZoneName> zones;
  for (const auto& [process, member] : view.members) {
    if (member.identity.zone != view.self.zone) {
      zones.insert(member.identity.zone);
    }
  }
  return zones;
}

bool IsZoneLink(const View& view) {
  return LiveRing(view).front() == view.self.process;
}

void SetWatched(View& view, const std::set<core::ProcessId>& watched,
                core::MonotonicTime now) {
  for (auto& [process, member] : view.members) {
    if (!watched.contains(process)) {
      member.watched_since.reset();
    } else if (!member.watched_since) {
      member.watched_since = now;
    }
  }
}

/// Intervals without news of a watched member.
std::uint64_t Missed(const View& view, const Member& member,
                     core::MonotonicTime now) {
  const core::Millis interval = member.identity.zone == view.self.zone
                                    ? view.config.interval
                                    : view.config.zone_link_interval;
  const auto last = std::max(member.last_known, *member.watched_since);
  return static_cast<std::uint64_t>((now - last) / interval);
}

void JudgeMember(View& view, Member& member, core::MonotonicTime now,
                 std::vector<Transition>& transitions) {
  if (!member.watched_since || member.health == Health::kDead) {
    return;
  }
  const std::uint64_t missed = Missed(view, member, now);
  const bool own_zone = member.identity.zone == view.self.zone;
  Health health = member.health;
  if (missed >= view.config.dead_after && own_zone) {
    health = Health::kDead;
  } else if (missed >= view.config.suspect_after) {
    health = Health::kSuspect;
  }
  if (health != member.health) {
    // Silence of a link to another zone is no news for others.
    SetHealth(view, member, health, own_zone, now, transitions);
  }
}

void Forget(View& view, core::MonotonicTime now) {
  std::erase_if(view.members, [&](const auto& entry) {
    const Member& member = entry.second;
    return member.health != Health::kAlive &&
           now - std::max(member.changed, member.last_known) >=
               view.config.forget_after;
  });
  std::erase_if(view.relay_cursors, [&](const auto& entry) {
    return !view.members.contains(entry.first);
  });
}

void AddTarget(const View& view, const core::ProcessId& process,
               std::vector<Target>& targets) {
  targets.push_back({process, view.members.at(process).identity.address});
}

void AddSeeds(const View& view, std::vector<Target>& targets) {
  for (const core::Address& seed : view.seeds) {
    const bool known = std::any_of(
        view.members.begin(), view.members.end(), [&](const auto& entry) {
          return entry.second.identity.address == seed;
        });
    if (!known) {
      targets.push_back({std::nullopt, seed});
    }
  }
}

/// Tries one dead process again, so that both sides of a healed partition
/// meet even if each declared the other dead.
void AddDeadProbe(const View& view, std::vector<Target>& targets) {
  if (view.rounds % view.config.dead_probe_rounds != 0) {
    return;
  }
  std::vector<core::ProcessId> dead;
  for (const auto& [process, member] : view.members) {
    if (member.health == Health::kDead) {
      dead.push_back(process);
    }
  }
  if (!dead.empty()) {
    const std::uint64_t turn = view.rounds / view.config.dead_probe_rounds;
    AddTarget(view, dead[turn % dead.size()], targets);
  }
}

}  // namespace internal

View MakeView(Identity self, std::vector<core::Address> seeds,
              const Config& config, core::MonotonicTime now) {
  View view;
  view.config = config;
  view.self = std::move(self);
  view.seeds = std::move(seeds);
  std::erase(view.seeds, view.self.address);
  view.started = now;
  return view;
}

Round BeginRound(View& view, core::MonotonicTime now) {
  Round round;
  ++view.rounds;
  ++view.report.sequence;
  for (auto& [process, member] : view.members) {
    internal::JudgeMember(view, member, now, round.transitions);
  }
  internal::Forget(view, now);
  internal::Neighbours neighbours = internal::ZoneNeighbours(view);
  for (const core::ProcessId& process : neighbours.successors) {
    internal::AddTarget(view, process, round.targets);
  }
  if (internal::IsZoneLink(view)) {
    const bool due =
        now - view.last_zone_links >= view.config.zone_link_interval;
    view.last_zone_links = due ? now : view.last_zone_links;
    for (const core::ZoneName& zone : internal::OtherZones(view)) {
      for (const core::ProcessId& process : internal::ZoneLinks(view, zone)) {
        neighbours.watched.insert(process);
        // One process of each pair sends; the answer informs it as well.
        if (due && view.self.zone < zone) {
          internal::AddTarget(view, process, round.targets);
        }
      }
    }
  }
  internal::SetWatched(view, neighbours.watched, now);
  internal::AddSeeds(view, round.targets);
  internal::AddDeadProbe(view, round.targets);
  return round;
}

std::vector<core::ZoneName> UnreachableZones(const View& view,
                                             core::MonotonicTime now) {
  // Processes without a link to other zones hear of them by relayed reports,
  // which take turns.
  constexpr core::Millis kRelayLimit = std::chrono::minutes(1);
  const core::Millis limit =
      internal::IsZoneLink(view)
          ? view.config.zone_link_interval * view.config.dead_after
          : kRelayLimit;
  std::vector<core::ZoneName> unreachable;
  for (const core::ZoneName& zone : internal::OtherZones(view)) {
    const auto heard = view.zone_heard.find(zone);
    const auto last =
        heard == view.zone_heard.end() ? view.started : heard->second;
    if (now - last >= limit) {
      unreachable.push_back(zone);
    }
  }
  return unreachable;
}

}  // namespace camphormux::membership
