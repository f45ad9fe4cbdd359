#include "camphormux/demand/summary.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "camphormux/cbor/cbor.hpp"
#include "camphormux/demand/load_codec.hpp"

namespace camphormux::demand {
namespace internal {

using nlohmann::json;

constexpr std::uint64_t kNamedVersion = 1;
constexpr std::uint64_t kVersion = 2;
enum LoadEncoding : std::uint64_t { kExact = 0, kRounded = 1 };
constexpr double kTenths = 10.0;
/// Size of the CBOR array header, version, digest, encoding and byte string
/// header.
constexpr std::size_t kEnvelopeBytes = 11;
constexpr std::size_t kMaxDataBytes = std::size_t{1} << 16;

double TotalLoad(const ServiceLoad& load) {
  return load.arrivals_per_s + load.queued + load.running;
}

/// Services with load that the index contains, in ascending order of positions.
std::vector<IndexedLoad> BusyLoads(const Summary& summary,
                                   const ServiceIndex& index) {
  std::vector<IndexedLoad> loads;
  for (const auto& [name, load] : summary.services) {
    const auto index_position =
        std::lower_bound(index.names.begin(), index.names.end(), name);
    if (TotalLoad(load) > 0.0 && index_position != index.names.end() &&
        *index_position == name) {
      loads.push_back(
          {static_cast<std::uint64_t>(index_position - index.names.begin()),
           load});
    }
  }
  return loads;
}

/// Removes the service with the smallest total load.
void DropLeastLoaded(std::vector<IndexedLoad>& loads) {
  loads.erase(std::min_element(loads.begin(), loads.end(),
                               [](const auto& a, const auto& b) {
                                 return TotalLoad(a.load) < TotalLoad(b.load);
                               }));
}

double FromTenths(const json& value) {
  return static_cast<double>(value.get<std::uint64_t>()) / kTenths;
}

std::optional<Summary> DecodeNamed(const json& entries) {
  try {
    Summary summary;
    for (const auto& entry : entries) {
      summary.services[core::ServiceName{entry.at(0).get<std::string>()}] = {
          FromTenths(entry.at(1)), FromTenths(entry.at(2)),
          FromTenths(entry.at(3)), FromTenths(entry.at(4))};
    }
    return summary;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::optional<Summary> DecodeIndexed(const json& data,
                                     const ServiceIndexes& indexes) {
  cbor::ArrayReader in(data);
  in.Unsigned();
  const std::uint64_t digest = in.Unsigned(UINT32_MAX);
  const std::uint64_t load_encoding = in.Unsigned(kRounded);
  const std::string bytes = in.Bytes(kMaxDataBytes);
  const auto index = std::find_if(
      indexes.known.begin(), indexes.known.end(),
      [digest](const ServiceIndex& known) { return known.digest == digest; });
  if (!in.ok() || index == indexes.known.end()) {
    return std::nullopt;
  }
  const auto loads = DecodeLoads(bytes, load_encoding == kRounded);
  if (!loads) {
    return std::nullopt;
  }
  Summary summary;
  for (const auto& [index_position, load] : *loads) {
    if (index_position >= index->names.size()) {
      return std::nullopt;
    }
    summary.services[index->names[index_position]] = load;
  }
  return summary;
}

}  // namespace internal

std::string EncodeSummary(const Summary& summary, const ServiceIndex& index,
                          std::size_t max_bytes) {
  auto loads = internal::BusyLoads(summary, index);
  internal::LoadEncoding load_encoding = internal::kExact;
  std::string data = internal::EncodeExact(loads);
  if (data.size() + internal::kEnvelopeBytes > max_bytes) {
    load_encoding = internal::kRounded;
    data = internal::EncodeRounded(loads);
  }
  while (data.size() + internal::kEnvelopeBytes > max_bytes && !loads.empty()) {
    internal::DropLeastLoaded(loads);
    data = internal::EncodeRounded(loads);
  }
  return cbor::Serialize(internal::json::array(
      {internal::kVersion, index.digest, load_encoding, cbor::Bytes(data)}));
}

std::optional<Summary> DecodeSummary(std::string_view payload,
                                     const ServiceIndexes& indexes) {
  const auto data = cbor::Parse(payload).value_or(internal::json());
  if (!data.is_array() || data.size() < 2 || !data[0].is_number_unsigned()) {
    return std::nullopt;
  }
  if (data[0].get<std::uint64_t>() != internal::kNamedVersion) {
    return internal::DecodeIndexed(data, indexes);
  }
  return data[1].is_array() ? internal::DecodeNamed(data[1]) : std::nullopt;
}

}  // namespace camphormux::demand
