#include "camphormux/controller/platform_client.hpp"

#include <asio/ip/tcp.hpp>
#include <gtest/gtest.h>

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

std::optional<HostList> Ask(asio::io_context& loop, const PlatformPort& port) {
  std::optional<HostList> answer;
  port.list([&](std::optional<HostList> list) {
    answer = std::move(list);
    loop.stop();
  });
  loop.restart();
  loop.run_for(std::chrono::seconds(20));
  return answer;
}

// Guards against a whole host list each second, which alone exceeds the bytes
// that control may cost a node at thousands of hosts.
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
    const auto list = Ask(loop, port);
    ASSERT_TRUE(list.has_value());
    EXPECT_EQ(list->size(), 1U);
  }
  EXPECT_EQ(whole, 1);
}

}  // namespace
}  // namespace camphormux::controller
