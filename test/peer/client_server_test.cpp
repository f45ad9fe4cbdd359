#include <algorithm>
#include <optional>
#include <vector>

#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>

#include "camphormux/peer/client.hpp"
#include "camphormux/peer/server.hpp"

namespace camphormux::peer {
namespace {

constexpr core::Millis kLimit = std::chrono::seconds(20);

struct Collected {
  std::vector<Result> results;

  std::function<void(Result)> Add(asio::io_context& loop, std::size_t wanted) {
    return [this, &loop, wanted](Result result) {
      results.push_back(std::move(result));
      if (results.size() == wanted) {
        loop.stop();
      }
    };
  }
};

void RunLoop(asio::io_context& loop) {
  loop.restart();
  loop.run_for(kLimit);
}

Handler Echo() {
  return [](const Request& request, const Respond& respond) {
    respond({kStatusOk, request.path + request.body});
  };
}

// Guards against responses that are mixed up between concurrent streams and
// against bodies above the flow-control window that stall.
TEST(PeerTest, KeepsConcurrentExchangesApart) {
  asio::io_context loop;
  std::vector<std::function<void()>> later;
  Server server(loop, {"127.0.0.1", 0},
                [&later](const Request& request, const Respond& respond) {
                  later.emplace_back([request, respond] {
                    respond({kStatusOk, request.path + request.body});
                  });
                  if (later.size() == 20) {
                    // Answers come in the reverse order of the requests.
                    std::reverse(later.begin(), later.end());
                    for (const auto& answer : later) {
                      answer();
                    }
                  }
                });
  Client client(loop, {"127.0.0.1", server.port()});
  std::vector<std::string> answers(20);
  std::size_t count = 0;
  const std::string body(300'000, 'b');
  for (std::size_t i = 0; i < 20; ++i) {
    client.Send({"/" + std::to_string(i), body}, kLimit, [&, i](Result result) {
      ASSERT_TRUE(result.has_value());
      answers[i] = result.value().body;
      if (++count == 20) {
        loop.stop();
      }
    });
  }
  RunLoop(loop);
  for (std::size_t i = 0; i < 20; ++i) {
    EXPECT_EQ(answers[i], "/" + std::to_string(i) + body);
  }
}

// Guards against a failure that claims less than may have happened, and
// against one that claims more.
TEST(PeerTest, TellsWhetherTheRequestMayHaveArrived) {
  asio::io_context loop;
  std::size_t handled = 0;
  auto server = std::make_unique<Server>(
      loop, core::Address{"127.0.0.1", 0},
      [&handled](const Request&, const Respond&) { ++handled; });
  const core::Address address{"127.0.0.1", server->port()};
  Client client(loop, address);
  Collected late;
  client.Send({"/x", ""}, core::Millis(100), late.Add(loop, 1));
  RunLoop(loop);
  ASSERT_FALSE(late.results.at(0).has_value());
  EXPECT_EQ(late.results[0].error().error, Error::kTimeout);
  EXPECT_TRUE(late.results[0].error().may_have_reached);
  EXPECT_EQ(handled, 1U);

  server.reset();
  Collected refused;
  Client other(loop, address);
  other.Send({"/x", ""}, kLimit, refused.Add(loop, 2));
  other.Send({"/x", ""}, kLimit, refused.Add(loop, 2));
  RunLoop(loop);
  ASSERT_EQ(refused.results.size(), 2U);
  EXPECT_EQ(refused.results[0].error().error, Error::kConnect);
  EXPECT_FALSE(refused.results[0].error().may_have_reached);
}

// Guards against a cut connection that is reported as "not sent", and against
// a client that does not come back after its peer restarted.
TEST(PeerTest, ReconnectsAfterACut) {
  asio::io_context loop;
  std::unique_ptr<Server> server;
  const auto kill = [&](const Request&, const Respond&) { server->Close(); };
  server = std::make_unique<Server>(loop, core::Address{"127.0.0.1", 0}, kill);
  const core::Address address{"127.0.0.1", server->port()};
  ClientOptions options;
  options.backoff.initial = core::Millis(1);
  options.jitter_seed = 7;
  Client client(loop, address, options);
  Collected cut;
  client.Send({"/x", ""}, kLimit, cut.Add(loop, 1));
  RunLoop(loop);
  ASSERT_FALSE(cut.results.at(0).has_value());
  EXPECT_EQ(cut.results[0].error().error, Error::kCut);
  EXPECT_TRUE(cut.results[0].error().may_have_reached);

  server.reset();
  Server restarted(loop, address, Echo());
  std::optional<Response> answer;
  std::function<void()> attempt = [&] {
    client.Send({"/y", "z"}, kLimit, [&](Result result) {
      if (result.has_value()) {
        answer = result.value();
        loop.stop();
      } else {
        EXPECT_FALSE(result.error().may_have_reached);
        attempt();
      }
    });
  };
  attempt();
  RunLoop(loop);
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->body, "/yz");
}

// Guards against unbounded memory for bodies in either direction.
TEST(PeerTest, BoundsBodies) {
  asio::io_context loop;
  std::size_t handled = 0;
  Server server(loop, {"127.0.0.1", 0},
                [&handled](const Request&, const Respond& respond) {
                  ++handled;
                  respond({kStatusOk, std::string(2000, 'r')});
                },
                {1000, 8});
  ClientOptions small;
  small.max_body_bytes = 1500;
  Client client(loop, {"127.0.0.1", server.port()}, small);
  Collected collected;
  for (const std::size_t size : {1400, 1600, 10}) {
    client.Send({"/x", std::string(size, 'q')}, kLimit, collected.Add(loop, 3));
  }
  RunLoop(loop);
  ASSERT_EQ(collected.results.size(), 3U);
  std::size_t reached = 0;
  for (const Result& result : collected.results) {
    ASSERT_FALSE(result.has_value());
    EXPECT_EQ(result.error().error, Error::kTooLarge);
    reached += result.error().may_have_reached ? 1 : 0;
  }
  EXPECT_EQ(reached, 1U);
  EXPECT_EQ(handled, 1U);
}

// Guards against requests that are lost, or reported as carried out, when the
// server has no memory for them, and against memory that stays counted.
TEST(PeerTest, RefusesRequestsOverTheBudget) {
  asio::io_context loop;
  std::size_t handled = 0;
  ServerOptions options;
  options.budget = std::make_shared<http::ConnectionBudget>();
  options.budget->options.total = {100'000};
  Server server(
      loop, {"127.0.0.1", 0},
      [&handled](const Request&, const Respond& respond) {
        ++handled;
        respond({kStatusOk, std::string(300'000, 'r')});
      },
      options);
  Client client(loop, {"127.0.0.1", server.port()});
  Collected collected;
  client.Send({"/x", std::string(200'000, 'q')}, kLimit,
              collected.Add(loop, 1));
  RunLoop(loop);
  ASSERT_FALSE(collected.results.at(0).has_value());
  EXPECT_EQ(collected.results[0].error().error, Error::kRefused);
  EXPECT_FALSE(collected.results[0].error().may_have_reached);
  EXPECT_EQ(handled, 0U);
  client.Send({"/x", std::string(10'000, 'q')}, kLimit, collected.Add(loop, 2));
  RunLoop(loop);
  ASSERT_TRUE(collected.results.at(1).has_value());
  loop.restart();
  loop.poll();
  EXPECT_EQ(options.budget->held, 0);
}

// Guards against silent connections that keep nodes out or cut off those that
// are connected.
TEST(PeerTest, ClosesSilentConnectionsForNewOnes) {
  asio::io_context loop;
  ServerOptions options;
  options.max_connections = 4;
  Server server(loop, {"127.0.0.1", 0}, Echo(), options);
  const core::Address address{"127.0.0.1", server.port()};
  Client early(loop, address);
  Collected collected;
  early.Send({"/a", ""}, kLimit, collected.Add(loop, 1));
  RunLoop(loop);
  std::vector<asio::ip::tcp::socket> silent;
  for (int i = 0; i < 10; ++i) {
    silent.emplace_back(loop).connect(
        {asio::ip::address_v4::loopback(), server.port()});
  }
  Client late(loop, address);
  early.Send({"/b", ""}, kLimit, collected.Add(loop, 3));
  late.Send({"/c", ""}, kLimit, collected.Add(loop, 3));
  RunLoop(loop);
  ASSERT_EQ(collected.results.size(), 3U);
  for (const Result& result : collected.results) {
    EXPECT_TRUE(result.has_value());
  }
}

// Guards against malformed frames that end the process or stop the server
// from serving others.
TEST(PeerTest, SurvivesMalformedFrames) {
  asio::io_context loop;
  Server server(loop, {"127.0.0.1", 0}, Echo());
  core::Random random = core::SeededRandom(20261204);
  const std::string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
  for (int round = 0; round < 200; ++round) {
    std::string bytes = round % 2 == 0 ? preface : "";
    bytes.append(round % 4 == 0 ? std::string("\0\0\0\4\0\0\0\0\0", 9) : "");
    for (std::uint64_t i = core::UniformBelow(random, 200); i > 0; --i) {
      bytes.push_back(static_cast<char>(core::UniformBelow(random, 256)));
    }
    asio::ip::tcp::socket socket(loop);
    asio::error_code ignored;
    socket.connect({asio::ip::address_v4::loopback(), server.port()}, ignored);
    loop.restart();
    loop.poll();
    asio::write(socket, asio::buffer(bytes), ignored);
    loop.restart();
    loop.poll();
  }
  Client client(loop, {"127.0.0.1", server.port()});
  Collected collected;
  client.Send({"/still", "here"}, kLimit, collected.Add(loop, 1));
  RunLoop(loop);
  ASSERT_TRUE(collected.results.at(0).has_value());
  EXPECT_EQ(collected.results[0].value().body, "/stillhere");
}

// Guards against reconnects that come too early, too late or all together.
TEST(PeerTest, BackoffGrowsWithinItsBounds) {
  core::Random random = core::SeededRandom(7);
  const BackoffPolicy policy{core::Millis(100), core::Millis(5000)};
  core::Millis full = policy.initial;
  for (std::uint32_t failures = 1; failures < 100; ++failures) {
    const core::Millis delay = BackoffDelay(policy, failures, random);
    EXPECT_GE(delay, full / 2);
    EXPECT_LE(delay, full);
    full = std::min(policy.maximum, full * 2);
  }
}

// Guards against a request that is taken for answered, and so for not handled,
// because its stream ended without an answer and without an error.
TEST(PeerTest, StreamThatEndsWithoutAnAnswerIsAFailure) {
  asio::io_context loop;
  asio::ip::tcp::acceptor acceptor(loop, {asio::ip::address_v4::loopback(), 0});
  asio::ip::tcp::socket socket(loop);
  std::string received;
  // An empty SETTINGS frame, and RST_STREAM of stream 1 with NO_ERROR.
  const std::string frames(
      "\0\0\0\x04\0\0\0\0\0"
      "\0\0\x04\x03\0\0\0\0\x01\0\0\0\0",
      22);
  acceptor.async_accept(socket, [&](const asio::error_code&) {
    asio::async_read_until(socket, asio::dynamic_buffer(received), "the body",
                           [&](const asio::error_code&, std::size_t) {
                             asio::write(socket, asio::buffer(frames));
                           });
  });
  Client client(loop, {"127.0.0.1", acceptor.local_endpoint().port()});
  Collected collected;
  client.Send({"/path", "the body"}, kLimit, collected.Add(loop, 1));
  RunLoop(loop);
  ASSERT_EQ(collected.results.size(), 1U);
  ASSERT_FALSE(collected.results[0].has_value());
  EXPECT_EQ(collected.results[0].error().error, Error::kCut);
  EXPECT_TRUE(collected.results[0].error().may_have_reached);
}

}  // namespace
}  // namespace camphormux::peer
