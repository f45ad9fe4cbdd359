#include "camphormux/coordinator/host_router.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <gtest/gtest.h>

#include "camphormux/coordinator/agent_choice.hpp"
#include "camphormux/coordinator/host_agent.hpp"
#include "camphormux/peer/server.hpp"
#include "camphormux/scheduler/hosts.hpp"

namespace camphormux::coordinator {
namespace {

/// A holder's router and one other node (agent) that calls hosts.
struct Harness {
  Harness() : node_metrics(RegisterNodeMetrics(registry)) {
    HostPort agent_port;
    agent_port.stop = [this](const HostTarget& target,
                             const scheduler::RunName&,
                             std::function<void(CallOutcome)> done) {
      ++agent_calls;
      agent_tokens.push_back(target.token);
      pending_responses.push_back(std::move(done));
    };
    agent = std::make_shared<HostAgent>(loop, agent_port);
    server = std::make_unique<peer::Server>(
        loop, core::Address{"127.0.0.1", 0},
        [this](const peer::Request& request, const peer::Respond& respond) {
          if (agent_throws) {
            agent->Serve(request, [](const peer::Response&) {});
            respond({peer::kStatusInternalError, ""});
          } else if (!agent_silent) {
            agent->Serve(request, respond);
          }
        });
    direct.stop = [this](const HostTarget&, const scheduler::RunName&,
                         const std::function<void(CallOutcome)>& done) {
      ++holder_calls;
      done(CallOutcome::kDone);
    };
    UseRouter(core::Epoch{3});
  }

  /// Replaces the router by that of another ownership of the same node.
  void UseRouter(core::Epoch epoch) {
    router = std::make_shared<HostRouter>(
        loop, direct, core::Address{"127.0.0.1", 1}, epoch, node_metrics);
    router->SetHosts(kMaxDirectHosts + 1);
    router->SetMembers({{{"127.0.0.1", 1}, {"z"}, {500}},
                        {{"127.0.0.1", server->port()}, {"z"}, {500}}});
    port = router->MakePort();
  }

