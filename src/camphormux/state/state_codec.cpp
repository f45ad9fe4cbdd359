#include "camphormux/state/state_codec.hpp"

#include <utility>

#include <xxhash.h>

#include "camphormux/cbor/cbor.hpp"
#include "camphormux/state/json_fields.hpp"
#include "camphormux/text/parse.hpp"

namespace camphormux::state {
namespace internal {

constexpr std::uint64_t kStateVersion = 1;

json EncodeItem(const Host& host) {
  json map{{"id", ToField(host.id)},
           {"zone", ToField(host.zone)},
           {"rack", ToField(host.rack)},
           {"shape", ToField(host.shape)},
           {"address", ToField(host.address)},
           {"phase", ToField(host.phase)},
           {"reason", ToField(host.drain_reason)},
           {"generation", ToField(host.generation)},
           {"phase_offset", ToField(host.phase_offset)}};
  if (host.pool) {
    map["pool"] = ToField(*host.pool);
  }
  return map;
}

bool DecodeItem(const json& map, std::map<core::HostId, Host>& hosts) {
  FieldReader reader(map);
  Host host;
  reader.Read("id", host.id);
  reader.Read("zone", host.zone);
  reader.Read("rack", host.rack);
  reader.Read("shape", host.shape);
  reader.Read("address", host.address);
  reader.Read("phase", host.phase);
  reader.Read("reason", host.drain_reason);
  reader.Read("generation", host.generation);
  reader.Read("phase_offset", host.phase_offset);
  reader.ReadOptional("pool", host.pool);
  hosts[host.id] = std::move(host);
  return reader.reason().empty();
}

json EncodeItem(const core::HostId& id, const RemovedHost& removed) {
  return json{{"id", ToField(id)},
              {"generation", ToField(removed.generation)},
              {"offset", ToField(removed.offset)}};
}

bool DecodeItem(const json& map, std::map<core::HostId, RemovedHost>& all) {
  FieldReader reader(map);
  core::HostId id;
  RemovedHost removed;
  reader.Read("id", id);
  reader.Read("generation", removed.generation);
  reader.Read("offset", removed.offset);
  all[id] = removed;
  return reader.reason().empty();
}

json EncodeItem(const core::ZoneName& zone, const ZoneLease& lease) {
  json map{{"zone", ToField(zone)},
           {"holder", ToField(lease.holder)},
           {"epoch", ToField(lease.epoch)},
           {"last_renewal", ToField(lease.last_renewal)}};
  if (lease.released) {
    map["released"] = std::uint64_t{1};
  }
  return map;
}

bool DecodeItem(const json& map, std::map<core::ZoneName, ZoneLease>& leases) {
  FieldReader reader(map);
  core::ZoneName zone;
  ZoneLease lease;
  reader.Read("zone", zone);
  reader.Read("holder", lease.holder);
  reader.Read("epoch", lease.epoch);
  reader.Read("last_renewal", lease.last_renewal);
  std::optional<std::uint64_t> released;
  reader.ReadOptional("released", released);
  lease.released = released.value_or(0) != 0;
  leases[zone] = std::move(lease);
  return reader.reason().empty();
}

json EncodeItem(const core::HostId& id, const MaintenanceRecord& done) {
  return json{{"id", ToField(id)}, {"last_done", ToField(done.last_done)}};
}

bool DecodeItem(const json& map,
                std::map<core::HostId, MaintenanceRecord>& maintenance) {
  FieldReader reader(map);
  core::HostId id;
  MaintenanceRecord done;
  reader.Read("id", id);
  reader.Read("last_done", done.last_done);
  maintenance[id] = done;
  return reader.reason().empty();
}

json EncodeItem(const Presence& presence) {
  return json{{"process", ToField(presence.process)},
              {"role", ToField(presence.role)},
              {"zone", ToField(presence.zone)},
              {"address", ToField(presence.peer_address)},
              {"incarnation", ToField(presence.incarnation)},
              {"offset", ToField(presence.offset)}};
}

bool DecodeItem(const json& map, std::map<core::ProcessId, Presence>& all) {
  FieldReader reader(map);
  Presence presence;
  reader.Read("process", presence.process);
  reader.Read("role", presence.role);
  reader.Read("zone", presence.zone);
  reader.Read("address", presence.peer_address);
  reader.Read("incarnation", presence.incarnation);
  reader.Read("offset", presence.offset);
  all[presence.process] = std::move(presence);
  return reader.reason().empty();
}

json EncodeItem(const PublishOutcome& outcome) {
  json map{{"id", ToField(outcome.id)},
           {"offset", ToField(outcome.offset)},
           {"author", outcome.author},
           {"base", ToField(outcome.base)},
           {"reason", outcome.reason}};
  if (outcome.accepted) {
    map["accepted"] = ToField(*outcome.accepted);
  }
  return map;
}

bool DecodeItem(const json& map, std::deque<PublishOutcome>& outcomes) {
  FieldReader reader(map);
  PublishOutcome& outcome = outcomes.emplace_back();
  reader.Read("id", outcome.id);
  reader.Read("offset", outcome.offset);
  reader.Read("author", outcome.author);
  reader.Read("base", outcome.base);
  reader.Read("reason", outcome.reason);
  reader.ReadOptional("accepted", outcome.accepted);
  return reader.reason().empty();
}

json EncodeText(const AcceptedText& text) {
  return json{{"revision", ToField(text.revision)},
              {"author", text.author},
              {"source", text.source}};
}

std::string DecodeText(const json& map, AcceptedText& text) {
  FieldReader reader(map);
  reader.Read("revision", text.revision);
  reader.Read("author", text.author);
  reader.Read("source", text.source);
  if (!reader.reason().empty() || text.revision.value == 0) {
    return reader.reason();
  }
  auto parsed = text::ParseOperatorText("snapshot", text.source);
  if (!parsed.has_value()) {
    return "text: " + settings::Describe(parsed.error().front());
  }
  text.parsed =
      std::make_shared<const text::OperatorText>(std::move(parsed.value()));
  return {};
}

// Encodes a map whose values hold their own key.
template <typename Map>
json EncodeValues(const Map& map) {
  json list = json::array();
  for (const auto& [key, value] : map) {
    list.push_back(EncodeItem(value));
  }
  return list;
}

// Encodes a map whose values do not hold their key.
template <typename Map>
json EncodePairs(const Map& map) {
  json list = json::array();
  for (const auto& [key, value] : map) {
    list.push_back(EncodeItem(key, value));
  }
  return list;
}

template <typename Container>
std::string DecodeItems(const json& map, const char* key, Container& items) {
  const auto list = map.find(key);
  if (list == map.end() || !list->is_array()) {
    return std::string("field ") + key + " is missing or malformed";
  }
  for (const json& item : *list) {
    if (!DecodeItem(item, items)) {
      return std::string("an item of ") + key + " is malformed";
    }
  }
  return {};
}

std::string DecodeAll(const json& map, FleetState& state) {
  FieldReader reader(map);
  std::uint64_t version = 0;
  reader.Read("version", version);
  reader.Read("next", state.next);
  reader.Read("skipped", state.skipped_records);
  std::optional<std::uint64_t> floor;
  reader.ReadOptional("floor", floor);
  state.numbering_floor = floor.value_or(0);
  if (!reader.reason().empty()) {
    return reader.reason();
  }
  if (version > kStateVersion + 1) {
    return "state version " + std::to_string(version) + " is too new";
  }
  const std::string problems[] = {
      map.contains("text") ? DecodeText(map["text"], state.text)
                           : "field text is missing",
      DecodeItems(map, "hosts", state.hosts),
      DecodeItems(map, "removed", state.removed_hosts),
      DecodeItems(map, "leases", state.leases),
      DecodeItems(map, "maintenance", state.maintenance),
      DecodeItems(map, "presence", state.presence),
      DecodeItems(map, "outcomes", state.outcomes)};
  for (const std::string& problem : problems) {
    if (!problem.empty()) {
      return problem;
    }
  }
  return {};
}

}  // namespace internal

std::string EncodeState(const FleetState& state) {
  using internal::json;
  json outcomes = json::array();
  for (const PublishOutcome& outcome : state.outcomes) {
    outcomes.push_back(internal::EncodeItem(outcome));
  }
  json map{{"version", internal::kStateVersion},
           {"next", internal::ToField(state.next)},
           {"skipped", state.skipped_records},
           {"text", internal::EncodeText(state.text)},
           {"hosts", internal::EncodeValues(state.hosts)},
           {"removed", internal::EncodePairs(state.removed_hosts)},
           {"leases", internal::EncodePairs(state.leases)},
           {"maintenance", internal::EncodePairs(state.maintenance)},
           {"presence", internal::EncodeValues(state.presence)},
           {"outcomes", std::move(outcomes)}};
  if (state.numbering_floor > 0) {
    map["floor"] = state.numbering_floor;
  }
  std::string bytes;
  json::to_cbor(map, bytes);
  return bytes;
}

core::Result<FleetState, DecodeError> DecodeState(std::string_view data) {
  const auto map = cbor::Parse(data).value_or(internal::json());
  FleetState state;
  std::string problem = internal::DecodeAll(map, state);
  if (!problem.empty()) {
    return DecodeError{std::move(problem)};
  }
  return state;
}

std::uint64_t DigestBytes(std::string_view data) {
  return XXH64(data.data(), data.size(), 0);
}

}  // namespace camphormux::state
