#include "camphormux/jobs/codec.hpp"

#include <algorithm>
#include <cctype>
#include <utility>

#include "camphormux/cbor/cbor.hpp"
#include "camphormux/log/batch.hpp"

namespace camphormux::jobs {
namespace internal {

using nlohmann::json;

// Readers also accept the next version, so that two adjacent versions can run
// side by side during an upgrade.
constexpr std::uint64_t kRecordVersion = 1;

/// Reads the fields of one map and keeps the reason of the first error.
class FieldReader {
 public:
  explicit FieldReader(const json& map) : map_(map) {
    if (!map.is_object()) reason_ = "not a map";
  }

  std::string Text(const char* key) {
    const json* field = Find(key);
    const bool good =
        field != nullptr && field->is_string() &&
        field->get_ref<const std::string&>().size() <= kMaxNameBytes;
    return good ? field->get<std::string>() : Fail(key, std::string());
  }
  std::string Name(const char* key) {
    std::string name = Text(key);
    const bool good =
        !name.empty() && name != "." && name != ".." &&
        std::all_of(name.begin(), name.end(), [](unsigned char c) {
          return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
        });
    return good ? name : Fail(key, std::string());
  }
  std::uint64_t Number(const char* key) {
    const json* field = Find(key);
    return field != nullptr && field->is_number_unsigned()
               ? field->get<std::uint64_t>()
               : Fail(key, std::uint64_t{0});
  }
  std::int64_t Amount(const char* key) {
    const std::uint64_t number = Number(key);
    return number <= static_cast<std::uint64_t>(kMaxAmount)
               ? static_cast<std::int64_t>(number)
               : Fail(key, std::int64_t{0});
  }
  bool Flag(const char* key) {
    const json* field = Find(key);
    return field != nullptr && field->is_boolean() ? field->get<bool>()
                                                   : Fail(key, false);
  }
  [[nodiscard]] bool Has(const char* key) const {
    return map_.is_object() && map_.contains(key);
  }
  [[nodiscard]] const std::string& reason() const { return reason_; }

 private:
  [[nodiscard]] const json* Find(const char* key) const {
    return Has(key) ? &map_.at(key) : nullptr;
  }
  template <typename T>
  T Fail(const char* key, T value) {
    if (reason_.empty()) {
      reason_ = std::string("field ") + key + " is missing or malformed";
    }
    return value;
  }

