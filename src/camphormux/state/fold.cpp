#include "camphormux/state/fold.hpp"

#include <algorithm>
#include <utility>

#include "camphormux/log/batch.hpp"
#include "camphormux/state/codec.hpp"
#include "camphormux/state/line_edits.hpp"
#include "camphormux/text/parse.hpp"

namespace camphormux::state {
namespace internal {

using Skip = std::optional<std::string>;

// Bounds of what the state remembers; each is far above what the largest
// fleet needs within the time that a client may retry.
constexpr std::size_t kMaxOutcomes = 256;
constexpr std::size_t kMaxRemovedHosts = 10'000;
constexpr std::size_t kMaxPresence = 1'000;

// Drops the entry with the lowest offset if the map is above its bound.
// Returns its key.
template <typename Map>
std::optional<typename Map::key_type> DropOldest(Map& map, std::size_t bound) {
  if (map.size() <= bound) {
    return std::nullopt;
  }
  const auto oldest = std::min_element(
      map.begin(), map.end(), [](const auto& a, const auto& b) {
        return a.second.offset < b.second.offset;
      });
  auto key = oldest->first;
  map.erase(oldest);
  return key;
}

// Returns why the epoch is not that of the zone's lease, or nothing.
Skip CheckEpoch(const FleetState& state, const core::ZoneName& zone,
                core::Epoch epoch) {
  const auto lease = state.leases.find(zone);
  const core::Epoch current =
      lease == state.leases.end() ? core::Epoch{} : lease->second.epoch;
  if (current.value == 0 || epoch != current) {
    return "epoch " + std::to_string(epoch.value) + " of zone " + zone.value +
           " is not in force; the epoch is " + std::to_string(current.value);
  }
  return std::nullopt;
}

// Finds the host that an owner's record is about; sets why it must not.
template <typename Owned>
Host* FindOwned(FleetState& state, const Owned& record, Skip& skip) {
  skip = CheckEpoch(state, record.zone, record.epoch);
  if (skip) {
    return nullptr;
  }
  const auto it = state.hosts.find(record.host);
  if (it == state.hosts.end()) {
    skip = "host " + record.host.value + " is not known";
    return nullptr;
  }
  if (it->second.zone != record.zone) {
    skip = "host " + record.host.value + " belongs to zone " +
           it->second.zone.value + ", not " + record.zone.value;
    return nullptr;
  }
  return &it->second;
}

// Finds the text that a publish record asks for; sets why there is none.
std::optional<std::string> WantedSource(const FleetState& state,
                                        const Publish& record,
                                        std::string& reason) {
  if (record.base != state.text.revision) {
    reason = "conflict: the base is revision " +
             std::to_string(record.base.value) + ", in force is revision " +
             std::to_string(state.text.revision.value) + " by " +
             state.text.author;
    return std::nullopt;
  }
  if (record.source) {
    return record.source;
  }
  auto edited = ApplyEdits(state.text.source, record.edits);
  if (!edited) {
    reason = "an edit is out of order or outside the base text";
  }
  return edited;
}

// Accepts the text or returns why it is rejected.
std::string Accept(FleetState& state, const Publish& record) {
  std::string reason;
  auto source = WantedSource(state, record, reason);
  if (!source) {
    return reason;
  }
  auto parsed = text::ParseOperatorText("published text", *source);
  if (!parsed.has_value()) {
    return "invalid text: " + settings::Describe(parsed.error().front());
  }
  state.text = AcceptedText{
      core::Next(state.text.revision), record.author, std::move(*source),
      std::make_shared<const text::OperatorText>(std::move(parsed.value()))};
  return {};
}

Skip ApplyBody(FleetState& state, const Publish& record,
               core::LogOffset offset) {
  const auto seen = std::find_if(state.outcomes.begin(), state.outcomes.end(),
                                 [&record](const PublishOutcome& outcome) {
                                   return outcome.id == record.id;
                                 });
  if (seen != state.outcomes.end()) {
    return "append id " + record.id.value + " was applied at offset " +
           std::to_string(seen->offset.value);
  }
  PublishOutcome outcome{record.id,   offset, record.author,
                         record.base, {},     Accept(state, record)};
  Skip skip;
  if (outcome.reason.empty()) {
    outcome.accepted = state.text.revision;
  } else {
    skip = outcome.reason;
  }
  state.outcomes.push_back(std::move(outcome));
  if (state.outcomes.size() > kMaxOutcomes) {
    state.outcomes.pop_front();
  }
  return skip;
}

Skip ApplyBody(FleetState& state, const LeaseClaim& record,
               core::LogOffset offset) {
  const auto lease = state.leases.find(record.zone);
  const core::Epoch current =
      lease == state.leases.end() ? core::Epoch{} : lease->second.epoch;
  if (record.epoch != core::Next(current)) {
    return "claim of epoch " + std::to_string(record.epoch.value) +
           " of zone " + record.zone.value + "; the epoch is " +
           std::to_string(current.value);
  }
  state.leases[record.zone] = ZoneLease{record.holder, record.epoch, offset};
  return std::nullopt;
}

// Finds the lease that a record of its holder is about; sets why it must not.
template <typename HolderRecord>
ZoneLease* FindHeld(FleetState& state, const HolderRecord& record, Skip& skip) {
  skip = CheckEpoch(state, record.zone, record.epoch);
  if (skip) {
    return nullptr;
  }
  ZoneLease& lease = state.leases.at(record.zone);
  if (lease.holder != record.holder) {
    skip = "lease record of " + record.holder.value + "; the holder is " +
           lease.holder.value;
    return nullptr;
  }
  return &lease;
}

Skip ApplyBody(FleetState& state, const LeaseRenew& record,
               core::LogOffset offset) {
  Skip skip;
  ZoneLease* lease = FindHeld(state, record, skip);
  if (lease != nullptr) {
    lease->last_renewal = offset;
  }
  return skip;
}

// A renewal that the release overtook does not take it back.
Skip ApplyBody(FleetState& state, const LeaseRelease& record,
               core::LogOffset /*offset*/) {
  Skip skip;
  ZoneLease* lease = FindHeld(state, record, skip);
  if (lease != nullptr) {
    lease->released = true;
  }
  return skip;
}

Skip ApplyBody(FleetState& state, const HostAdded& record,
               core::LogOffset offset) {
  Skip skip = CheckEpoch(state, record.zone, record.epoch);
  if (skip) {
    return skip;
  }
  const auto known = state.hosts.find(record.host);
  if (known != state.hosts.end()) {
    if (FindOwned(state, record, skip) == nullptr) {
      return skip;
    }
    known->second.rack = record.rack;
    known->second.shape = record.shape;
    known->second.address = record.address;
    return std::nullopt;
  }
  Host host;
  host.id = record.host;
  host.zone = record.zone;
  host.rack = record.rack;
  host.shape = record.shape;
  host.address = record.address;
  host.phase_offset = offset;
  host.generation = {state.numbering_floor};
  const auto removed = state.removed_hosts.find(record.host);
  if (removed != state.removed_hosts.end()) {
    host.generation = removed->second.generation;
    state.removed_hosts.erase(removed);
  }
  state.hosts.emplace(record.host, std::move(host));
  return std::nullopt;
}

Skip ApplyBody(FleetState& state, const HostRemoved& record,
               core::LogOffset offset) {
  Skip skip;
  const Host* host = FindOwned(state, record, skip);
  if (host == nullptr) {
    return skip;
  }
  state.removed_hosts[record.host] = RemovedHost{host->generation, offset};
  state.hosts.erase(record.host);
  // The maintenance record stays as long as the generation does, so that a host
  // that the lagging list drops for a while is not due again at once.
  const auto forgotten = DropOldest(state.removed_hosts, kMaxRemovedHosts);
  if (forgotten) {
    state.maintenance.erase(*forgotten);
  }
  return std::nullopt;
}

bool IsNextPhase(HostPhase from, HostPhase to) {
  switch (to) {
    case HostPhase::kReleased:
      return from == HostPhase::kEmpty;
    case HostPhase::kAssigned:
      return from == HostPhase::kReleased || from == HostPhase::kDraining ||
             from == HostPhase::kEmpty;
    case HostPhase::kAdmitted:
      return from == HostPhase::kAssigned;
    case HostPhase::kDraining:
      return from == HostPhase::kAdmitted;
    case HostPhase::kEmpty:
      return from == HostPhase::kDraining;
  }
  return false;
}

Skip CheckAssign(const Host& host, const Assign& record) {
  const std::string who = "host " + host.id.value;
  if (!IsNextPhase(host.phase, record.phase)) {
    return who + " cannot go from phase " +
           std::to_string(static_cast<int>(host.phase)) + " to " +
           std::to_string(static_cast<int>(record.phase));
  }
  const bool assigned = record.phase == HostPhase::kAssigned;
  const core::Generation wanted =
      assigned ? core::Next(host.generation) : host.generation;
  if (record.generation != wanted) {
    return who + " needs generation " + std::to_string(wanted.value) +
           ", found " + std::to_string(record.generation.value);
  }
  if (record.phase == HostPhase::kReleased) {
    return record.pool ? Skip(who + " is released with a pool") : std::nullopt;
  }
  const bool may_change_pool = host.phase == HostPhase::kReleased;
  if (!record.pool || (!may_change_pool && record.pool != host.pool)) {
    return who + " must keep its pool";
  }
  if (record.phase == HostPhase::kDraining &&
      record.drain_reason == DrainReason::kNone) {
    return who + " is drained without a reason";
  }
  return std::nullopt;
}

Skip ApplyBody(FleetState& state, const Assign& record,
               core::LogOffset offset) {
  Skip skip;
  Host* host = FindOwned(state, record, skip);
  if (host == nullptr) {
    return skip;
  }
  skip = CheckAssign(*host, record);
  if (skip) {
    return skip;
  }
  if (record.phase == HostPhase::kDraining) {
    host->drain_reason = record.drain_reason;
  } else if (record.phase != HostPhase::kEmpty) {
    host->drain_reason = DrainReason::kNone;
  }
  host->phase = record.phase;
  host->pool = record.pool;
  host->generation = record.generation;
  host->phase_offset = offset;
  return std::nullopt;
}

Skip ApplyBody(FleetState& state, const MaintenanceDone& record,
               core::LogOffset /*offset*/) {
  Skip skip;
  if (FindOwned(state, record, skip) == nullptr) {
    return skip;
  }
  const auto known = state.maintenance.find(record.host);
  if (known != state.maintenance.end() &&
      record.time < known->second.last_done) {
    return "host " + record.host.value + " was maintained later than that";
  }
  state.maintenance[record.host] = MaintenanceRecord{record.time};
  return std::nullopt;
}

Skip ApplyBody(FleetState& state, const PresenceNotice& record,
               core::LogOffset offset) {
  const auto known = state.presence.find(record.process);
  if (known != state.presence.end() &&
      record.incarnation < known->second.incarnation) {
    return "presence of " + record.process.value + " has an old incarnation";
  }
  state.presence[record.process] =
      Presence{record.process,      record.role,        record.zone,
               record.peer_address, record.incarnation, offset};
  (void)DropOldest(state.presence, kMaxPresence);
  return std::nullopt;
}

// Snapshots repeat the state for readers that start; SnapshotReader assembles
// them.
Skip ApplyBody(FleetState& /*state*/, const SnapshotChunk& /*record*/,
               core::LogOffset /*offset*/) {
  return std::nullopt;
}

Skip ApplyCounted(FleetState& state, const Record& record,
                  core::LogOffset offset) {
  Skip skip = std::visit(
      [&](const auto& body) { return ApplyBody(state, body, offset); }, record);
  if (skip) {
    ++state.skipped_records;
  }
  return skip;
}

// Applies one entry of a log record; appends why something was skipped.
void ApplyEntry(FleetState& state, std::string_view entry,
                core::LogOffset offset, std::string& reasons) {
  const auto add = [&reasons](const std::string& reason) {
    reasons += (reasons.empty() ? "" : "; ") + reason;
  };
  const auto batch = DecodeRecords(entry);
  if (!batch.has_value()) {
    ++state.skipped_records;
    add(batch.error().reason);
    return;
  }
  if (batch.value().unknown > 0) {
    state.skipped_records += batch.value().unknown;
    add(std::to_string(batch.value().unknown) + " records of unknown type");
  }
  for (const Record& record : batch.value().records) {
    const Skip skip = ApplyCounted(state, record, offset);
    if (skip) {
      add(*skip);
    }
  }
}

}  // namespace internal

std::optional<std::string> Apply(FleetState& state, const Record& record,
                                 core::LogOffset offset) {
  if (offset < state.next) {
    return "offset " + std::to_string(offset.value) + " is applied already";
  }
  state.next = core::Next(offset);
  return internal::ApplyCounted(state, record, offset);
}

std::optional<std::string> ApplyEncoded(FleetState& state,
                                        std::string_view data,
                                        core::LogOffset offset) {
  if (offset < state.next) {
    return "offset " + std::to_string(offset.value) + " is applied already";
  }
  state.next = core::Next(offset);
  std::string reasons;
  const auto envelope = log::DecodeBatch(data);
  if (envelope) {
    for (const std::string& entry : envelope->entries) {
      internal::ApplyEntry(state, entry, offset, reasons);
    }
  } else {
    internal::ApplyEntry(state, data, offset, reasons);
  }
  if (reasons.empty()) {
    return std::nullopt;
  }
  return reasons;
}

}  // namespace camphormux::state
