#include "camphormux/coordinator/host_router.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

#include <asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include "camphormux/coordinator/agent_choice.hpp"
#include "camphormux/coordinator/host_agent.hpp"
#include "camphormux/peer/server.hpp"

namespace camphormux::coordinator {
namespace {

/// A holder's router and one other node that calls hosts.
struct World {
  World() : node_metrics(RegisterNodeMetrics(registry)) {
    HostPort agent_port;
    agent_port.stop = [this](const HostTarget&, const scheduler::RunName&,
                             std::function<void(CallOutcome)> done) {
      ++by_agent;
      held.push_back(std::move(done));
    };
    agent = std::make_shared<HostAgent>(loop, agent_port);
    server = std::make_unique<peer::Server>(
        loop, core::Address{"127.0.0.1", 0},
        [this](const peer::Request& request, const peer::Respond& respond) {
          if (!mute) {
            agent->Serve(request, respond);
          }
        });
    HostPort direct;
    direct.stop = [this](const HostTarget&, const scheduler::RunName&,
                         const std::function<void(CallOutcome)>& done) {
      ++by_holder;
      done(CallOutcome::kDone);
    };
    router = std::make_shared<HostRouter>(loop, direct,
                                          core::Address{"127.0.0.1", 1},
                                          core::Epoch{3}, node_metrics);
    router->SetHosts(kMaxDirectHosts + 1);
    router->SetMembers({{{"127.0.0.1", 1}, {"z"}, {500}},
                        {{"127.0.0.1", server->port()}, {"z"}, {500}}});
    port = router->MakePort();
  }

  void Stop(int count = 1) {
    for (int i = 0; i < count; ++i) {
      port.stop({{"i-1"}, {1}, {"127.0.0.1", 2}, {"z"}, core::Epoch{3}},
                {{"job"}, {0, 0, 0}, 1},
                [this](CallOutcome outcome) { outcomes.push_back(outcome); });
    }
  }

  bool RunUntil(const std::function<bool()>& condition) {
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition() && std::chrono::steady_clock::now() < end) {
      loop.restart();
      loop.run_one_for(std::chrono::milliseconds(20));
    }
    return condition();
  }

  asio::io_context loop;
  prometheus::Registry registry;
  NodeMetrics node_metrics;
  int by_agent = 0;
  int by_holder = 0;
  bool mute = false;
  std::vector<std::function<void(CallOutcome)>> held;
  std::vector<CallOutcome> outcomes;
  std::shared_ptr<HostAgent> agent;
  std::unique_ptr<peer::Server> server;
  std::shared_ptr<HostRouter> router;
  HostPort port;
};

TEST(HostRouterTest, AnotherNodeCallsTheHostsOfALargeFleet) {
  World world;
  world.Stop(3);
  ASSERT_TRUE(world.RunUntil([&] { return world.held.size() == 3; }));
  world.held[1](CallOutcome::kDone);
  ASSERT_TRUE(world.RunUntil([&] { return world.outcomes.size() == 1; }));
  // Longer than an exchange stays open: the next one has to carry the rest.
  const auto later =
      std::chrono::steady_clock::now() + kMaxExchangeTime + core::Millis(200);
  world.RunUntil([&] { return std::chrono::steady_clock::now() >= later; });
  world.held[0](CallOutcome::kRefused);
  world.held[2](CallOutcome::kFenced);
  ASSERT_TRUE(world.RunUntil([&] { return world.outcomes.size() == 3; }));
  EXPECT_EQ(world.outcomes[0], CallOutcome::kDone);
  EXPECT_EQ(world.outcomes[1], CallOutcome::kRefused);
  EXPECT_EQ(world.outcomes[2], CallOutcome::kFenced);
  EXPECT_EQ(world.by_holder, 0);
}

TEST(HostRouterTest, TheHolderOfASmallFleetCallsItself) {
  World world;
  world.router->SetHosts(kMaxDirectHosts);
  world.Stop();
  EXPECT_EQ(world.by_holder, 1);
  EXPECT_EQ(world.outcomes.size(), 1U);
}

// Guards against a call that is carried out twice: one that may have reached a
// node that failed has no answer, and is not made again.
TEST(HostRouterTest, CallsThatMayHaveReachedALostNodeAreNotMadeAgain) {
  World world;
  world.Stop(2);
  ASSERT_TRUE(world.RunUntil([&] { return world.by_agent == 2; }));
  world.mute = true;
  ASSERT_TRUE(world.RunUntil([&] { return world.outcomes.size() == 2; }));
  EXPECT_EQ(world.outcomes[0], CallOutcome::kNoAnswer);
  EXPECT_EQ(world.outcomes[1], CallOutcome::kNoAnswer);
  EXPECT_EQ(world.by_holder, 0);
  EXPECT_EQ(world.by_agent, 2);
  // Later calls go another way while the node rests.
  world.Stop();
  EXPECT_EQ(world.by_holder, 1);
}

// Guards against hosts that seem silent because the node in between is gone.
TEST(HostRouterTest, CallsThatCannotHaveReachedANodeGoAnotherWay) {
  World world;
  world.server.reset();
  world.Stop(2);
  ASSERT_TRUE(world.RunUntil([&] { return world.outcomes.size() == 2; }));
  EXPECT_EQ(world.by_holder, 2);
  EXPECT_EQ(world.outcomes[0], CallOutcome::kDone);
}

// Guards against answers that are lost with a planned stop of a node.
TEST(HostRouterTest, ALeavingNodeAnswersWhatItHasTakenAndTakesNoMore) {
  World world;
  world.Stop();
  ASSERT_TRUE(world.RunUntil([&] { return world.by_agent == 1; }));
  world.agent->Leave();
  world.Stop();
  ASSERT_TRUE(world.RunUntil([&] { return world.outcomes.size() == 1; }));
  EXPECT_EQ(world.outcomes[0], CallOutcome::kDone);
  EXPECT_EQ(world.by_holder, 1);
  world.held[0](CallOutcome::kRefused);
  ASSERT_TRUE(world.RunUntil([&] { return world.outcomes.size() == 2; }));
  EXPECT_EQ(world.outcomes[1], CallOutcome::kRefused);
}

// Guards against calls that wait for ever because a node never answers them.
TEST(HostRouterTest, ACallWithoutAnAnswerEnds) {
  World world;
  world.Stop();
  ASSERT_TRUE(world.RunUntil([&] { return world.by_agent == 1; }));
  ASSERT_TRUE(world.RunUntil([&] { return world.outcomes.size() == 1; }));
  EXPECT_EQ(world.outcomes[0], CallOutcome::kNoAnswer);
}

}  // namespace
}  // namespace camphormux::coordinator
