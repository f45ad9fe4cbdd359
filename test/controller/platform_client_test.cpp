#include "camphormux/controller/platform_client.hpp"

#include <asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include "camphormux/controller/collector.hpp"
#include "camphormux/http/server.hpp"

namespace camphormux::controller {
namespace {

constexpr const char* kList =
    R"([{"id":"h1","zone":"a","rack":"r","address":"127.0.0.1","port":1,)"
    R"("cores":64,"memory_mib":1024,"accelerators":0,"state":"live"}])";

std::uint16_t FreePort() {
  asio::io_context loop;
  asio::ip::tcp::acceptor acceptor(loop, {asio::ip::address_v4::loopback(), 0});
  return acceptor.local_endpoint().port();
}

std::shared_ptr<const HostList> RequestList(asio::io_context& loop,
                                            const PlatformPort& port) {
  std::shared_ptr<const HostList> answer;
  port.list([&](std::shared_ptr<const HostList> list) {
    answer = std::move(list);
    loop.stop();
  });
  loop.restart();
  loop.run_for(std::chrono::seconds(20));
  return answer;
}

// Guards against a full host list every second, which alone exceeds the control
// traffic that a node may use with thousands of hosts.
TEST(PlatformPortTest, TransfersAnUnchangedListOnce) {
  asio::io_context loop;
  const core::Address address{"127.0.0.1", FreePort()};
  int whole = 0;
  http::Server platform(
      loop, address,
      [&](const http::ServerRequest& request, const http::Respond& respond) {
        const std::string* known =
            http::FindHeader(request.headers, "If-None-Match");
        if (known != nullptr && *known == "\"7\"") {
          respond({304, "", "application/json", {{"ETag", "\"7\""}}});
          return;
        }
        ++whole;
        respond({200, kList, "application/json", {{"ETag", "\"7\""}}});
      });
  http::Client client(loop);
  const PlatformPort port = MakePlatformPort(client, address);
  for (int i = 0; i < 3; ++i) {
    const auto list = RequestList(loop, port);
    ASSERT_NE(list, nullptr);
    EXPECT_EQ(list->size(), 1U);
  }
  EXPECT_EQ(whole, 1);
}

http::ClientResult Answer(const std::string& body, const std::string& etag) {
  return http::ClientResponse{200, {{"ETag", etag}}, body};
}

// Guards against a full list for each change: at the target fleet size, 1,350
// changes a day of 724 kB each exceed the traffic that a node may use. Also
// guards against a list that stays wrong after changes that cannot be parsed.
TEST(ListCacheTest, AppliesChangesAndReloadsTheListAfterAMalformedAnswer) {
  const core::Address platform{"127.0.0.1", 1};
  ListCache cache;
  EXPECT_EQ(MakeListRequest(cache, platform).url,
            "http://127.0.0.1:1/v1/hosts");
  ASSERT_NE(ApplyListResponse(cache, Answer(kList, "\"7\"")), nullptr);
  EXPECT_EQ(MakeListRequest(cache, platform).url,
            "http://127.0.0.1:1/v1/hosts?since=7");
  std::string second = kList;
  second.replace(second.find("h1"), 2, "h2");
  const auto both = ApplyListResponse(
      cache, Answer(R"({"changed":)" + second + R"(,"removed":[]})", "\"8\""));
  ASSERT_NE(both, nullptr);
  EXPECT_EQ(both->size(), 2U);
  const auto one = ApplyListResponse(
      cache, Answer(R"({"changed":[],"removed":["h1"]})", "\"9\""));
  ASSERT_NE(one, nullptr);
  EXPECT_TRUE(one->contains(core::HostId{"h2"}));
  EXPECT_EQ(one->size(), 1U);
  EXPECT_EQ(ApplyListResponse(cache, http::ClientResponse{304, {}, ""}), one);
  EXPECT_EQ(ApplyListResponse(cache, Answer(R"({"changed":1})", "\"10\"")),
            nullptr);
  EXPECT_EQ(MakeListRequest(cache, platform).url,
            "http://127.0.0.1:1/v1/hosts");
}

/// A platform in memory that counts requests.
struct CountingPlatform {
  int lists = 0;
  int reports = 0;
  std::shared_ptr<const HostList> hosts = std::make_shared<HostList>();

  PlatformPort Port() {
    PlatformPort port;
    port.list = [this](const auto& done) {
      ++lists;
      done(hosts);
    };
    port.report = [this](const core::HostId&, const auto& done) {
      ++reports;
      done(HostReport{});
    };
    return port;
  }
};

// Guards against controllers without the lease that cost their nodes as much as
// the lease holder, and against a takeover that decides on an old host list.
TEST(CollectorTest, PollsOnlyWhileHoldingTheLease) {
  CountingPlatform platform;
  Collector collector(platform.Port(), {"a"}, [] {});
  state::FleetState state;
  state::Host host;
  host.id = {"h"};
  host.zone = {"a"};
  state.hosts.emplace(host.id, host);
  core::MonotonicTime now{std::chrono::hours(1)};
  collector.Poll(state, false, now);
  EXPECT_EQ(platform.lists + platform.reports, 0);
  collector.Poll(state, true, now);
  EXPECT_EQ(platform.lists, 1);
  EXPECT_EQ(platform.reports, 1);
  EXPECT_TRUE(collector.observed().listed.has_value());
  collector.Poll(state, false, now);
  EXPECT_FALSE(collector.observed().listed.has_value());
  EXPECT_TRUE(collector.observed().reports.empty());
  collector.Poll(state, true, now);
  EXPECT_EQ(platform.lists, 2);
  EXPECT_TRUE(collector.observed().listed.has_value());
}

// Guards against reports of stable hosts that cost more traffic than all other
// control messages, and against calls whose lost effect is found late.
TEST(CollectorTest, PollsHostsWithMatchingReportsLessOften) {
  CountingPlatform platform;
  Collector collector(platform.Port(), {"a"}, [] {});
  state::FleetState state;
  state::Host host;
  host.id = {"h"};
  host.zone = {"a"};
  host.phase = state::HostPhase::kAdmitted;
  state.hosts.emplace(host.id, host);
  auto hosts = std::make_shared<HostList>();
  hosts->emplace(host.id, ListedHost{});
  platform.hosts = hosts;
  core::MonotonicTime now{std::chrono::hours(1)};
  const auto run = [&] {
    platform.reports = 0;
    for (int second = 0; second < 120; ++second) {
      now += std::chrono::seconds(1);
      collector.Poll(state, true, now);
    }
    return platform.reports;
  };
  EXPECT_LE(run(), 3);
  state.hosts.at(host.id).generation = {1};  // The report has 0.
  state.mark.next = {1};
  EXPECT_GE(run(), 11);
}

}  // namespace
}  // namespace camphormux::controller
