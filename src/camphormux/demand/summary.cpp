#include "camphormux/demand/summary.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "camphormux/cbor/cbor.hpp"

namespace camphormux::demand {
namespace internal {

using nlohmann::json;

constexpr std::uint64_t kVersion = 1;
/// Figures travel as whole tenths, which take few bytes.
constexpr double kTenths = 10.0;
constexpr double kMaxTenths = 1e12;
/// Bytes of the outer arrays and the version.
constexpr std::size_t kEnvelopeBytes = 8;

std::uint64_t ToTenths(double value) {
  return static_cast<std::uint64_t>(
      std::round(std::clamp(value * kTenths, 0.0, kMaxTenths)));
}

double FromTenths(const json& value) {
  return static_cast<double>(value.get<std::uint64_t>()) / kTenths;
}

json Entry(const core::ServiceName& name, const ServiceLoad& load) {
  return json::array({name.value, ToTenths(load.arrivals_per_s),
                      ToTenths(load.refused_per_s), ToTenths(load.queued),
                      ToTenths(load.running)});
}

double Weight(const ServiceLoad& load) {
  return load.arrivals_per_s + load.queued + load.running;
}

}  // namespace internal

std::string EncodeSummary(const Summary& summary, std::size_t max_bytes) {
  std::vector<std::pair<core::ServiceName, ServiceLoad>> loads(
      summary.services.begin(), summary.services.end());
  std::stable_sort(
      loads.begin(), loads.end(), [](const auto& a, const auto& b) {
        return internal::Weight(a.second) > internal::Weight(b.second);
      });
  internal::json entries = internal::json::array();
  std::size_t bytes = internal::kEnvelopeBytes;
  for (const auto& [name, load] : loads) {
    internal::json entry = internal::Entry(name, load);
    bytes += internal::json::to_cbor(entry).size();
    if (internal::Weight(load) <= 0.0 || bytes > max_bytes) {
      break;
    }
    entries.push_back(std::move(entry));
  }
  const auto data = internal::json::to_cbor(
      internal::json::array({internal::kVersion, std::move(entries)}));
  return {data.begin(), data.end()};
}

std::optional<Summary> DecodeSummary(std::string_view payload) {
  const auto data = cbor::Parse(payload).value_or(internal::json());
  if (!data.is_array() || data.size() < 2 || !data[1].is_array()) {
    return std::nullopt;
  }
  try {
    Summary summary;
    for (const auto& entry : data[1]) {
      summary.services[core::ServiceName{entry.at(0).get<std::string>()}] = {
          internal::FromTenths(entry.at(1)), internal::FromTenths(entry.at(2)),
          internal::FromTenths(entry.at(3)), internal::FromTenths(entry.at(4))};
    }
    return summary;
  } catch (const internal::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace camphormux::demand