  void Stop(int count = 1, core::Epoch token = core::Epoch{3}) {
    for (int i = 0; i < count; ++i) {
      port.stop({{"i-1"}, {1}, {"127.0.0.1", 2}, {"z"}, token},
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
  int agent_calls = 0;
  std::vector<core::Epoch> agent_tokens;
  int holder_calls = 0;
  bool agent_silent = false;
  bool agent_throws = false;  ///< After it has made the calls.
  std::vector<std::function<void(CallOutcome)>> pending_responses;
  std::vector<CallOutcome> outcomes;
  std::shared_ptr<HostAgent> agent;
  std::unique_ptr<peer::Server> server;
  HostPort direct;
  std::shared_ptr<HostRouter> router;
  HostPort port;
};

// Guards against a raised token that an agent does not pass on: a batch names
// one token for all its calls, also to agents of earlier versions.
TEST(HostRouterTest, AgentCallsWithTheTokenOfEachCall) {
  Harness harness;
  harness.Stop();
  harness.Stop(1, core::Epoch{5});
  harness.Stop();
  ASSERT_TRUE(harness.RunUntil([&] { return harness.agent_calls == 3; }));
  EXPECT_EQ(harness.agent_tokens, (std::vector<core::Epoch>{{3}, {3}, {5}}));
}

// Guards against starts that are late because the tokens of hosts differ: each
// exchange with an agent is followed by a pause.
TEST(HostRouterTest, CallsWithDifferentTokensAreSentTogether) {
  Harness harness;
  harness.Stop();
  ASSERT_TRUE(harness.RunUntil([&] { return harness.agent_calls == 1; }));
  constexpr int kTokens = 40;
  for (int i = 0; i < kTokens; ++i) {
    harness.Stop(1, core::Epoch{10 + static_cast<std::uint64_t>(i)});
  }
  const auto begun = std::chrono::steady_clock::now();
  ASSERT_TRUE(
      harness.RunUntil([&] { return harness.agent_calls == 1 + kTokens; }));
  EXPECT_LT(std::chrono::steady_clock::now() - begun, core::Millis(200));
}

TEST(HostRouterTest, HostsOfALargeFleetAreCalledThroughAnAgent) {
  Harness harness;
  harness.Stop(3);
  ASSERT_TRUE(
      harness.RunUntil([&] { return harness.pending_responses.size() == 3; }));
  harness.pending_responses[1](CallOutcome::kDone);
  ASSERT_TRUE(harness.RunUntil([&] { return harness.outcomes.size() == 1; }));
  // Longer than an exchange stays open: the next exchange has to return the
  // other answers.
  const auto later =
      std::chrono::steady_clock::now() + kMaxExchangeTime + core::Millis(200);
  harness.RunUntil([&] { return std::chrono::steady_clock::now() >= later; });
  harness.pending_responses[0](CallOutcome::kRefused);
  harness.pending_responses[2](CallOutcome::kFenced);
  ASSERT_TRUE(harness.RunUntil([&] { return harness.outcomes.size() == 3; }));
  EXPECT_EQ(harness.outcomes[0], CallOutcome::kDone);
  EXPECT_EQ(harness.outcomes[1], CallOutcome::kRefused);
  EXPECT_EQ(harness.outcomes[2], CallOutcome::kFenced);
  EXPECT_EQ(harness.holder_calls, 0);
}

TEST(HostRouterTest, HostsOfASmallFleetAreCalledDirectly) {
  Harness harness;
  harness.router->SetHosts(kMaxDirectHosts);
  harness.Stop();
  EXPECT_EQ(harness.holder_calls, 1);
  EXPECT_EQ(harness.outcomes.size(), 1U);
}

// Guards against a call that is carried out twice: a call that may have reached
// a failed node is reported as unanswered and not repeated.
TEST(HostRouterTest, CallsThatMayHaveReachedAFailedAgentAreNotRepeated) {
  Harness harness;
  harness.Stop(2);
  ASSERT_TRUE(harness.RunUntil([&] { return harness.agent_calls == 2; }));
  harness.agent_silent = true;
  ASSERT_TRUE(harness.RunUntil([&] { return harness.outcomes.size() == 2; }));
  EXPECT_EQ(harness.outcomes[0], CallOutcome::kNoAnswer);
  EXPECT_EQ(harness.outcomes[1], CallOutcome::kNoAnswer);
  EXPECT_EQ(harness.holder_calls, 0);
  EXPECT_EQ(harness.agent_calls, 2);
  // Later calls are sent another way while the failed node is not used.
  harness.Stop();
  EXPECT_EQ(harness.holder_calls, 1);
}

// Guards against a call that is carried out twice.
TEST(HostRouterTest, CallsToAnAgentThatThrowsAreNotRepeated) {
  Harness harness;
  harness.agent_throws = true;
  harness.Stop(2);
  ASSERT_TRUE(harness.RunUntil([&] { return harness.outcomes.size() == 2; }));
  EXPECT_EQ(harness.outcomes[0], CallOutcome::kNoAnswer);
  EXPECT_EQ(harness.outcomes[1], CallOutcome::kNoAnswer);
  EXPECT_EQ(harness.holder_calls, 0);
}

// Guards against hosts that look unresponsive because the node in between has
// failed.
TEST(HostRouterTest, CallsThatCannotHaveReachedAnAgentAreRerouted) {
  Harness harness;
  harness.server.reset();
  harness.Stop(2);
  ASSERT_TRUE(harness.RunUntil([&] { return harness.outcomes.size() == 2; }));
  EXPECT_EQ(harness.holder_calls, 2);
  EXPECT_EQ(harness.outcomes[0], CallOutcome::kDone);
}

// Guards against answers that are lost when a node is stopped as planned.
TEST(HostRouterTest, LeavingAgentAnswersAcceptedCallsAndRefusesNewOnes) {
  Harness harness;
  harness.Stop();
  ASSERT_TRUE(harness.RunUntil([&] { return harness.agent_calls == 1; }));
  harness.agent->Leave();
  harness.Stop();
  ASSERT_TRUE(harness.RunUntil([&] { return harness.outcomes.size() == 1; }));
  EXPECT_EQ(harness.outcomes[0], CallOutcome::kDone);
  EXPECT_EQ(harness.holder_calls, 1);
  harness.pending_responses[0](CallOutcome::kRefused);
  ASSERT_TRUE(harness.RunUntil([&] { return harness.outcomes.size() == 2; }));
  EXPECT_EQ(harness.outcomes[1], CallOutcome::kRefused);
}

// Guards against a call that takes longer than the wait for its lease allows,
// because it is moved from one node to the next.
TEST(HostRouterTest, MovedCallTakesNoLongerThanAnother) {
  Harness harness;
  asio::steady_timer timer(harness.loop);
  int requests = 0;
  const peer::Handler serve = [&](const peer::Request& request,
                                  const peer::Respond& respond) {
    if (++requests > 2) {
      harness.agent->Serve(request, respond);
      return;
    }
    timer.expires_after(core::Millis(900));
    timer.async_wait([respond](const asio::error_code&) {
      respond({peer::kStatusUnavailable, ""});
    });
  };
  const peer::Server first(harness.loop, {"127.0.0.1", 0}, serve);
  const peer::Server second(harness.loop, {"127.0.0.1", 0}, serve);
  const peer::Server third(harness.loop, {"127.0.0.1", 0}, serve);
  harness.router->SetMembers({{{"127.0.0.1", first.port()}, {"z"}, {500}},
                              {{"127.0.0.1", second.port()}, {"z"}, {500}},
                              {{"127.0.0.1", third.port()}, {"z"}, {500}}});
  const core::MonotonicTime called = core::MonotonicNow();
  harness.Stop();
  ASSERT_TRUE(harness.RunUntil([&] { return harness.outcomes.size() == 1; }));
  EXPECT_EQ(harness.agent_calls, 1);
  EXPECT_EQ(harness.outcomes[0], CallOutcome::kNoAnswer);
  // Calls are looked through every 100 ms.
  EXPECT_LE(core::MonotonicNow() - called,
            scheduler::kMaxCallDuration + core::Millis(150));
}

// Guards against calls that wait for ever because a node never answers them.
TEST(HostRouterTest, CallWithoutAnAnswerTimesOut) {
  Harness harness;
  harness.Stop();
  ASSERT_TRUE(harness.RunUntil([&] { return harness.agent_calls == 1; }));
  ASSERT_TRUE(harness.RunUntil([&] { return harness.outcomes.size() == 1; }));
  EXPECT_EQ(harness.outcomes[0], CallOutcome::kNoAnswer);
}

// Guards against an answer that is taken for one to a call of the same number,
// made while the node held the ownership before.
TEST(HostRouterTest, AnswersToAnEarlierOwnershipAreNotRead) {
  Harness harness;
  harness.Stop();
  ASSERT_TRUE(harness.RunUntil([&] { return harness.agent_calls == 1; }));
  harness.UseRouter(core::Epoch{4});
  harness.Stop(1, core::Epoch{4});
  ASSERT_TRUE(harness.RunUntil([&] { return harness.agent_calls == 2; }));
  harness.pending_responses[0](CallOutcome::kDone);
  harness.pending_responses[1](CallOutcome::kRefused);
  ASSERT_TRUE(harness.RunUntil([&] { return harness.outcomes.size() == 1; }));
  EXPECT_EQ(harness.outcomes[0], CallOutcome::kRefused);
}

// Guards against a call that the next process of a node takes over from the
// previous one, or an answer of one that is used for a call to the other.
TEST(HostRouterTest, NextProcessOfAnAgentTakesNoCallsOfThePreviousOne) {
  Harness harness;
  harness.Stop(2);
  ASSERT_TRUE(harness.RunUntil([&] { return harness.agent_calls == 2; }));
  const core::Address address{"127.0.0.1", harness.server->port()};
  const auto late_answers = std::move(harness.pending_responses);
  harness.pending_responses.clear();
  harness.server.reset();
  harness.agent.reset();
  HostPort next_port;
  int next_calls = 0;
  next_port.stop = [&](const HostTarget&, const scheduler::RunName&,
                       const std::function<void(CallOutcome)>& done) {
    ++next_calls;
    done(CallOutcome::kRefused);
  };
  const auto next = std::make_shared<HostAgent>(harness.loop, next_port);
  const peer::Server next_server(
      harness.loop, address,
      [&](const peer::Request& request, const peer::Respond& respond) {
        next->Serve(request, respond);
      });
  ASSERT_TRUE(harness.RunUntil([&] { return harness.outcomes.size() == 2; }));
  EXPECT_EQ(harness.outcomes,
            (std::vector<CallOutcome>{CallOutcome::kNoAnswer,
                                      CallOutcome::kNoAnswer}));
  EXPECT_EQ(next_calls, 0);
  for (const auto& answer : late_answers) {
    answer(CallOutcome::kDone);
  }
  // A failed node is used again after some time.
  ASSERT_TRUE(harness.RunUntil([&] {
    harness.Stop();
    return next_calls > 0;
  }));
  ASSERT_TRUE(harness.RunUntil(
      [&] { return harness.outcomes.back() == CallOutcome::kRefused; }));
}

}  // namespace
}  // namespace camphormux::coordinator
