#include <memory>
#include <string>
#include <utility>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <gtest/gtest.h>

#include "camphormux/gateway/leaving_hosts_poller.hpp"
#include "camphormux/http/server.hpp"

namespace camphormux::gateway {
namespace {

/// Longer than the interval between two reads.
constexpr core::Millis kSlowAnswer{1500};
constexpr std::chrono::seconds kLimit{20};

/// Returns a local TCP port without a listener.
std::uint16_t FreePort() {
  asio::io_context loop;
  asio::ip::tcp::acceptor acceptor(
      loop, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  return acceptor.local_endpoint().port();
}

/// A platform and a poller on one event loop. The platform's first answer is
/// slow and lists host h1 as leaving; later answers list no host.
struct PlatformAndPoller {
  PlatformAndPoller()
      : port(FreePort()),
        server(loop, {"127.0.0.1", port},
               [this](const http::ServerRequest&,
                      const http::Respond& respond) { Answer(respond); }),
        client(loop),
        poller(loop, client, {"127.0.0.1", port}, registry,
               {[this]() -> const state::FleetState& { return state; },
                [this](const auto& hosts) {
                  ++published;
                  any_host_listed = any_host_listed || !hosts->trusted.empty();
                  loop.stop();
                }},
               core::SeededRandom(1)) {
    for (int i = 0; i < 10; ++i) {
      state::Host& host = state.hosts[{"h" + std::to_string(i)}];
      host.zone = {"a"};
      host.phase = state::HostPhase::kAdmitted;
    }
  }

  void Answer(const http::Respond& respond) {
    const bool first = ++requests == 1;
    if (!first && !answer_later_ones) {
      return;
    }
    const std::string body =
        first ? R"([{"id":"h1","state":"leaving"}])" : "[]";
    timer = std::make_unique<asio::steady_timer>(
        loop, first ? kSlowAnswer : core::Millis(0));
    slow_timer = first ? std::move(timer) : std::move(slow_timer);
    auto& wait = first ? slow_timer : timer;
    wait->async_wait([respond, body](const asio::error_code& error) {
      if (!error) {
        respond({200, body, "application/json", {}});
      }
    });
  }

  void RunUntilPublished(int count) {
    const auto end = core::MonotonicNow() + kLimit;
    while (published < count && core::MonotonicNow() < end) {
      loop.restart();
      loop.run_for(kLimit);
    }
  }

  asio::io_context loop;
  state::FleetState state;
  prometheus::Registry registry;
  std::unique_ptr<asio::steady_timer> timer;
  std::unique_ptr<asio::steady_timer> slow_timer;
  int requests = 0;
  bool answer_later_ones = false;
  int published = 0;
  bool any_host_listed = false;
  std::uint16_t port;
  http::Server server;
  http::Client client;
  LeavingHostsPoller poller;
};

// Guards against discarding the list of a slow platform: the host would get new
// requests later than 3 s after it was listed.
TEST(LeavingHostsPollerOrderTest, TakesASlowAnswer) {
  PlatformAndPoller fixture;
  fixture.poller.Start();
  fixture.RunUntilPublished(1);
  EXPECT_TRUE(fixture.any_host_listed);
}

// Guards against an old answer that arrives after a newer one and replaces it.
TEST(LeavingHostsPollerOrderTest, DropsAnAnswerOlderThanTheLastOneUsed) {
  PlatformAndPoller fixture;
  fixture.answer_later_ones = true;
  fixture.poller.Start();
  fixture.RunUntilPublished(3);
  EXPECT_GE(fixture.published, 3);
  EXPECT_FALSE(fixture.any_host_listed);
}

}  // namespace
}  // namespace camphormux::gateway
