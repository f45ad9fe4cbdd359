#include "bench/naive_gateway/naive_gateway.hpp"

#include <utility>

#include <nlohmann/json.hpp>
#include <strings.h>

namespace camphormux::naive {
namespace internal {

constexpr int kMaxAttempts = 3;
constexpr auto kPollInterval = std::chrono::seconds(1);
constexpr int kStatusUnavailable = 503;

std::string MakeUrl(const core::Address& address, const std::string& path) {
  return "http://" + address.ip + ":" + std::to_string(address.port) + path;
}

std::string ServiceOf(const std::string& path) {
  const std::size_t end = path.find('/', 1);
  return path.empty() ? "" : path.substr(1, end - 1);
}

/// Returns whether a request header is forwarded to the host. Headers that
/// describe the connection or that the client sets itself are not.
bool IsForwarded(const std::string& name) {
  return strcasecmp(name.c_str(), "Host") != 0 &&
         strcasecmp(name.c_str(), "Connection") != 0 &&
         strcasecmp(name.c_str(), "Content-Length") != 0;
}

}  // namespace internal

NaiveGateway::NaiveGateway(asio::io_context& loop, std::vector<NamedHost> hosts,
                           core::Address endpoints_control, std::uint64_t seed)
    : loop_(loop),
      hosts_(std::move(hosts)),
      endpoints_control_(std::move(endpoints_control)),
      random_(core::SeededRandom(seed)),
      client_(loop),
      poll_timer_(loop) {}

void NaiveGateway::Start() { PollAssignments(); }

void NaiveGateway::PollAssignments() {
  for (const NamedHost& host : hosts_) {
    http::ClientRequest request;
    request.url =
        internal::MakeUrl(endpoints_control_, "/control/hosts/" + host.id);
    client_.Send(std::move(request),
                 [this, &host](const http::ClientResult& result) {
                   UpdateAssignment(host, result);
                 });
  }
  poll_timer_.expires_after(internal::kPollInterval);
  poll_timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      PollAssignments();
    }
  });
}

void NaiveGateway::UpdateAssignment(const NamedHost& host,
                                    const http::ClientResult& result) {
  if (!result.has_value() || result.value().status != 200) {
    return;
  }
  const auto json = nlohmann::json::parse(result.value().body, nullptr, false);
  if (!json.is_object()) {
    return;
  }
  assignment_by_host_[host.id] = {
      json.value("service", ""), {host.address, json.value("generation", 0UL)}};
  hosts_by_service_.clear();
  for (const auto& [id, entry] : assignment_by_host_) {
    hosts_by_service_[entry.first].push_back(entry.second);
  }
}

void NaiveGateway::Handle(http::ServerRequest request, http::Respond respond) {
  auto exchange = std::make_shared<Exchange>();
  exchange->service = internal::ServiceOf(request.path);
  exchange->id = "naive-" + std::to_string(random_.engine());
  exchange->request = std::move(request);
  exchange->respond = std::move(respond);
  ForwardToRandomHost(exchange);
}

void NaiveGateway::ForwardToRandomHost(
    const std::shared_ptr<Exchange>& exchange) {
  const auto assigned = hosts_by_service_.find(exchange->service);
  if (assigned == hosts_by_service_.end() || exchange->service.empty()) {
    SendResponse(*exchange, internal::kStatusUnavailable,
                 R"({"code":"no_endpoint"})", "not-run");
    return;
  }
  const AssignedHost& host =
      assigned->second[core::UniformBelow(random_, assigned->second.size())];
  ++exchange->attempts;
  http::ClientRequest request;
  request.method = exchange->request.method;
  request.url = internal::MakeUrl(host.address, exchange->request.path);
  request.body = exchange->request.body;
  for (const http::Header& header : exchange->request.headers) {
    if (internal::IsForwarded(header.name)) {
      request.headers.push_back(header);
    }
  }
  request.headers.push_back({"Camphormux-Request-Id", exchange->id});
  request.headers.push_back({"Camphormux-Service", exchange->service});
  request.headers.push_back(
      {"Camphormux-Generation", std::to_string(host.generation)});
  client_.Send(std::move(request),
               [this, exchange](const http::ClientResult& result) {
                 OnResult(exchange, result);
               });
}

void NaiveGateway::OnResult(const std::shared_ptr<Exchange>& exchange,
                            const http::ClientResult& result) {
  const bool refused =
      result.has_value() &&
      http::FindHeader(result.value().headers, "Camphormux-Refused") != nullptr;
  if (result.has_value() && !refused) {
    SendResponse(*exchange, result.value().status, result.value().body,
                 "answered");
    return;
  }
  exchange->may_have_run |= !refused && result.error().sent;
  if (exchange->attempts < internal::kMaxAttempts) {
    ForwardToRandomHost(exchange);
    return;
  }
  SendResponse(*exchange, internal::kStatusUnavailable, R"({"code":"failed"})",
               exchange->may_have_run ? "unknown" : "not-run");
}

void NaiveGateway::SendResponse(const Exchange& exchange, int status,
                                std::string body, const std::string& outcome) {
  exchange.respond({status,
                    std::move(body),
                    "application/json",
                    {{"Camphormux-Outcome", outcome},
                     {"Camphormux-Request-Id", exchange.id}}});
}

}  // namespace camphormux::naive
