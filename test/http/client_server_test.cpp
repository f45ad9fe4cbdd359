#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <sys/resource.h>

#include "camphormux/http/client.hpp"
#include "camphormux/http/server.hpp"
#include "test/http/scripted_server.hpp"

namespace camphormux::http {
namespace {

using ::testing::AllOf;
using ::testing::HasSubstr;

constexpr core::Millis kLimit = std::chrono::seconds(20);

std::uint16_t FreePort() {
  asio::io_context loop;
  asio::ip::tcp::acceptor acceptor(loop, {asio::ip::address_v4::loopback(), 0});
  return acceptor.local_endpoint().port();
}

std::string Url(std::uint16_t port, const std::string& path) {
  return "http://127.0.0.1:" + std::to_string(port) + path;
}

ClientResult Exchange(asio::io_context& loop, ClientRequest request) {
  Client client(loop);
  std::optional<ClientResult> result;
  client.Send(std::move(request), [&](ClientResult answer) {
    result = std::move(answer);
    loop.stop();
  });
  loop.restart();
  loop.run_for(kLimit);
  EXPECT_TRUE(result.has_value());
  return result.value_or(ClientFailure{});
}

// Guards against lost bodies, queries and headers in either direction.
TEST(ClientServerTest, CarriesTheWholeExchange) {
  asio::io_context loop;
  const std::uint16_t port = FreePort();
  Server server(loop, {"127.0.0.1", port},
                [](const ServerRequest& request, const Respond& respond) {
                  const std::string* header =
                      FindHeader(request.headers, "x-test");
                  respond({201,
                           request.method + request.path +
                               request.query.at("a") + request.body,
                           "text/plain",
                           {{"X-Echo", header ? *header : ""}}});
                });
  ClientRequest request;
  request.method = "POST";
  request.url = Url(port, "/v1/x?a=1%202");
  request.headers = {{"X-Test", "yes"}};
  request.body = std::string(100'000, 'b');
  const ClientResult result = Exchange(loop, request);
  ASSERT_TRUE(result.has_value());
  EXPECT_EQ(result.value().status, 201);
  EXPECT_EQ(result.value().body, "POST/v1/x1 2" + request.body);
  EXPECT_EQ(*FindHeader(result.value().headers, "x-echo"), "yes");
}

// Guards against a failure that claims less than may have happened.
TEST(ClientServerTest, TellsWhetherTheRequestWasSent) {
  asio::io_context loop;
  ClientRequest request;
  request.url = Url(FreePort(), "/");
  const ClientResult refused = Exchange(loop, request);
  ASSERT_FALSE(refused.has_value());
  EXPECT_EQ(refused.error().error, ClientError::kConnect);
  EXPECT_FALSE(refused.error().sent);

  const std::uint16_t port = FreePort();
  std::vector<Respond> kept;
  Server silent(loop, {"127.0.0.1", port},
                [&kept](const ServerRequest&, const Respond& respond) {
                  kept.push_back(respond);
                });
  request.url = Url(port, "/");
  request.timeout = core::Millis(200);
  const ClientResult late = Exchange(loop, request);
  ASSERT_FALSE(late.has_value());
  EXPECT_EQ(late.error().error, ClientError::kTimeout);
  EXPECT_TRUE(late.error().sent);
}

// Guards against a truncated answer that is taken for a whole one.
TEST(ClientServerTest, RejectsATruncatedAnswer) {
  asio::io_context loop;
  asio::ip::tcp::acceptor acceptor(loop, {asio::ip::address_v4::loopback(), 0});
  asio::ip::tcp::socket socket(loop);
  acceptor.async_accept(socket, [&](const asio::error_code&) {
    asio::write(socket,
                asio::buffer(std::string(
                    "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nab")));
    socket.close();
  });
  ClientRequest request;
  request.url = Url(acceptor.local_endpoint().port(), "/");
  const ClientResult result = Exchange(loop, request);
  ASSERT_FALSE(result.has_value());
  EXPECT_EQ(result.error().error, ClientError::kCut);
}

/// Sends two requests one after the other.
/// @return The result of the second.
ClientResult ExchangeTwo(asio::io_context& loop, const ClientRequest& request) {
  Client client(loop);
  std::optional<ClientResult> result;
  client.Send(request, [&](const ClientResult&) {
    client.Send(request, [&](ClientResult answer) {
      result = std::move(answer);
      loop.stop();
    });
  });
  loop.restart();
  loop.run_for(kLimit);
  EXPECT_TRUE(result.has_value());
  return result.value_or(ClientFailure{});
}

// Guards against a refusal of a second copy that is taken for the answer to the
// first, which the server may carry out later.
TEST(ClientServerTest, RequestOnAClosedConnectionIsNotSentTwice) {
  asio::io_context loop;
  const ScriptedAnswer closed{0, "", true};
  ScriptedServer server(loop, {{}, closed, {}, closed, {}});
  ClientRequest request;
  request.method = "POST";
  request.url = Url(server.port(), "/");
  request.body = "body";
  request.reuse = ConnectionReuse::kOnce;
  const ClientResult result = ExchangeTwo(loop, request);
  ASSERT_FALSE(result.has_value());
  EXPECT_TRUE(result.error().sent);
  EXPECT_EQ(server.received(), 2U);

  request.reuse = ConnectionReuse::kResend;
  EXPECT_TRUE(ExchangeTwo(loop, request).has_value());
  EXPECT_EQ(server.received(), 5U);
}

// Guards against a request that is taken for not sent because its second copy
// found no server: the first one was received.
TEST(ClientServerTest, RequestIsSentIfOnlyItsSecondCopyCannotConnect) {
  for (const ConnectionReuse reuse :
       {ConnectionReuse::kOnce, ConnectionReuse::kResend}) {
    asio::io_context loop;
    ScriptedServer server(loop, {{}, {0, "", true, true}});
    ClientRequest request;
    request.method = "POST";
    request.url = Url(server.port(), "/");
    request.body = "body";
    request.reuse = reuse;
    const ClientResult result = ExchangeTwo(loop, request);
    ASSERT_FALSE(result.has_value());
    EXPECT_TRUE(result.error().sent);
    EXPECT_EQ(server.received(), 2U);
  }
}

// Sends bytes on a new connection; returns what comes back until `end` is seen
// or the connection is closed.
std::string Talk(asio::io_context& loop, std::uint16_t port,
                 const std::string& bytes, const std::string& end) {
  asio::ip::tcp::socket socket(loop);
  socket.connect({asio::ip::address_v4::loopback(), port});
  std::string answer;
  std::array<char, 4096> part{};
  std::function<void()> read = [&] {
    socket.async_read_some(
        asio::buffer(part), [&](const asio::error_code& error, std::size_t n) {
          answer.append(part.data(), n);
          if (error || answer.find(end) != std::string::npos) {
            loop.stop();
          } else {
            read();
          }
        });
  };
  read();
  asio::async_write(socket, asio::buffer(bytes), [](auto, auto) {});
  loop.restart();
  loop.run_for(kLimit);
  socket.close();
  loop.restart();
  loop.poll();
  return answer;
}

constexpr std::size_t kStoredBody = 20'000;
constexpr std::size_t kMaxHead = 16'384;

ServerOptions SmallBodies() {
  ServerOptions options;
  options.max_body = {100'000};
  options.request_limits = [] {
    return RequestLimits{core::Bytes{kStoredBody}, core::Bytes{kMaxHead}};
  };
  return options;
}

std::string Chunks(std::size_t count) {
  std::string text = "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (std::size_t i = 0; i < count; ++i) {
    text += "1\r\nb\r\n";
  }
  return text + "0\r\nTrailer: x\r\n\r\n";
}

// Guards against limits that refuse a request inside them, and against a body
// over the limit that reaches the handler.
TEST(ClientServerTest, HoldsTheLimitOfBodiesWhileReading) {
  asio::io_context loop;
  const std::uint16_t port = FreePort();
  std::size_t handled = 0;
  const Server server(
      loop, {"127.0.0.1", port},
      [&](const ServerRequest& request, const Respond& respond) {
        ++handled;
        respond({200,
                 "has " + std::to_string(request.body.size()) + " bytes",
                 "text/plain",
                 {}});
      },
      SmallBodies());
  EXPECT_THAT(Talk(loop, port, Chunks(kStoredBody), " bytes"),
              HasSubstr("has 20000 bytes"));
  // The connection serves the next request after a refusal.
  EXPECT_THAT(
      Talk(loop, port, Chunks(kStoredBody + 1) + Chunks(3), "has 3 bytes"),
      AllOf(HasSubstr("413"), HasSubstr("has 3 bytes")));
  EXPECT_EQ(handled, 2U);
  EXPECT_EQ(Talk(loop, port,
                 "POST /x HTTP/1.1\r\nContent-Length: 100001\r\n\r\n", "x"),
            "");
}

std::string GetWithHeadOf(std::size_t bytes) {
  const std::string start = "GET /x HTTP/1.1\r\nHost: x\r\n";
  const std::string field = "a:b\r\n";
  std::string head = start;
  while (head.size() + 2 * field.size() + 2 < bytes) {
    head += field;
  }
  head += "c:";
  head.append(bytes - head.size() - 4, 'd');
  return head + "\r\n\r\n";
}

// Guards against a head at the limit that is refused, whatever its fields, and
// against one over it that is read on.
TEST(ClientServerTest, HoldsTheLimitOfHeadsWhileReading) {
  asio::io_context loop;
  const std::uint16_t port = FreePort();
  const Server server(
      loop, {"127.0.0.1", port},
      [](const ServerRequest& /*request*/, const Respond& respond) {
        respond({200, "served", "text/plain", {}});
      },
      SmallBodies());
  EXPECT_THAT(Talk(loop, port, "\r\n" + GetWithHeadOf(kMaxHead), "served"),
              HasSubstr("served"));
  EXPECT_EQ(Talk(loop, port, GetWithHeadOf(kMaxHead + 100), "served"), "");
}

// Guards against a connection that is refused although another one idles.
TEST(ClientServerTest, ClosesTheIdleConnectionForANewOne) {
  asio::io_context loop;
  const std::uint16_t port = FreePort();
  ServerOptions options;
  options.max_connections = 1;
  int refusals = 0;
  options.budget = std::make_shared<ConnectionBudget>();
  options.budget->options.on_refusal = [&](ConnectionRefusal reason) {
    EXPECT_EQ(reason, ConnectionRefusal::kTooManyConnections);
    ++refusals;
  };
  const Server server(
      loop, {"127.0.0.1", port},
      [](const ServerRequest& /*request*/, const Respond& respond) {
        respond({200, "served", "text/plain", {}});
      },
      options);
  asio::ip::tcp::socket idle(loop);
  idle.connect({asio::ip::address_v4::loopback(), port});
  loop.poll();
  EXPECT_THAT(Talk(loop, port, "GET /x HTTP/1.1\r\n\r\n", "served"),
              HasSubstr("served"));
  EXPECT_EQ(refusals, 1);
}

/// Takes the descriptors that the process has left.
std::vector<asio::ip::tcp::socket> TakeDescriptors(asio::io_context& loop) {
  std::vector<asio::ip::tcp::socket> taken;
  asio::error_code error;
  while (!error) {
    taken.emplace_back(loop).open(asio::ip::tcp::v4(), error);
  }
  return taken;
}

// Guards against a server that accepts nothing more after the process had no
// descriptor left once.
TEST(ClientServerTest, AcceptsAgainAfterTheDescriptorsRanOut) {
  asio::io_context loop;
  const std::uint16_t port = FreePort();
  const Server server(
      loop, {"127.0.0.1", port},
      [](const ServerRequest& /*request*/, const Respond& respond) {
        respond({200, "served", "text/plain", {}});
      });
  rlimit limit{};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &limit), 0);
  const rlim_t few = std::min<rlim_t>(limit.rlim_cur, 200);
  const rlimit lowered{few, limit.rlim_max};
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &lowered), 0);
  {
    asio::ip::tcp::socket client(loop);
    client.open(asio::ip::tcp::v4());
    const auto taken = TakeDescriptors(loop);
    client.connect({asio::ip::address_v4::loopback(), port});
    loop.poll();
  }
  setrlimit(RLIMIT_NOFILE, &limit);
  EXPECT_THAT(Talk(loop, port, "GET /x HTTP/1.1\r\n\r\n", "served"),
              HasSubstr("served"));
}

// Guards against long answers of many hosts that together take all memory.
TEST(ClientServerTest, FailsLongAnswersWhileTheirMemoryIsShort) {
  asio::io_context loop;
  const std::uint16_t port = FreePort();
  const Server server(
      loop, {"127.0.0.1", port},
      [](const ServerRequest& /*request*/, const Respond& respond) {
        respond({200, std::string(kStoredBody, 'a'), "text/plain", {}});
      });
  Client client(loop);
  client.LimitBuffered({100});
  std::vector<ClientResult> results;
  for (const std::size_t when_full : {kStoredBody, kStoredBody - 1}) {
    ClientRequest request;
    request.url = Url(port, "/x");
    request.max_response_bytes_when_full = when_full;
    client.Send(std::move(request), [&](ClientResult result) {
      results.push_back(std::move(result));
      loop.stop();
    });
    loop.restart();
    loop.run_for(kLimit);
  }
  ASSERT_EQ(results.size(), 2U);
  EXPECT_TRUE(results[0].has_value());
  ASSERT_FALSE(results[1].has_value());
  EXPECT_EQ(results[1].error().error, ClientError::kTooLarge);
}

}  // namespace
}  // namespace camphormux::http
