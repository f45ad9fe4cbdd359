#include "camphormux/coordinator/peer_forwarder.hpp"

#include <gtest/gtest.h>

#include "camphormux/peer/server.hpp"

namespace camphormux::coordinator {
namespace {

/// A forwarder and one other node, which answers when the test says so.
struct Harness {
  Harness()
      : server(
            loop, {"127.0.0.1", 0},
            [this](const peer::Request& request, const peer::Respond& respond) {
              pending_responses.push_back([this, respond, body = request.body] {
                respond({status, "done " + body});
              });
            }),
        peer_forwarder(loop, {"127.0.0.1", 1}) {
    peer_forwarder.SetMembers({{"127.0.0.1", 1}, {"127.0.0.1", server.port()}});
  }

  void RunUntil(const std::function<bool()>& condition) {
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition() && std::chrono::steady_clock::now() < end) {
      loop.restart();
      loop.run_one_for(std::chrono::milliseconds(50));
    }
  }

  asio::io_context loop;
  int status = peer::kStatusOk;
  std::vector<std::function<void()>> pending_responses;
  peer::Server server;
  PeerForwarder peer_forwarder;
};

// Guards against a request whose callback is never called because the list of
// nodes changed meanwhile: a feed once stopped for good that way.
TEST(PeerForwarderTest, RequestIsAnsweredAfterItsNodeIsRemoved) {
  Harness harness;
  std::optional<ForwardResult> result;
  harness.peer_forwarder.Forward("work", core::Millis(5000),
                                 [&](const ForwardResult& r) { result = r; });
  harness.RunUntil([&] { return !harness.pending_responses.empty(); });
  ASSERT_FALSE(harness.pending_responses.empty());
  harness.peer_forwarder.SetMembers({});
  harness.pending_responses[0]();
  harness.RunUntil([&] { return result.has_value(); });
  ASSERT_TRUE(result);
  EXPECT_TRUE(result->answered);
  EXPECT_EQ(result->body, "done work");
}

// Guards against an append that is wrongly taken for not stored.
TEST(PeerForwarderTest, RequestOnWhichANodeFailsMayHaveReachedTheStore) {
  Harness harness;
  harness.status = peer::kStatusInternalError;
  std::optional<ForwardResult> result;
  harness.peer_forwarder.Forward("work", core::Millis(5000),
                                 [&](const ForwardResult& r) { result = r; });
  harness.RunUntil([&] { return !harness.pending_responses.empty(); });
  ASSERT_FALSE(harness.pending_responses.empty());
  harness.pending_responses[0]();
  harness.RunUntil([&] { return result.has_value(); });
  ASSERT_TRUE(result);
  EXPECT_FALSE(result->answered);
  EXPECT_TRUE(result->may_have_reached);
}

// Guards against a request that waits although there is no other node.
TEST(PeerForwarderTest, FailsAtOnceWithoutMembers) {
  Harness harness;
  harness.peer_forwarder.SetMembers({});
  std::optional<ForwardResult> result;
  harness.peer_forwarder.Forward("work", core::Millis(5000),
                                 [&](const ForwardResult& r) { result = r; });
  ASSERT_TRUE(result);
  EXPECT_FALSE(result->answered);
  EXPECT_FALSE(result->may_have_reached);
}

}  // namespace
}  // namespace camphormux::coordinator
