#include "camphormux/coordinator/confirmation_poll.hpp"

#include <chrono>
#include <memory>
#include <optional>
#include <vector>

#include <gtest/gtest.h>

#include "camphormux/peer/server.hpp"
#include "test/coordinator/free_port.hpp"

namespace camphormux::coordinator {
namespace {

const core::Address kAsking{"127.0.0.1", 1};
const core::Address kOther{"127.0.0.1", 2};
constexpr core::Millis kRetention{10'000};
constexpr core::MonotonicTime kNow{core::Millis(1'000'000)};

/// Nodes with the given views, and a holder at kAsking that asks them.
struct Harness {
  explicit Harness(std::vector<HolderView> nodes)
      : views(std::move(nodes)), poll(loop, kAsking, kRetention) {
    std::vector<Member> members = {{kAsking, {"z"}, {250}}};
    for (const HolderView& view : views) {
      const core::Address address{"127.0.0.1", FreePort(loop)};
      servers.push_back(std::make_unique<peer::Server>(
          loop, address,
          [&view](const peer::Request& request, const peer::Respond& respond) {
            respond(AnswerConfirmHolder(view, request));
          }));
      members.push_back({address, {"z"}, {250}});
    }
    poll.SetMembers(members, kNow);
  }

  ConfirmationPoll::Round Ask() {
    std::optional<ConfirmationPoll::Round> result;
    poll.Ask(core::Millis(5000),
             [&](const ConfirmationPoll::Round& round) { result = round; });
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!result && std::chrono::steady_clock::now() < end) {
      loop.restart();
      loop.run_one_for(std::chrono::milliseconds(20));
    }
    return result.value_or(ConfirmationPoll::Round{});
  }

  asio::io_context loop;
  std::vector<HolderView> views;
  std::vector<std::unique_ptr<peer::Server>> servers;
  ConfirmationPoll poll;
};

TEST(ConfirmationPollTest, NodesWithoutTheStoreConfirmTheHolderTheyKnow) {
  Harness harness({{false, true, kAsking}, {false, true, std::nullopt}});
  EXPECT_TRUE(harness.Ask().is_unanimous());
}

TEST(ConfirmationPollTest, ANodeThatReachesTheStoreDoesNotConfirm) {
  Harness harness({{false, true, kAsking}, {false, false, kAsking}});
  const ConfirmationPoll::Round round = harness.Ask();
  EXPECT_FALSE(round.is_unanimous());
  EXPECT_EQ(round.confirmed, 1U);
}

TEST(ConfirmationPollTest, AnotherHolderIsNotOverlooked) {
  Harness harness({{false, true, kAsking}, {true, true, std::nullopt}});
  EXPECT_FALSE(harness.Ask().is_unanimous());
  harness.views[1] = {false, true, kOther};
  EXPECT_FALSE(harness.Ask().is_unanimous());
}

// Guards against a node that is cut off with the store on its side.
TEST(ConfirmationPollTest, ANodeThatDoesNotAnswerDoesNotConfirm) {
  Harness harness({{false, true, kAsking}, {false, true, kAsking}});
  harness.servers[1]->Close();
  EXPECT_FALSE(harness.Ask().is_unanimous());
}

// Guards against a holder that confirms itself: the first list after an outage
// can name nobody else.
TEST(ConfirmationPollTest, NodesThatLeftTheListAreStillAskedForAWhile) {
  Harness harness({{false, false, kAsking}});
  const std::vector<Member> alone = {{kAsking, {"z"}, {250}}};
  harness.poll.SetMembers(alone, kNow);
  harness.poll.SetMembers(alone, kNow + kRetention - core::Millis(1));
  EXPECT_FALSE(harness.Ask().is_unanimous());
  harness.poll.SetMembers(alone, kNow + kRetention);
  EXPECT_TRUE(harness.Ask().is_unanimous());
}

TEST(ConfirmationPollTest, NothingIsConfirmedBeforeTheNodesAreKnown) {
  asio::io_context loop;
  ConfirmationPoll poll(loop, kAsking, kRetention);
  bool unanimous = true;
  poll.Ask(core::Millis(100), [&](const ConfirmationPoll::Round& round) {
    unanimous = round.is_unanimous();
  });
  loop.run();
  EXPECT_FALSE(unanimous);
}

}  // namespace
}  // namespace camphormux::coordinator