  const json& map_;
  std::string reason_;
};

json EncodeHeader(const char* type) {
  return json{{"version", kRecordVersion}, {"type", type}};
}

template <typename ZoneRecord>
json EncodeZoneRecord(const char* type, const ZoneRecord& record) {
  json map = EncodeHeader(type);
  map["zone"] = record.zone.value;
  map["epoch"] = record.epoch.value;
  return map;
}

template <typename JobRecord>
json EncodeJobRecord(const char* type, const JobRecord& record) {
  json map = EncodeZoneRecord(type, record);
  map["job"] = record.job.value;
  return map;
}

void EncodeSubmitFields(json& map, const Submit& record) {
  const placement::JobSpec& spec = record.spec;
  map["job"] = spec.id.value;
  map["team"] = spec.team.value;
  map["kind"] = spec.kind;
  map["urgent"] = spec.priority == placement::Priority::kUrgent;
  map["preemptible"] = spec.preemptible;
  map["repeatable"] = spec.repeatable;
  map["cores_milli"] = static_cast<std::uint64_t>(spec.declared.cores.value);
  map["memory_mib"] = static_cast<std::uint64_t>(spec.declared.memory.value);
  map["accelerators"] =
      static_cast<std::uint64_t>(spec.declared.accelerators.value);
  map["run_ms"] = static_cast<std::uint64_t>(spec.declared_run_time.count());
  map["pool"] = spec.pool.value;
  if (record.zone) map["only_zone"] = record.zone->value;
}

json Encode(const Submit& record) {
  json map = EncodeHeader("submit");
  EncodeSubmitFields(map, record);
  return map;
}
json Encode(const Cancel& record) {
  json map = EncodeHeader("cancel");
  map["job"] = record.job.value;
  map["team"] = record.team.value;
  return map;
}
json Encode(const Holder& record) { return EncodeZoneRecord("holder", record); }
json Encode(const ClaimJob& record) {
  json map = EncodeJobRecord("take", record);
  if (record.after) map["after"] = record.after->value;
  return map;
}
json Encode(const Start& record) { return EncodeJobRecord("start", record); }
json Encode(const End& record) {
  json map = EncodeJobRecord("end", record);
  map["kind"] = static_cast<std::uint64_t>(record.kind);
  return map;
}
json Encode(const JobSnapshot& record) {
  json map = EncodeZoneRecord("carry", record);
  EncodeSubmitFields(map, record.submit);
  if (record.started) map["started"] = record.started->value;
  return map;
}

Submit ReadSubmit(FieldReader& in) {
  Submit record;
  placement::JobSpec& spec = record.spec;
  spec.id.value = in.Name("job");
  spec.team.value = in.Text("team");
  spec.kind = in.Text("kind");
  spec.priority = in.Flag("urgent") ? placement::Priority::kUrgent
                                    : placement::Priority::kNormal;
  spec.preemptible = in.Flag("preemptible");
  spec.repeatable = in.Flag("repeatable");
  spec.declared.cores.value = in.Amount("cores_milli");
  spec.declared.memory.value = in.Amount("memory_mib");
  spec.declared.accelerators.value = in.Amount("accelerators");
  spec.declared_run_time = core::Millis{in.Amount("run_ms")};
  spec.pool.value = in.Text("pool");
  if (in.Has("only_zone")) record.zone = core::ZoneName{in.Text("only_zone")};
  return record;
}

template <typename ZoneRecord>
void ReadZoneFields(FieldReader& in, ZoneRecord& record) {
  record.zone.value = in.Text("zone");
  record.epoch.value = in.Number("epoch");
}

template <typename JobRecord>
JobRecord ReadJobRecord(FieldReader& in) {
  JobRecord record;
  ReadZoneFields(in, record);
  record.job.value = in.Name("job");
  return record;
}

Record ReadCancel(FieldReader& in) {
  return Cancel{{in.Name("job")}, {in.Text("team")}};
}

Record ReadHolder(FieldReader& in) {
  Holder record;
  ReadZoneFields(in, record);
  return record;
}

Record ReadClaimJob(FieldReader& in) {
  ClaimJob record = ReadJobRecord<ClaimJob>(in);
  if (in.Has("after")) record.after = core::LogOffset{in.Number("after")};
  return record;
}

Record ReadStart(FieldReader& in) { return ReadJobRecord<Start>(in); }

/// An end kind of a later version is read as kLost, as the job has ended.
Record ReadEnd(FieldReader& in) {
  End record = ReadJobRecord<End>(in);
  const auto last = static_cast<std::uint64_t>(EndKind::kCancelled);
  const std::uint64_t kind = in.Number("kind");
  record.kind = kind <= last ? static_cast<EndKind>(kind) : EndKind::kLost;
  return record;
}

Record ReadJobSnapshot(FieldReader& in) {
  JobSnapshot record;
  record.submit = ReadSubmit(in);
  ReadZoneFields(in, record);
  if (in.Has("started")) record.started = core::Epoch{in.Number("started")};
  return record;
}

Record ReadSubmitRecord(FieldReader& in) { return ReadSubmit(in); }

struct RecordType {
  const char* name;
  Record (*read)(FieldReader& in);
};

constexpr RecordType kRecordTypes[] = {
    {"submit", ReadSubmitRecord}, {"cancel", ReadCancel},
    {"holder", ReadHolder},       {"take", ReadClaimJob},
    {"start", ReadStart},         {"end", ReadEnd},
    {"carry", ReadJobSnapshot},
};

/// Decodes one record into the batch. Returns why it is malformed; empty if it
/// is well-formed.
std::string DecodeRecord(DecodedBatch& batch, const json& map) {
  FieldReader in(map);
  const std::uint64_t version = in.Number("version");
  const std::string name = in.Text("type");
  if (!in.reason().empty()) return in.reason();
  const auto* const type =
      std::find_if(std::begin(kRecordTypes), std::end(kRecordTypes),
                   [&](const RecordType& known) { return name == known.name; });
  if (type == std::end(kRecordTypes) || version > kRecordVersion + 1) {
    ++batch.unknown;
    return {};
  }
  Record record = type->read(in);
  if (!in.reason().empty()) return name + ": " + in.reason();
  batch.records.push_back(std::move(record));
  return {};
}

std::string DecodeList(DecodedBatch& batch, std::string_view data) {
  const json list = cbor::Parse(data).value_or(json());
  if (!list.is_array()) return "not a CBOR list of records";
  for (const json& map : list) {
    std::string problem = DecodeRecord(batch, map);
    if (!problem.empty()) return problem;
  }
  return {};
}

}  // namespace internal

std::string EncodeRecords(const std::vector<Record>& records) {
  nlohmann::json list = nlohmann::json::array();
  for (const Record& record : records) {
    list.push_back(std::visit(
        [](const auto& body) { return internal::Encode(body); }, record));
  }
  return cbor::Serialize(list);
}

core::Result<DecodedBatch, DecodeError> DecodeRecords(std::string_view data) {
  DecodedBatch batch;
  const auto envelope = log::DecodeBatch(data);
  const std::vector<std::string> entries =
      envelope ? envelope->entries
               : std::vector<std::string>{std::string(data)};
  for (const std::string& entry : entries) {
    std::string problem = internal::DecodeList(batch, entry);
    if (!problem.empty()) return DecodeError{std::move(problem)};
  }
  return batch;
}

}  // namespace camphormux::jobs
