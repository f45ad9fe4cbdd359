#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include "platform/adapter.hpp"
#include "platform/store_client.hpp"
#include "test/platform/fake_store.hpp"

namespace camphormux::platform {
namespace {

std::string HostEntry(const std::string& extra) {
  return R"({"service":"s","address":"10.0.0.1:8080","state":"ready",
      "capacity":{"cpu":16000},"born":1700000000123)" +
         extra + "}";
}

// Guards against a list of hosts that is no longer followed, or a process that
// ends, because of one entry of another writer.
TEST(FeedTest, OddEntriesDoNotHideTheOtherHosts) {
  constexpr std::size_t kDepth = 100'000;
  asio::io_context loop;
  asio::ip::tcp::acceptor acceptor(loop, {asio::ip::address_v4::loopback(), 0});
  const std::uint16_t port = acceptor.local_endpoint().port();
  acceptor.close();
  FakeStore fake_store(loop, port);
  auto& entries = fake_store.newest_values["keyed.servers"];
  entries["i-0"] = HostEntry("");
  entries["i-1"] = HostEntry(R"(,"extra":)" + std::string(kDepth, '['));
  entries["i-2"] = HostEntry(R"(,"capacity":{"cpu":1e300})");
  entries["i-3"] = HostEntry(R"(,"address":"10.0.0.1:70000")");
  entries["i-4"] = "\xff\xfe";
  entries["i-5"] = HostEntry(R"(,"born":1e400)");
  entries["i-6"] = HostEntry(R"(,"clockMs":5000)");
  http::Client client(loop);
  coordinator::PeerForwarder peer_forwarder(loop, {"127.0.0.1", 1});
  StoreClient store(client, peer_forwarder, {"127.0.0.1", port});
  const coordinator::FeedPort feed = MakeFeedPort(loop, store);
  std::optional<std::vector<scheduler::HostListing>> hosts;
  coordinator::FeedPort::Listener listener;
  listener.on_catalog = [](const workload::Catalog&) {};
  listener.on_wave = [](const scheduler::WaveRequest&) {};
  listener.on_hosts = [&](std::vector<scheduler::HostListing> list,
                          core::MonotonicTime) { hosts = std::move(list); };
  std::vector<scheduler::Heartbeat> heartbeats;
  listener.on_heartbeats =
      [&](const std::vector<scheduler::Heartbeat>& entry_clocks) {
        heartbeats = entry_clocks;
      };
  feed.start(listener);
  feed.follow_hosts(true);
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (!hosts && std::chrono::steady_clock::now() < end) {
    loop.restart();
    loop.run_one_for(std::chrono::milliseconds(50));
  }
  feed.follow_hosts(false);
  ASSERT_TRUE(hosts);
  ASSERT_EQ(hosts->size(), 2U);
  EXPECT_EQ((*hosts)[0].id.value, "i-0");
  EXPECT_EQ((*hosts)[1].id.value, "i-6");
  ASSERT_EQ(heartbeats.size(), 1U);
  EXPECT_EQ(heartbeats[0].host.value, "i-6");
  EXPECT_EQ(heartbeats[0].incarnation.value, 1700000000123U);
  EXPECT_EQ(heartbeats[0].clock_ms, 5000);
}

}  // namespace
}  // namespace camphormux::platform
