#include "gateway_harness.hpp"

#include <future>
#include <optional>
#include <utility>

#include <asio/ip/tcp.hpp>
#include <gtest/gtest.h>

namespace camphormux::gateway {
namespace {

constexpr std::uint64_t kSeed = 20261204;

std::shared_ptr<const routing::RouteTable> Table(
    const std::vector<std::uint16_t>& ports) {
  auto table = std::make_shared<routing::RouteTable>();
  routing::ServiceRoutes& routes = table->services[{"venue"}];
  routes.service.name = {"venue"};
  routes.service.pool = {"venue"};
  routes.service.non_repeatable = {{"POST", "/holds"}};
  for (std::size_t i = 0; i < ports.size(); ++i) {
    routes.endpoints.push_back({{"host" + std::to_string(i)},
                                {"tanger"},
                                {"127.0.0.1", ports[i]},
                                {1},
                                {1}});
  }
  return table;
}

DispatcherOptions Options() {
  DispatcherOptions options;
  options.zone = {"tanger"};
  options.id_prefix = "test";
  options.max_body = {64 * 1024};
  options.max_header = {8 * 1024};
  options.routing.connection_share = 4;
  return options;
}

CallerResult ToCallerResult(http::ClientResult result) {
  CallerResult caller;
  if (!result) {
    caller.truncated = result.error().error == http::ClientError::kCut;
    return caller;
  }
  caller.status = result.value().status;
  caller.headers = std::move(result.value().headers);
  caller.body = std::move(result.value().body);
  const std::string* outcome =
      http::FindHeader(caller.headers, "Camphormux-Outcome");
  caller.outcome = outcome == nullptr ? "" : *outcome;
  return caller;
}

}  // namespace

std::uint16_t FreePort() {
  asio::io_context loop;
  asio::ip::tcp::acceptor acceptor(loop, {asio::ip::address_v4::loopback(), 0});
  return acceptor.local_endpoint().port();
}

CallerResult CallAt(std::uint16_t port, const std::string& method,
                    const std::string& target, const http::Headers& headers,
                    const std::string& body) {
  asio::io_context loop;
  http::Client client(loop);
  http::ClientRequest request;
  request.method = method;
  request.url = "http://127.0.0.1:" + std::to_string(port) + target;
  request.headers = headers;
  request.body = body;
  request.timeout = kTestLimit;
  std::optional<http::ClientResult> result;
  client.Send(std::move(request), [&](http::ClientResult answer) {
    result = std::move(answer);
    loop.stop();
  });
  loop.run_for(kTestLimit);
  EXPECT_TRUE(result.has_value()) << "no response from the gateway";
  return result ? ToCallerResult(std::move(*result)) : CallerResult{};
}

GatewayHarness::GatewayHarness(const std::vector<std::uint16_t>& endpoint_ports,
                               const KeyStoreFactory& keys)
    : port_(FreePort()),
      metrics_(std::make_shared<prometheus::Registry>()),
      spans_("test", "", 1) {
  thread_ = std::make_unique<TrafficThread>(
      core::Address{"127.0.0.1", port_}, Options(), core::SeededRandom(kSeed),
      metrics_, spans_, keys);
  std::promise<void> ready;
  thread_->SetTable(Table(endpoint_ports));
  thread_->Post([&ready](Dispatcher&) { ready.set_value(); });
  ready.get_future().wait();
}

CallerResult GatewayHarness::Call(const std::string& method,
                                  const std::string& target,
                                  const http::Headers& headers,
                                  const std::string& body) {
  return CallAt(port_, method, target, headers, body);
}

}  // namespace camphormux::gateway
