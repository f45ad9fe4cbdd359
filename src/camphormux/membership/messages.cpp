#include "camphormux/membership/messages.hpp"

#include <utility>

#include "camphormux/cbor/cbor.hpp"

namespace camphormux::membership {
namespace internal {

using cbor::ArrayReader;
using nlohmann::json;

constexpr std::uint64_t kVersion = 1;
constexpr std::uint64_t kMaxPort = 65535;
// Ages above this say nothing more about a process.
constexpr std::uint64_t kMaxVouchAgeMs = 3'600'000;

void Put(json& out, const Identity& identity) {
  out.push_back(identity.process.value);
  out.push_back(static_cast<std::uint64_t>(identity.role));
  out.push_back(identity.zone.value);
  out.push_back(identity.address.ip);
  out.push_back(std::uint64_t{identity.address.port});
  out.push_back(identity.incarnation.value);
}

Identity TakeIdentity(ArrayReader& in) {
  Identity identity;
  identity.process.value = in.Text(kMaxNameBytes);
  identity.role = static_cast<state::ProcessRole>(
      in.Unsigned(static_cast<std::uint64_t>(state::ProcessRole::kController)));
  identity.zone.value = in.Text(kMaxNameBytes);
  identity.address.ip = in.Text(kMaxNameBytes);
  identity.address.port = static_cast<std::uint16_t>(in.Unsigned(kMaxPort));
  identity.incarnation.value = in.Unsigned();
  return identity;
}

void Put(json& out, const Report& report) {
  out.push_back(report.sequence);
  out.push_back(report.applied.value);
  out.push_back(report.digest);
  out.push_back(cbor::Bytes(report.payload));
}

Report TakeReport(ArrayReader& in) {
  Report report;
  report.sequence = in.Unsigned();
  report.applied.value = in.Unsigned();
  report.digest = in.Unsigned();
  report.payload = in.Bytes(kMaxPayloadBytes);
  return report;
}

json ToJson(const Change& change) {
  json out = json::array();
  Put(out, change.identity);
  out.push_back(static_cast<std::uint64_t>(change.health));
  return out;
}

json ToJson(const Relay& relay) {
  json out = json::array({relay.process.value, relay.incarnation.value});
  Put(out, relay.report);
  return out;
}

json ToJson(const Vouch& vouch) {
  return json::array(
      {vouch.process.value, static_cast<std::uint64_t>(vouch.age.count())});
}

json ToJson(const core::ProcessId& process) { return process.value; }

Change TakeChange(ArrayReader& in) {
  Change change;
  change.identity = TakeIdentity(in);
  change.health = static_cast<Health>(
      in.Unsigned(static_cast<std::uint64_t>(Health::kDead)));
  return change;
}

Relay TakeRelay(ArrayReader& in) {
  Relay relay;
  relay.process.value = in.Text(kMaxNameBytes);
  relay.incarnation.value = in.Unsigned();
  relay.report = TakeReport(in);
  return relay;
}

Vouch TakeVouch(ArrayReader& in) {
  Vouch vouch;
  vouch.process.value = in.Text(kMaxNameBytes);
  vouch.age =
      core::Millis(static_cast<core::Millis::rep>(in.Unsigned(kMaxVouchAgeMs)));
  return vouch;
}

template <typename T>
json ToArray(const std::vector<T>& items) {
  json out = json::array();
  for (const T& item : items) {
    out.push_back(ToJson(item));
  }
  return out;
}

/// Reads a list of arrays; returns false if one is malformed.
template <typename T, typename Take>
bool TakeList(ArrayReader& in, std::vector<T>& items, Take take) {
  for (const json& element : in.Array(kMaxListLength)) {
    ArrayReader reader(element);
    items.push_back(take(reader));
    if (!reader.ok()) {
      return false;
    }
  }
  return in.ok();
}

bool TakeNames(ArrayReader& in, std::vector<core::ProcessId>& names) {
  const json& list = in.Array(kMaxListLength);
  ArrayReader reader(list);
  for (std::size_t i = 0; i < list.size(); ++i) {
    names.push_back({reader.Text(kMaxNameBytes)});
  }
  return in.ok() && reader.ok();
}

}  // namespace internal

std::string Encode(const Heartbeat& heartbeat) {
  internal::json out = internal::json::array({internal::kVersion});
  internal::Put(out, heartbeat.from);
  internal::Put(out, heartbeat.report);
  out.push_back(internal::ToArray(heartbeat.changes));
  out.push_back(internal::ToArray(heartbeat.relays));
  out.push_back(internal::ToArray(heartbeat.asks));
  out.push_back(internal::ToArray(heartbeat.vouches));
  return cbor::Serialize(out);
}

std::optional<Heartbeat> Decode(std::string_view data) {
  const auto value = cbor::Parse(data);
  if (!value) {
    return std::nullopt;
  }
  internal::ArrayReader in(*value);
  // A later version only appends elements, so any version can be read.
  const std::uint64_t version = in.Unsigned();
  Heartbeat heartbeat;
  heartbeat.from = internal::TakeIdentity(in);
  heartbeat.report = internal::TakeReport(in);
  const bool lists =
      internal::TakeList(in, heartbeat.changes, internal::TakeChange) &&
      internal::TakeList(in, heartbeat.relays, internal::TakeRelay) &&
      internal::TakeNames(in, heartbeat.asks) &&
      internal::TakeList(in, heartbeat.vouches, internal::TakeVouch);
  if (!lists || version < internal::kVersion ||
      heartbeat.from.process.value.empty()) {
    return std::nullopt;
  }
  return heartbeat;
}

std::size_t EncodedBytes(const Relay& relay) {
  return cbor::Serialize(internal::ToJson(relay)).size();
}

}  // namespace camphormux::membership
