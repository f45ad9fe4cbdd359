#include "camphormux/coordinator/peer_forwarder.hpp"

#include <gtest/gtest.h>

#include "camphormux/peer/server.hpp"

namespace camphormux::coordinator {
namespace {

struct World {
  World()
      : server(
            loop, {"127.0.0.1", 0},
            [this](const peer::Request& request, const peer::Respond& respond) {
              held.push_back([respond, body = request.body] {
                respond({peer::kStatusOk, "done " + body});
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
  std::vector<std::function<void()>> held;
  peer::Server server;
  PeerForwarder peer_forwarder;
};

// Guards against a caller that never hears of its request because the members
// changed meanwhile: a feed stopped for good that way.
TEST(NeighboursTest, ARequestIsAnsweredAlthoughItsNodeIsNoMemberAnyMore) {
  World world;
  std::optional<ForwardResult> result;
  world.peer_forwarder.Forward("work", core::Millis(5000),
                               [&](const ForwardResult& r) { result = r; });
  world.RunUntil([&] { return !world.held.empty(); });
  ASSERT_FALSE(world.held.empty());
  world.peer_forwarder.SetMembers({});
  world.held[0]();
  world.RunUntil([&] { return result.has_value(); });
  ASSERT_TRUE(result);
  EXPECT_TRUE(result->answered);
  EXPECT_EQ(result->body, "done work");
}

// Guards against a request that waits for a node that does not exist.
TEST(NeighboursTest, WithoutMembersTheAnswerIsNo) {
  World world;
  world.peer_forwarder.SetMembers({});
  std::optional<ForwardResult> result;
  world.peer_forwarder.Forward("work", core::Millis(5000),
                               [&](const ForwardResult& r) { result = r; });
  ASSERT_TRUE(result);
  EXPECT_FALSE(result->answered);
  EXPECT_FALSE(result->may_have_reached);
}

}  // namespace
}  // namespace camphormux::coordinator
