#include "camphormux/log/batch.hpp"

#include <cstdint>
#include <utility>

#include <nlohmann/json.hpp>

#include "camphormux/cbor/cbor.hpp"

namespace camphormux::log {

using nlohmann::json;

std::string EncodeBatch(const Batch& batch) {
  json entries = json::array();
  for (const std::string& entry : batch.entries) {
    entries.push_back(
        json::binary(std::vector<std::uint8_t>(entry.begin(), entry.end())));
  }
  std::string bytes;
  json::to_cbor(json{{"batch", batch.id}, {"entries", std::move(entries)}},
                bytes);
  return bytes;
}

std::optional<Batch> DecodeBatch(std::string_view data) {
  const json map = cbor::Parse(data).value_or(json());
  if (!map.is_object() || !map.contains("batch") || !map.contains("entries") ||
      !map["batch"].is_string() || !map["entries"].is_array()) {
    return std::nullopt;
  }
  Batch batch{map["batch"].get<std::string>(), {}};
  for (const json& entry : map["entries"]) {
    if (!entry.is_binary()) {
      return std::nullopt;
    }
    const auto& bytes = entry.get_binary();
    batch.entries.emplace_back(bytes.begin(), bytes.end());
  }
  return batch;
}

}  // namespace camphormux::log
