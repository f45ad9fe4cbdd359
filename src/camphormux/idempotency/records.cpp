#include "camphormux/idempotency/records.hpp"

#include <algorithm>

#include "camphormux/cbor/cbor.hpp"

namespace camphormux::idempotency {
namespace internal {

using nlohmann::json;

constexpr std::uint64_t kVersion = 1;
constexpr std::size_t kMaxNameBytes = 256;
constexpr std::size_t kMaxItems = 65536;

json KeyToJson(const Key& key) {
  return json::binary({key.bytes.begin(), key.bytes.end()});
}

bool ReadKey(cbor::ArrayReader& in, Key& key) {
  const std::string bytes = in.Bytes(key.bytes.size());
  if (bytes.size() != key.bytes.size()) {
    return false;
  }
  std::copy(bytes.begin(), bytes.end(), key.bytes.begin());
  return in.ok();
}

bool ReadIntents(const json& list, std::vector<Intent>& intents) {
  for (const json& element : list) {
    cbor::ArrayReader in(element);
    Intent intent;
    const bool key = ReadKey(in, intent.key);
    intent.service.value = in.Text(kMaxServiceBytes);
    intent.number = in.Unsigned();
    if (!key || !in.ok()) {
      return false;
    }
    intents.push_back(std::move(intent));
  }
  return true;
}

bool ReadReleases(const json& list, std::vector<Release>& releases) {
  for (const json& element : list) {
    cbor::ArrayReader in(element);
    Release release;
    const bool key = ReadKey(in, release.key);
    release.number = in.Unsigned();
    if (!key || !in.ok()) {
      return false;
    }
    releases.push_back(release);
  }
  return true;
}

}  // namespace internal

std::string Encode(const Batch& batch) {
  using internal::json;
  json intents = json::array();
  for (const Intent& intent : batch.intents) {
    intents.push_back(json::array({internal::KeyToJson(intent.key),
                                   intent.service.value, intent.number}));
  }
  json releases = json::array();
  for (const Release& release : batch.releases) {
    releases.push_back(
        json::array({internal::KeyToJson(release.key), release.number}));
  }
  return cbor::Serialize(
      json::array({internal::kVersion, batch.claimant.gateway.value,
                   batch.claimant.incarnation.value, std::move(intents),
                   std::move(releases)}));
}

std::optional<Batch> DecodeBatch(std::string_view data) {
  const auto value = cbor::Parse(data);
  if (!value) {
    return std::nullopt;
  }
  cbor::ArrayReader in(*value);
  const std::uint64_t version = in.Unsigned();
  Batch batch;
  batch.claimant.gateway.value = in.Text(internal::kMaxNameBytes);
  batch.claimant.incarnation.value = in.Unsigned();
  const bool intents =
      internal::ReadIntents(in.Array(internal::kMaxItems), batch.intents);
  const bool releases =
      internal::ReadReleases(in.Array(internal::kMaxItems), batch.releases);
  if (!in.ok() || !intents || !releases || version < internal::kVersion) {
    return std::nullopt;
  }
  return batch;
}

}  // namespace camphormux::idempotency
