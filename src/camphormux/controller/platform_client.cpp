#include "camphormux/controller/platform_client.hpp"

#include <memory>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace camphormux::controller {
namespace internal {

using nlohmann::json;

/// Time limit of calls and requests to the platform; those without an answer
/// are repeated.
constexpr core::Millis kTimeout = std::chrono::seconds(2);
constexpr int kOk = 200;
constexpr int kNoContent = 204;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;

std::string Url(const core::Address& platform, const std::string& path) {
  return fmt::format("http://{}:{}{}", platform.ip, platform.port, path);
}

/// Status 409 for an old generation says nothing about the lease.
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

/// Converts an answer to a report; status 404 means an unknown host.
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
  const auto cache = std::make_shared<ListCache>();
  port.list = [&client, platform, cache](auto done) {
    client.Send(MakeListRequest(*cache, platform),
                [done, cache](const http::ClientResult& result) {
                  done(ApplyListResponse(*cache, result));
                });
  };
  port.report = [&client, platform](const core::HostId& host, auto done) {
    http::ClientRequest request;
    request.url = internal::Url(platform, "/v1/hosts/" + host.value);
    request.timeout = internal::kTimeout;
    const core::MonotonicTime requested_at = core::MonotonicNow();
    client.Send(std::move(request),
                [done, requested_at](const http::ClientResult& result) {
                  std::optional<HostReport> report = internal::ToReport(result);
                  if (report) {
                    report->requested_at = requested_at;
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
