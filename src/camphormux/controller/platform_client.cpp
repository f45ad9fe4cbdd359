#include "camphormux/controller/platform_client.hpp"

#include <memory>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace camphormux::controller {
namespace internal {

using nlohmann::json;

/// A call or question of the control path; slower ones are repeated.
constexpr core::Millis kTimeout = std::chrono::seconds(2);
constexpr int kOk = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr std::int64_t kMilli = 1000;

/// The latest list with the version that the platform gave it.
struct CachedList {
  std::string etag;
  HostList hosts;
};

std::string Url(const core::Address& platform, const std::string& path) {
  return fmt::format("http://{}:{}{}", platform.ip, platform.port, path);
}

ListedHost ToListedHost(const json& item) {
  ListedHost host;
  host.id.value = item.at("id").get<std::string>();
  host.zone.value = item.at("zone").get<std::string>();
  host.rack.value = item.at("rack").get<std::string>();
  host.address.ip = item.at("address").get<std::string>();
  host.address.port = item.at("port").get<std::uint16_t>();
  host.shape.cores.value = item.at("cores").get<std::int64_t>() * kMilli;
  host.shape.memory.value = item.at("memory_mib").get<std::int64_t>();
  host.shape.accelerators.value = item.value("accelerators", std::int64_t{0});
  host.leaving = item.at("state").get<std::string>() == "leaving";
  return host;
}

/// A 409 for an old generation says nothing about the lease.
bool IsOldGeneration(const std::string& body) {
  const json error = json::parse(body, nullptr, /*allow_exceptions=*/false);
  return error.is_object() && error.value("code", "") == "old_generation";
}

CallOutcome ToOutcome(const http::ClientResult& result) {
  if (!result.has_value()) {
    return CallOutcome::kFailed;
  }
  const int status = result.value().status;
  if (status == kConflict) {
    return IsOldGeneration(result.value().body) ? CallOutcome::kFailed
                                                : CallOutcome::kStaleEpoch;
  }
  return status == kOk || status == kNoContent ? CallOutcome::kDone
                                               : CallOutcome::kFailed;
}

/// The list of an answer; a 304 stands for the cached one.
std::optional<HostList> ToHostList(const http::ClientResult& result,
                                   CachedList& cached) {
  if (!result.has_value()) {
    return std::nullopt;
  }
  const http::ClientResponse& response = result.value();
  if (response.status == kNotModified && !cached.etag.empty()) {
    return cached.hosts;
  }
  std::optional<HostList> hosts;
  if (response.status == kOk) {
    hosts = ParseHostList(response.body);
  }
  if (hosts) {
    const std::string* etag = http::FindHeader(response.headers, "ETag");
    cached = {etag != nullptr ? *etag : "", *hosts};
  }
  return hosts;
}

/// The report of an answer; a 404 is the report of an unknown host.
std::optional<HostReport> ToReport(const http::ClientResult& result) {
  if (!result.has_value()) {
    return std::nullopt;
  }
  if (result.value().status == kNotFound) {
    HostReport report;
    report.known = false;
    return report;
  }
  return result.value().status == kOk ? ParseHostReport(result.value().body)
                                      : std::nullopt;
}

}  // namespace internal

std::optional<HostList> ParseHostList(std::string_view body) {
  try {
    HostList hosts;
    for (const auto& item : nlohmann::json::parse(body)) {
      ListedHost host = internal::ToListedHost(item);
      const core::HostId id = host.id;
      hosts.emplace(id, std::move(host));
    }
    return hosts;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

std::optional<HostReport> ParseHostReport(std::string_view body) {
  try {
    const auto item = nlohmann::json::parse(body);
    HostReport report;
    const auto pool = item.find("pool");
    if (pool != item.end() && pool->is_string() &&
        !pool->get<std::string>().empty()) {
      report.pool = core::PoolName{pool->get<std::string>()};
    }
    report.generation.value = item.at("generation").get<std::uint64_t>();
    report.draining = item.at("draining").get<bool>();
    report.active_requests = item.at("active_requests").get<int>();
    const auto& boot = item.at("boot_id");
    report.boot_id = boot.is_string() ? boot.get<std::string>() : boot.dump();
    return report;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

http::ClientRequest ToRequest(const PlatformCall& call,
                              const core::Address& platform) {
  const std::string path = "/v1/hosts/" + call.host.value;
  nlohmann::json body{{"epoch", call.epoch.value}};
  http::ClientRequest request;
  request.method = "PUT";
  request.timeout = internal::kTimeout;
  request.headers = {{"Content-Type", "application/json"}};
  switch (call.kind) {
    case CallKind::kPool:
      request.url = internal::Url(platform, path + "/pool");
      body["pool"] = call.pool.value;
      body["service"] = call.service.value;
      body["generation"] = call.generation.value;
      break;
    case CallKind::kDrain:
      request.url = internal::Url(platform, path + "/drain");
      body["generation"] = call.generation.value;
      break;
    case CallKind::kReboot:
      request.url = internal::Url(platform, path + "/reboot");
      body["maintenance_id"] = call.maintenance_id;
      break;
  }
  request.body = body.dump();
  return request;
}

PlatformPort MakePlatformPort(http::Client& client,
                              const core::Address& platform) {
  PlatformPort port;
  const auto cached = std::make_shared<internal::CachedList>();
  port.list = [&client, platform, cached](auto done) {
    http::ClientRequest request;
    request.url = internal::Url(platform, "/v1/hosts");
    request.timeout = internal::kTimeout;
    if (!cached->etag.empty()) {
      request.headers = {{"If-None-Match", cached->etag}};
    }
    client.Send(std::move(request),
                [done, cached](const http::ClientResult& result) {
                  done(internal::ToHostList(result, *cached));
                });
  };
  port.report = [&client, platform](const core::HostId& host, auto done) {
    http::ClientRequest request;
    request.url = internal::Url(platform, "/v1/hosts/" + host.value);
    request.timeout = internal::kTimeout;
    const core::MonotonicTime asked = core::MonotonicNow();
    client.Send(std::move(request),
                [done, asked](const http::ClientResult& result) {
                  std::optional<HostReport> report = internal::ToReport(result);
                  if (report) {
                    report->asked = asked;
                  }
                  done(std::move(report));
                });
  };
  port.send = [&client, platform](const PlatformCall& call, auto done) {
    client.Send(
        ToRequest(call, platform),
        [done, call](const http::ClientResult& result) {
          done({call, internal::ToOutcome(result), core::MonotonicNow()});
        });
  };
  return port;
}

}  // namespace camphormux::controller
