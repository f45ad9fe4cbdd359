#include <chrono>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <asio/executor_work_guard.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <gtest/gtest.h>

#include "camphormux/gateway/gateway.hpp"
#include "fake_endpoint.hpp"
#include "gateway_harness.hpp"

namespace camphormux::gateway {
namespace {

GatewaySettings Settings(core::Millis grace, core::Millis timeout) {
  GatewaySettings settings;
  settings.process = {"gateway-1"};
  settings.zone = {"tanger"};
  settings.callers = {"127.0.0.1", FreePort()};
  settings.admin = {"127.0.0.1", FreePort()};
  settings.max_body = {64 * 1024};
  settings.max_header = {8 * 1024};
  settings.shutdown_grace = grace;
  settings.shutdown_timeout = timeout;
  settings.max_gateways = 1;
  return settings;
}

state::FleetState FleetWithEndpoint(std::uint16_t endpoint_port) {
  state::FleetState state;
  auto text = std::make_shared<text::OperatorText>();
  text::Service& service = text->services[{"venue"}];
  service.name = {"venue"};
  service.pool = {"venue"};
  service.zones = {{"tanger"}};
  state.text.parsed = text;
  state::Host& host = state.hosts[{"tanger-01"}];
  host.id = {"tanger-01"};
  host.zone = {"tanger"};
  host.pool = core::PoolName{"venue"};
  host.phase = state::HostPhase::kAdmitted;
  host.address = {"127.0.0.1", endpoint_port};
  state.next = {1};
  return state;
}

template <typename Condition>
void WaitUntil(const Condition& condition) {
  const auto limit = std::chrono::steady_clock::now() + kTestLimit;
  while (!condition() && std::chrono::steady_clock::now() < limit) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  ASSERT_TRUE(condition());
}

/// A gateway that runs on its own control thread.
class RunningGateway {
 public:
  RunningGateway(const GatewaySettings& settings,
                 const std::optional<state::FleetState>& state)
      : settings_(settings), work_(control_.get_executor()) {
    gateway_ = std::make_unique<Gateway>(
        control_, settings, std::make_shared<prometheus::Registry>(),
        &UnavailableKeyStore);
    gateway_->SetStateQueries(
        {[] { return std::uint64_t{0}; }, [] { return core::MonotonicNow(); },
         [] { return core::MonotonicNow(); }, [] { return std::string(); }});
    if (state) {
      gateway_->Publish(*state);
    }
    thread_ = std::thread([this] {
      control_.run();
      gateway_.reset();
      ended_.set_value();
    });
    if (state) {
      WaitUntil(
          [this, &state] { return gateway_->applied_offset() == state->next; });
    }
  }
  ~RunningGateway() {
    control_.stop();
    thread_.join();
  }
  RunningGateway(const RunningGateway&) = delete;
  RunningGateway& operator=(const RunningGateway&) = delete;

  void Publish(const state::FleetState& state) {
    asio::post(control_, [this, state] { gateway_->Publish(state); });
  }

  /// Starts the shutdown. The gateway is destroyed when it is done, as in main;
  /// the returned future becomes ready afterwards.
  std::future<void> Shutdown() {
    asio::post(control_,
               [this] { gateway_->Shutdown([this] { control_.stop(); }); });
    return ended_.get_future();
  }

  [[nodiscard]] CallerResult Call() const {
    return CallAt(settings_.callers.port, "GET", "/venue/x");
  }
  [[nodiscard]] CallerResult Ready() const {
    return CallAt(settings_.admin.port, "GET", "/readyz");
  }

 private:
  GatewaySettings settings_;
  asio::io_context control_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::unique_ptr<Gateway> gateway_;
  std::promise<void> ended_;
  std::thread thread_;
};

std::vector<std::future<CallerResult>> CallInBackground(
    const RunningGateway& gateway, int count) {
  std::vector<std::future<CallerResult>> calls;
  calls.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    calls.push_back(
        std::async(std::launch::async, [&gateway] { return gateway.Call(); }));
  }
  return calls;
}

// Guards against a gateway that answers with an error before it has a state. A
// refused connection makes the caller or the load balancer try another gateway.
TEST(StartTest, RefusesConnectionsUntilThereIsAState) {
  FakeEndpoint endpoint([](const std::string&, int) {
    return FakeReply{CompleteResponse("done")};
  });
  RunningGateway gateway(Settings(core::Millis{0}, core::Millis{0}),
                         std::nullopt);
  WaitUntil([&] { return gateway.Ready().status != 0; });
  EXPECT_EQ(gateway.Call().status, 0);
  gateway.Publish(FleetWithEndpoint(endpoint.port()));
  WaitUntil([&] { return gateway.Call().outcome == "answered"; });
}

// Guards against two programs on one port, which would receive each other's
// connections.
TEST(StartTest, AnAddressInUseIsAnErrorAtTheStart) {
  asio::io_context loop;
  const asio::ip::tcp::acceptor other(loop,
                                      {asio::ip::address_v4::loopback(), 0});
  GatewaySettings settings = Settings(core::Millis{0}, core::Millis{0});
  settings.callers.port = other.local_endpoint().port();
  EXPECT_THROW(RunningGateway(settings, std::nullopt), std::exception);
}

// Guards against a planned shutdown that ends open requests, refuses callers
// that the load balancer still sends during the grace period, or stays ready.
TEST(ShutdownTest, AnswersOpenRequestsAndThoseOfTheGracePeriod) {
  constexpr int kOpen = 6;
  // Longer than the grace period, so that the requests are still open after the
  // listening socket is closed.
  static constexpr core::Millis kRunTime{5000};
  FakeEndpoint endpoint([](const std::string&, int number) {
    return FakeReply{CompleteResponse("done"), false,
                     number <= kOpen ? kRunTime : core::Millis{0}};
  });
  RunningGateway gateway(
      Settings(std::chrono::seconds(4), std::chrono::seconds(30)),
      FleetWithEndpoint(endpoint.port()));
  auto open = CallInBackground(gateway, kOpen);
  WaitUntil([&] { return endpoint.requests() == kOpen; });
  const std::future<void> done = gateway.Shutdown();
  WaitUntil([&] { return gateway.Ready().status == 503; });
  EXPECT_EQ(gateway.Call().outcome, "answered");
  for (auto& call : open) {
    const CallerResult result = call.get();
    EXPECT_EQ(result.outcome, "answered");
    EXPECT_EQ(result.body, "done");
  }
  EXPECT_EQ(done.wait_for(kTestLimit), std::future_status::ready);
  EXPECT_EQ(gateway.Call().status, 0)
      << "the gateway accepts connections after the shutdown";
}

// Guards against a shutdown that waits for a slow endpoint without limit, and
// against `not-run` for a request that an endpoint may have run when the
// shutdown deadline ended it.
TEST(ShutdownTest, RequestsOpenAtTheDeadlineEndAsUnknown) {
  FakeEndpoint endpoint([](const std::string&, int) {
    return FakeReply{CompleteResponse("late"), false, kTestLimit};
  });
  RunningGateway gateway(Settings(core::Millis{50}, core::Millis{200}),
                         FleetWithEndpoint(endpoint.port()));
  auto open = CallInBackground(gateway, 2);
  WaitUntil([&] { return endpoint.requests() == 2; });
  const std::future<void> done = gateway.Shutdown();
  for (auto& call : open) {
    const CallerResult result = call.get();
    EXPECT_FALSE(result.truncated);
    EXPECT_EQ(result.outcome, "unknown");
  }
  EXPECT_EQ(done.wait_for(kTestLimit), std::future_status::ready);
}

}  // namespace
}  // namespace camphormux::gateway
