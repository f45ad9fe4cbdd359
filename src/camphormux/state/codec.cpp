#include "camphormux/state/codec.hpp"

#include <utility>

#include "camphormux/cbor/cbor.hpp"
#include "camphormux/log/batch.hpp"
#include "camphormux/state/json_fields.hpp"

namespace camphormux::state {
namespace internal {

// Version of the record layout. Readers accept the next version too, so that
// two adjacent versions run side by side during an upgrade.
constexpr std::uint64_t kRecordVersion = 1;

json Encode(const LineEdit& edit) {
  return json{{"first", edit.first_line},
              {"removed", edit.removed_lines},
              {"added", edit.added_lines}};
}

json Encode(const Publish& record) {
  json edits = json::array();
  for (const LineEdit& edit : record.edits) {
    edits.push_back(Encode(edit));
  }
  json map{{"type", "publish"},
           {"id", ToField(record.id)},
           {"author", record.author},
           {"base", ToField(record.base)},
           {"edits", std::move(edits)}};
  if (record.source) {
    map["source"] = *record.source;
  }
  return map;
}

template <typename Lease>
json EncodeLease(const char* type, const Lease& record) {
  return json{{"type", type},
              {"zone", ToField(record.zone)},
              {"holder", ToField(record.holder)},
              {"epoch", ToField(record.epoch)}};
}

json Encode(const LeaseClaim& record) {
  return EncodeLease("lease_claim", record);
}

json Encode(const LeaseRenew& record) {
  return EncodeLease("lease_renew", record);
}

json Encode(const LeaseRelease& record) {
  return EncodeLease("lease_release", record);
}

template <typename Owned>
json EncodeOwned(const char* type, const Owned& record) {
  return json{{"type", type},
              {"zone", ToField(record.zone)},
              {"epoch", ToField(record.epoch)},
              {"host", ToField(record.host)}};
}

json Encode(const HostAdded& record) {
  json map = EncodeOwned("host_added", record);
  map["rack"] = ToField(record.rack);
  map["shape"] = ToField(record.shape);
  map["address"] = ToField(record.address);
  return map;
}

json Encode(const HostRemoved& record) {
  return EncodeOwned("host_removed", record);
}

json Encode(const Assign& record) {
  json map = EncodeOwned("assign", record);
  map["phase"] = ToField(record.phase);
  map["reason"] = ToField(record.drain_reason);
  map["generation"] = ToField(record.generation);
  if (record.pool) {
    map["pool"] = ToField(*record.pool);
  }
  return map;
}

json Encode(const MaintenanceDone& record) {
  json map = EncodeOwned("maintenance", record);
  map["time_ms"] = ToField(record.time);
  return map;
}

json Encode(const PresenceNotice& record) {
  return json{{"type", "presence"},
              {"process", ToField(record.process)},
              {"role", ToField(record.role)},
              {"zone", ToField(record.zone)},
              {"address", ToField(record.peer_address)},
              {"incarnation", ToField(record.incarnation)}};
}

json Encode(const SnapshotChunk& record) {
  return json{{"type", "snapshot_chunk"},
              {"snapshot", record.snapshot},
              {"at", ToField(record.at)},
              {"index", record.index},
              {"count", record.count},
              {"digest", record.digest},
              {"recovery", std::uint64_t{record.recovery}},
              {"data", json::binary(std::vector<std::uint8_t>(
                           record.data.begin(), record.data.end()))}};
}

std::string DecodeEdits(const json& map, std::vector<LineEdit>& edits) {
  const auto list = map.find("edits");
  if (list == map.end()) {
    return {};
  }
  if (!list->is_array()) {
    return "field edits is malformed";
  }
  for (const json& item : *list) {
    FieldReader reader(item);
    LineEdit& edit = edits.emplace_back();
    reader.Read("first", edit.first_line);
    reader.Read("removed", edit.removed_lines);
    reader.Read("added", edit.added_lines);
    if (!reader.reason().empty()) {
      return reader.reason();
    }
  }
  return {};
}

using Decoded = core::Result<Record, DecodeError>;

template <typename T>
Decoded Finish(const FieldReader& reader, T record) {
  if (!reader.reason().empty()) {
    return DecodeError{reader.reason()};
  }
  return Record{std::move(record)};
}

Decoded DecodePublish(const json& map) {
  FieldReader reader(map);
  Publish record;
  reader.Read("id", record.id);
  reader.Read("author", record.author);
  reader.Read("base", record.base);
  reader.ReadOptional("source", record.source);
  const std::string problem = DecodeEdits(map, record.edits);
  if (!problem.empty()) {
    return DecodeError{problem};
  }
  return Finish(reader, std::move(record));
}

template <typename Lease>
Decoded DecodeLease(const json& map) {
  FieldReader reader(map);
  Lease record;
  reader.Read("zone", record.zone);
  reader.Read("holder", record.holder);
  reader.Read("epoch", record.epoch);
  return Finish(reader, std::move(record));
}

template <typename Owned>
void ReadOwned(FieldReader& reader, Owned& record) {
  reader.Read("zone", record.zone);
  reader.Read("epoch", record.epoch);
  reader.Read("host", record.host);
}

Decoded DecodeHostAdded(const json& map) {
  FieldReader reader(map);
  HostAdded record;
  ReadOwned(reader, record);
  reader.Read("rack", record.rack);
  reader.Read("shape", record.shape);
  reader.Read("address", record.address);
  return Finish(reader, std::move(record));
}

Decoded DecodeHostRemoved(const json& map) {
  FieldReader reader(map);
  HostRemoved record;
  ReadOwned(reader, record);
  return Finish(reader, std::move(record));
}

Decoded DecodeAssign(const json& map) {
  FieldReader reader(map);
  Assign record;
  ReadOwned(reader, record);
  reader.Read("phase", record.phase);
  reader.Read("reason", record.drain_reason);
  reader.Read("generation", record.generation);
  reader.ReadOptional("pool", record.pool);
  return Finish(reader, std::move(record));
}

Decoded DecodeMaintenance(const json& map) {
  FieldReader reader(map);
  MaintenanceDone record;
  ReadOwned(reader, record);
  reader.Read("time_ms", record.time);
  return Finish(reader, std::move(record));
}

Decoded DecodePresence(const json& map) {
  FieldReader reader(map);
  PresenceNotice record;
  reader.Read("process", record.process);
  reader.Read("role", record.role);
  reader.Read("zone", record.zone);
  reader.Read("address", record.peer_address);
  reader.Read("incarnation", record.incarnation);
  return Finish(reader, std::move(record));
}

Decoded DecodeChunk(const json& map) {
  FieldReader reader(map);
  SnapshotChunk record;
  reader.Read("snapshot", record.snapshot);
  reader.Read("at", record.at);
  reader.Read("index", record.index);
  reader.Read("count", record.count);
  reader.Read("digest", record.digest);
  reader.Read("data", record.data);
  std::optional<std::uint64_t> recovery;
  reader.ReadOptional("recovery", recovery);
  record.recovery = recovery.value_or(0) != 0;
  return Finish(reader, std::move(record));
}

struct RecordType {
  const char* name;
  Decoded (*decode)(const json& map);
};

constexpr RecordType kRecordTypes[] = {
    {"publish", DecodePublish},
    {"lease_claim", DecodeLease<LeaseClaim>},
    {"lease_renew", DecodeLease<LeaseRenew>},
    {"lease_release", DecodeLease<LeaseRelease>},
    {"host_added", DecodeHostAdded},
    {"host_removed", DecodeHostRemoved},
    {"assign", DecodeAssign},
    {"maintenance", DecodeMaintenance},
    {"presence", DecodePresence},
    {"snapshot_chunk", DecodeChunk},
};

const RecordType* FindType(const std::string& name) {
  for (const RecordType& type : kRecordTypes) {
    if (name == type.name) {
      return &type;
    }
  }
  return nullptr;
}

// Decodes one record into the batch. Returns why it is malformed, or nothing.
std::string DecodeInto(DecodedBatch& batch, const json& map) {
  FieldReader reader(map);
  std::uint64_t version = 0;
  std::string name;
  reader.Read("version", version);
  reader.Read("type", name);
  if (!reader.reason().empty()) {
    return reader.reason();
  }
  const RecordType* type = FindType(name);
  if (type == nullptr || version > kRecordVersion + 1) {
    ++batch.unknown;
    return {};
  }
  Decoded record = type->decode(map);
  if (!record.has_value()) {
    return name + ": " + record.error().reason;
  }
  batch.records.push_back(std::move(record.value()));
  return {};
}

core::Result<DecodedBatch, DecodeError> DecodeList(std::string_view data) {
  const json list = cbor::Parse(data).value_or(json());
  if (!list.is_array()) {
    return DecodeError{"not a CBOR list of records"};
  }
  DecodedBatch batch;
  for (const json& map : list) {
    std::string problem = DecodeInto(batch, map);
    if (!problem.empty()) {
      return DecodeError{std::move(problem)};
    }
  }
  return batch;
}

}  // namespace internal

std::string EncodeRecords(const std::vector<Record>& records) {
  nlohmann::json list = nlohmann::json::array();
  for (const Record& record : records) {
    nlohmann::json map = std::visit(
        [](const auto& body) { return internal::Encode(body); }, record);
    map["version"] = internal::kRecordVersion;
    list.push_back(std::move(map));
  }
  std::string bytes;
  nlohmann::json::to_cbor(list, bytes);
  return bytes;
}

core::Result<DecodedBatch, DecodeError> DecodeRecords(std::string_view data) {
  const auto envelope = log::DecodeBatch(data);
  if (!envelope) {
    return internal::DecodeList(data);
  }
  DecodedBatch all;
  for (const std::string& entry : envelope->entries) {
    auto part = internal::DecodeList(entry);
    if (!part.has_value()) {
      return part.error();
    }
    all.unknown += part.value().unknown;
    for (Record& record : part.value().records) {
      all.records.push_back(std::move(record));
    }
  }
  return all;
}

}  // namespace camphormux::state
