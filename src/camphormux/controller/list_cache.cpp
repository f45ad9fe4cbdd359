#include "camphormux/controller/list_cache.hpp"

#include <algorithm>
#include <cctype>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace camphormux::controller {
namespace internal {

using nlohmann::json;

/// A request without an answer within this time is repeated.
constexpr core::Millis kListTimeout = std::chrono::seconds(2);
constexpr int kListOk = 200;
constexpr int kListNotModified = 304;
constexpr std::int64_t kMillicoresPerCore = 1000;

ListedHost ToListedHost(const json& item) {
  ListedHost host;
  host.id.value = item.at("id").get<std::string>();
  host.zone.value = item.at("zone").get<std::string>();
  host.rack.value = item.at("rack").get<std::string>();
  host.address.ip = item.at("address").get<std::string>();
  host.address.port = item.at("port").get<std::uint16_t>();
  host.shape.cores.value =
      item.at("cores").get<std::int64_t>() * kMillicoresPerCore;
  host.shape.memory.value = item.at("memory_mib").get<std::int64_t>();
  host.shape.accelerators.value = item.value("accelerators", std::int64_t{0});
  host.leaving = item.at("state").get<std::string>() == "leaving";
  return host;
}

/// Adds or replaces the hosts of an array; throws if one is malformed.
void InsertHosts(const json& items, HostList& hosts) {
  for (const json& item : items) {
    ListedHost host = ToListedHost(item);
    const core::HostId id = host.id;
    hosts.insert_or_assign(id, std::move(host));
  }
}

/// Parses a full list (array) or applies changes (object) to `base`.
std::optional<HostList> ParseAnswer(std::string_view body,
                                    const HostList* base) {
  try {
    const json data = json::parse(body);
    if (data.is_array()) {
      HostList hosts;
      InsertHosts(data, hosts);
      return hosts;
    }
    if (base == nullptr) {
      return std::nullopt;
    }
    HostList hosts = *base;
    InsertHosts(data.at("changed"), hosts);
    for (const json& id : data.at("removed")) {
      hosts.erase(core::HostId{id.get<std::string>()});
    }
    return hosts;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

/// The version for the query string; empty if it contains characters that need
/// escaping.
std::string QueryVersion(const std::string& etag) {
  constexpr std::size_t kQuotes = 2;
  if (etag.size() <= kQuotes || etag.front() != '"' || etag.back() != '"') {
    return "";
  }
  std::string version = etag.substr(1, etag.size() - kQuotes);
  const bool plain = std::all_of(
      version.begin(), version.end(),
      [](unsigned char c) { return std::isalnum(c) != 0 || c == '-'; });
  return plain ? version : "";
}

}  // namespace internal

std::optional<HostList> ParseHostList(std::string_view body) {
  return internal::ParseAnswer(body, nullptr);
}

http::ClientRequest MakeListRequest(const ListCache& cache,
                                    const core::Address& platform) {
  http::ClientRequest request;
  request.url =
      fmt::format("http://{}:{}/v1/hosts", platform.ip, platform.port);
  request.timeout = internal::kListTimeout;
  if (!cache.etag.empty()) {
    request.headers = {{"If-None-Match", cache.etag}};
    const std::string version = internal::QueryVersion(cache.etag);
    request.url += version.empty() ? "" : "?since=" + version;
  }
  return request;
}

std::shared_ptr<const HostList> ApplyListResponse(
    ListCache& cache, const http::ClientResult& result) {
  if (!result.has_value()) {
    return nullptr;
  }
  const http::ClientResponse& response = result.value();
  if (response.status == internal::kListNotModified) {
    return cache.hosts;
  }
  if (response.status != internal::kListOk) {
    return nullptr;
  }
  auto hosts = internal::ParseAnswer(response.body, cache.hosts.get());
  if (!hosts) {
    cache = {};
    return nullptr;
  }
  const std::string* etag = http::FindHeader(response.headers, "ETag");
  cache.etag = etag != nullptr ? *etag : "";
  cache.hosts = std::make_shared<const HostList>(std::move(*hosts));
  return cache.hosts;
}

}  // namespace camphormux::controller
