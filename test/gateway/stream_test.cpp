#include <chrono>
#include <string>
#include <thread>

#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>

#include "fake_endpoint.hpp"
#include "gateway_harness.hpp"

namespace camphormux::gateway {
namespace {

constexpr std::size_t kMiB = std::size_t{1} << 20;

std::string Head(std::size_t length) {
  return "HTTP/1.1 200 OK\r\nCamphormux-Request-Id: {id}\r\nContent-Length: " +
         std::to_string(length) + "\r\n\r\n";
}

// Guards against lost or reordered bytes of streamed responses.
TEST(StreamTest, ForwardsALargeResponse) {
  FakeEndpoint endpoint([](const std::string&, int) {
    return FakeReply{Head(8 * kMiB), false, core::Millis(0), 8 * kMiB};
  });
  GatewayHarness gateway({endpoint.port()});
  const CallerResult result = gateway.Call("GET", "/venue/big");
  EXPECT_FALSE(result.truncated);
  EXPECT_EQ(result.outcome, "answered");
  EXPECT_EQ(result.body, std::string(8 * kMiB, 'f'));
}

// Guards against losing the end of a chunked response.
TEST(StreamTest, ForwardsALargeChunkedResponse) {
  const std::string part(kMiB, 'c');
  FakeEndpoint endpoint([&](const std::string&, int) {
    return FakeReply{
        "HTTP/1.1 200 OK\r\nCamphormux-Request-Id: {id}\r\n"
        "Transfer-Encoding: chunked\r\n\r\n100000\r\n" +
        part + "\r\n0\r\n\r\n"};
  });
  GatewayHarness gateway({endpoint.port()});
  const CallerResult result = gateway.Call("GET", "/venue/big");
  EXPECT_FALSE(result.truncated);
  EXPECT_EQ(result.body, part);
}

// Guards against a truncated response that looks complete to the caller.
TEST(StreamTest, CallerSeesThatAStreamWasTruncated) {
  FakeEndpoint with_length([](const std::string&, int) {
    return FakeReply{Head(kMiB), true, core::Millis(0), kMiB / 2};
  });
  FakeEndpoint with_chunks([](const std::string&, int) {
    return FakeReply{
        "HTTP/1.1 200 OK\r\nCamphormux-Request-Id: {id}\r\n"
        "Transfer-Encoding: chunked\r\n\r\n100000\r\n",
        true, core::Millis(0), kMiB / 2};
  });
  for (const auto* endpoint : {&with_length, &with_chunks}) {
    GatewayHarness gateway({endpoint->port()});
    EXPECT_TRUE(gateway.Call("GET", "/venue/big").truncated);
    EXPECT_EQ(gateway.metrics().ForService({"venue"}).truncated->Value(), 1);
  }
}

// Guards against unbounded buffering when a caller reads slowly.
TEST(StreamTest, SlowCallerSlowsTheEndpointDown) {
  constexpr std::size_t kBody = 256 * kMiB;
  // The kernel buffers of two local connections hold several MiB each.
  constexpr std::size_t kBuffered = 64 * kMiB;
  FakeEndpoint endpoint([](const std::string&, int) {
    return FakeReply{Head(kBody), false, core::Millis(0), kBody};
  });
  GatewayHarness gateway({endpoint.port()});
  asio::io_context loop;
  asio::ip::tcp::socket caller(loop);
  caller.connect({asio::ip::address_v4::loopback(), gateway.port()});
  asio::write(
      caller,
      asio::buffer(std::string("GET /venue/big HTTP/1.1\r\nHost: x\r\n\r\n")));
  std::size_t before = 0;
  std::size_t after = 1;
  while (before != after) {  // Until the endpoint cannot send more.
    before = endpoint.filler_sent();
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    after = endpoint.filler_sent();
    after = after == 0 ? before + 1 : after;
  }
  EXPECT_LT(after, kBuffered);
  asio::error_code end;
  std::string sink;
  const std::size_t received =
      asio::read(caller, asio::dynamic_buffer(sink), end);
  EXPECT_GT(received, kBody);
}

}  // namespace
}  // namespace camphormux::gateway
