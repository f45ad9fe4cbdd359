#include "camphormux/membership/gossip.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace camphormux::membership {
namespace internal {

// A process that sent fewer heartbeats than this has just started and gets a
// full list of changes with each answer.
constexpr std::uint64_t kStartSequence = 5;

// A process is asked for after this many missed heartbeats, so that an answer
// comes before it would become suspect.
constexpr std::uint64_t kAskAfter = 2;

std::size_t ZoneCount(const View& view) {
  std::set<core::ZoneName> zones{view.self.zone};
  for (const auto& [process, member] : view.members) {
    zones.insert(member.identity.zone);
  }
  return zones.size();
}

/// Bytes of relayed reports in a heartbeat to another zone.
std::size_t LinkRelayBytes(const View& view) {
  const std::size_t links = std::max<std::size_t>(ZoneCount(view) - 1, 1);
  return std::min(view.config.max_link_relay_bytes,
                  view.config.max_link_relay_bytes_total / links);
}

void QueueChange(View& view, const core::ProcessId& process) {
  view.pending_changes[process] = view.config.change_repeats;
  view.pending_link_changes[process] =
      view.config.link_change_repeats *
      static_cast<std::uint32_t>(ZoneCount(view));
}

void SetHealth(View& view, Member& member, Health health, bool gossip,
               core::MonotonicTime now, std::vector<Transition>& transitions) {
  transitions.push_back({member.identity.process, member.health, health});
  member.health = health;
  member.changed = now;
  if (gossip) {
    QueueChange(view, member.identity.process);
  }
}

Member& AddMember(View& view, const Identity& identity, Health health,
                  core::MonotonicTime now,
                  std::vector<Transition>& transitions) {
  Member& member = view.members[identity.process];
  member.identity = identity;
  member.health = health;
  member.last_known = now;
  member.changed = now;
  QueueChange(view, identity.process);
  transitions.push_back({identity.process, std::nullopt, health});
  return member;
}

/// Takes over a new life of a known process.
void Renew(View& view, Member& member, const Change& change,
           core::MonotonicTime now, std::vector<Transition>& transitions) {
  member.identity = change.identity;
  member.report = {};
  member.last_known = now;
  QueueChange(view, change.identity.process);
  if (member.health != change.health) {
    SetHealth(view, member, change.health, true, now, transitions);
  }
}

/// Raises the own incarnation if others believe something else of it.
void Refute(View& view, const Change& change) {
  const bool same_life = change.identity.incarnation == view.self.incarnation;
  if (change.identity.incarnation > view.self.incarnation ||
      (same_life && change.health != Health::kAlive)) {
    view.self.incarnation = core::Next(change.identity.incarnation);
  }
}

bool KnownRecently(const View& view, const Member& member,
                   core::MonotonicTime now) {
  return member.watched_since.has_value() &&
         now - member.last_known <
             view.config.interval * view.config.suspect_after;
}

void ApplyChange(View& view, const Change& change, core::MonotonicTime now,
                 std::vector<Transition>& transitions) {
  if (change.identity.process == view.self.process) {
    Refute(view, change);
    return;
  }
  const auto found = view.members.find(change.identity.process);
  if (found == view.members.end()) {
    if (change.health != Health::kDead) {
      AddMember(view, change.identity, change.health, now, transitions);
    }
    return;
  }
  Member& member = found->second;
  const core::Incarnation known = member.identity.incarnation;
  if (change.identity.incarnation > known) {
    Renew(view, member, change, now, transitions);
  } else if (change.identity.incarnation == known &&
             change.health > member.health &&
             !KnownRecently(view, member, now)) {
    SetHealth(view, member, change.health, true, now, transitions);
  }
}

/// Takes in what a process says of itself; returns false if it is outdated.
bool ApplySender(View& view, const Heartbeat& heartbeat,
                 core::MonotonicTime now,
                 std::vector<Transition>& transitions) {
  const Identity& from = heartbeat.from;
  auto found = view.members.find(from.process);
  if (found == view.members.end()) {
    AddMember(view, from, Health::kAlive, now, transitions);
    found = view.members.find(from.process);
  }
  Member& member = found->second;
  if (from.incarnation < member.identity.incarnation) {
    return false;
  }
  if (from.incarnation > member.identity.incarnation) {
    Renew(view, member, {from, Health::kAlive}, now, transitions);
  }
  if (member.health == Health::kDead) {
    // The answer tells it so; it comes back with a higher incarnation.
    return false;
  }
  member.last_direct = now;
  member.last_known = now;
  view.zone_heard[from.zone] = now;
  if (heartbeat.report.sequence > member.report.sequence) {
    member.report = heartbeat.report;
  }
  if (member.health == Health::kSuspect) {
    SetHealth(view, member, Health::kAlive, false, now, transitions);
  }
  return true;
}

void ApplyRelay(View& view, const Relay& relay, core::MonotonicTime now,
                std::vector<Transition>& transitions) {
  const auto found = view.members.find(relay.process);
  if (found == view.members.end() ||
      found->second.identity.incarnation != relay.incarnation ||
      found->second.report.sequence >= relay.report.sequence) {
    return;
  }
  Member& member = found->second;
  member.report = relay.report;
  if (member.identity.zone == view.self.zone) {
    return;
  }
  // A report that is new here proves that a link to the zone works.
  view.zone_heard[member.identity.zone] = now;
  if (!member.watched_since && member.health == Health::kSuspect) {
    SetHealth(view, member, Health::kAlive, false, now, transitions);
  }
}

void ApplyVouch(View& view, const Vouch& vouch, core::MonotonicTime now,
                std::vector<Transition>& transitions) {
  const auto found = view.members.find(vouch.process);
  if (found == view.members.end() || found->second.health == Health::kDead) {
    return;
  }
  Member& member = found->second;
  member.last_known = std::max(member.last_known, now - vouch.age);
  if (member.health == Health::kSuspect && KnownRecently(view, member, now)) {
    SetHealth(view, member, Health::kAlive, false, now, transitions);
  }
}

/// Returns the entry after a name, beginning again at the end.
template <typename Map>
typename Map::const_iterator NextInTurn(const Map& map,
                                        const core::ProcessId& cursor) {
  const auto next = map.upper_bound(cursor);
  return next == map.end() ? map.begin() : next;
}

/// Suspicion of a process of another zone may be a partition as this process
/// sees it; its own zone knows better.
bool PassedOn(const View& view, const Member& member) {
  return member.health != Health::kSuspect ||
         member.identity.zone == view.self.zone;
}

/// Adds the waiting changes to dead or to other members.
void AddPendingChanges(const View& view, bool dead,
                       std::map<core::ProcessId, std::uint32_t>& pending,
                       std::vector<Change>& changes) {
  for (auto it = pending.begin();
       it != pending.end() && changes.size() < view.config.max_changes;) {
    const auto member = view.members.find(it->first);
    if (member == view.members.end()) {
      it = pending.erase(it);
      continue;
    }
    if (dead != (member->second.health == Health::kDead)) {
      ++it;
      continue;
    }
    if (PassedOn(view, member->second)) {
      changes.push_back({member->second.identity, member->second.health});
    }
    it = --it->second == 0 ? pending.erase(it) : std::next(it);
  }
}

/// Repeats what is known of members in turn, so that a lost change is made
/// good in the end.
void AddRepeatedChanges(View& view, std::size_t count,
                        std::vector<Change>& changes) {
  for (std::size_t i = 0; i < std::min(count, view.members.size()); ++i) {
    if (changes.size() >= view.config.max_changes) {
      return;
    }
    const auto next = NextInTurn(view.members, view.change_cursor);
    view.change_cursor = next->first;
    if (PassedOn(view, next->second)) {
      changes.push_back({next->second.identity, next->second.health});
    }
  }
}

std::vector<Change> ChooseChanges(View& view, const Member* receiver,
                                  const Heartbeat* answered) {
  std::vector<Change> changes;
  if (receiver != nullptr && receiver->health != Health::kAlive) {
    changes.push_back({receiver->identity, receiver->health});
  }
  const bool zone_link =
      receiver != nullptr && receiver->identity.zone != view.self.zone;
  auto& pending = zone_link ? view.pending_link_changes : view.pending_changes;
  // Deaths go first: suspicions are frequent when heartbeats are lost.
  AddPendingChanges(view, true, pending, changes);
  AddPendingChanges(view, false, pending, changes);
  const bool starts =
      answered != nullptr && answered->report.sequence <= kStartSequence;
  AddRepeatedChanges(view, starts ? view.config.max_changes : 1, changes);
  return changes;
}

/// Whether everybody in the own zone exchanges heartbeats with everybody, so
/// that their reports need no relay within the zone.
bool ZoneIsConnected(const View& view) {
  std::size_t others = 0;
  for (const auto& [process, member] : view.members) {
    const bool counts = member.identity.zone == view.self.zone &&
                        member.health != Health::kDead;
    others += counts ? 1 : 0;
  }
  return others <= 2 * view.config.fanout;
}

/// Relays reports in turn; each receiver has a turn of its own, so that none
/// always misses the same ones.
std::vector<Relay> ChooseRelays(View& view, const Member* receiver) {
  std::vector<Relay> relays;
  if (receiver == nullptr) {
    return relays;
  }
  const bool zone_link = receiver->identity.zone != view.self.zone;
  const std::size_t max_bytes =
      zone_link ? LinkRelayBytes(view) : view.config.max_relay_bytes;
  const bool connected = ZoneIsConnected(view);
  core::ProcessId& cursor = view.relay_cursors[receiver->identity.process];
  std::size_t bytes = 0;
  for (std::size_t i = 0; i < view.members.size() && bytes < max_bytes; ++i) {
    const auto next = NextInTurn(view.members, cursor);
    const Member& member = next->second;
    const bool direct =
        &member == receiver ||
        (connected && member.identity.zone == receiver->identity.zone);
    if (!direct && member.report.sequence > 0) {
      Relay relay{next->first, member.identity.incarnation, member.report};
      bytes += EncodedBytes(relay);
      if (bytes > max_bytes && !relays.empty()) {
        return relays;
      }
      relays.push_back(std::move(relay));
    }
    cursor = next->first;
  }
  return relays;
}

std::vector<core::ProcessId> ChooseAsks(const View& view,
                                        core::MonotonicTime now) {
  std::vector<core::ProcessId> asks;
  for (const auto& [process, member] : view.members) {
    if (asks.size() >= view.config.max_asks) {
      break;
    }
    const bool own_zone = member.identity.zone == view.self.zone;
    if (own_zone && member.watched_since && member.health != Health::kDead &&
        now - std::max(member.last_known, *member.watched_since) >=
            view.config.interval * kAskAfter) {
      asks.push_back(process);
    }
  }
  return asks;
}

std::vector<Vouch> ChooseVouches(const View& view, const Heartbeat& answered,
                                 core::MonotonicTime now) {
  std::vector<Vouch> vouches;
  for (const core::ProcessId& process : answered.asks) {
    const auto found = view.members.find(process);
    if (found == view.members.end() || !found->second.watched_since) {
      continue;
    }
    const core::Millis age = now - found->second.last_direct;
    if (age < view.config.interval * view.config.suspect_after) {
      vouches.push_back({process, age});
    }
  }
  return vouches;
}

}  // namespace internal

Heartbeat MakeHeartbeat(View& view, const std::optional<core::ProcessId>& to,
                        const Heartbeat* answered, core::MonotonicTime now) {
  const auto found = to ? view.members.find(*to) : view.members.end();
  const Member* receiver =
      found == view.members.end() ? nullptr : &found->second;
  Heartbeat heartbeat;
  heartbeat.from = view.self;
  heartbeat.report = view.report;
  heartbeat.changes = internal::ChooseChanges(view, receiver, answered);
  heartbeat.relays = internal::ChooseRelays(view, receiver);
  heartbeat.asks = internal::ChooseAsks(view, now);
  if (answered != nullptr) {
    heartbeat.vouches = internal::ChooseVouches(view, *answered, now);
  }
  return heartbeat;
}

std::vector<Transition> Receive(View& view, const Heartbeat& heartbeat,
                                core::MonotonicTime now) {
  std::vector<Transition> transitions;
  if (heartbeat.from.process == view.self.process) {
    return transitions;
  }
  const bool current = internal::ApplySender(view, heartbeat, now, transitions);
  for (const Change& change : heartbeat.changes) {
    // A process that is believed dead may still refute what is said of this
    // one, but is not trusted about others.
    if (current || change.identity.process == view.self.process) {
      internal::ApplyChange(view, change, now, transitions);
    }
  }
  if (!current) {
    return transitions;
  }
  for (const Relay& relay : heartbeat.relays) {
    internal::ApplyRelay(view, relay, now, transitions);
  }
  for (const Vouch& vouch : heartbeat.vouches) {
    internal::ApplyVouch(view, vouch, now, transitions);
  }
  return transitions;
}

std::vector<Transition> Introduce(View& view, const Identity& identity,
                                  core::MonotonicTime now) {
  std::vector<Transition> transitions;
  internal::ApplyChange(view, {identity, Health::kAlive}, now, transitions);
  return transitions;
}

}  // namespace camphormux::membership
