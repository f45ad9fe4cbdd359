#include "camphormux/membership/node.hpp"

#include <gtest/gtest.h>

#include "camphormux/peer/server.hpp"

namespace camphormux::membership {
namespace {

struct Running {
  std::unique_ptr<Node> node;
  std::unique_ptr<peer::Server> server;
};

Running StartNode(asio::io_context& loop, const std::string& name,
                  std::vector<core::Address> seeds,
                  std::function<void(const Transition&)> on_transition,
                  core::Millis interval = core::Millis(20)) {
  Running running;
  auto node = std::make_shared<Node*>(nullptr);
  running.server = std::make_unique<peer::Server>(
      loop, core::Address{"127.0.0.1", 0},
      [node](const peer::Request& request, const peer::Respond& respond) {
        (*node)->Handle(request, respond);
      });
  Config config;
  config.interval = interval;
  const Identity self{{name},
                      state::ProcessRole::kGateway,
                      {"north"},
                      {"127.0.0.1", running.server->port()},
                      {1}};
  running.node = std::make_unique<Node>(
      loop, MakeView(self, std::move(seeds), config, core::MonotonicNow()),
      std::move(on_transition));
  *node = running.node.get();
  running.node->Start();
  return running;
}

// Guards against heartbeats that do not arrive over real connections, and
// against a stopped process that stays alive.
TEST(NodeTest, FindsAPeerAndItsDeathOverConnections) {
  asio::io_context loop;
  bool dead = false;
  const auto watch = [&](const Transition& transition) {
    if (transition.after == Health::kDead) {
      dead = true;
      loop.stop();
    }
  };
  Running first = StartNode(loop, "a", {}, watch);
  const core::Address seed = first.node->view().self.address;
  Running second = StartNode(loop, "b", {seed}, nullptr);
  second.node->SetReport({5}, 6, "demand");
  const auto heard = [&] {
    const auto& members = first.node->view().members;
    return members.contains({"b"}) &&
           members.at({"b"}).report.payload == "demand" &&
           second.node->view().members.contains({"a"});
  };
  for (int i = 0; i < 20'000 && !heard(); ++i) {
    loop.run_one_for(std::chrono::milliseconds(10));
  }
  ASSERT_TRUE(heard());
  second.node.reset();
  second.server.reset();
  loop.run_for(std::chrono::seconds(30));
  EXPECT_TRUE(dead);
}

// Guards against a direct report that waits for the next round, or that the
// receiver drops as old.
TEST(NodeTest, TellsAReportBetweenRounds) {
  asio::io_context loop;
  const core::Millis interval = std::chrono::hours(1);
  Running first = StartNode(loop, "a", {}, nullptr, interval);
  const core::Address seed = first.node->view().self.address;
  Running second = StartNode(loop, "b", {seed}, nullptr, interval);
  const auto run_until = [&loop](const auto& done) {
    for (int i = 0; i < 20'000 && !done(); ++i) {
      loop.run_one_for(std::chrono::milliseconds(10));
    }
    return done();
  };
  ASSERT_TRUE(run_until([&] {
    return first.node->view().members.contains({"b"}) &&
           second.node->view().members.contains({"a"});
  }));
  for (const std::uint64_t offset : {7U, 8U}) {
    second.node->SetReport({offset}, 1, "");
    second.node->Tell({{"a"}, {"unknown"}});
    EXPECT_TRUE(run_until([&] {
      return first.node->view().members.at({"b"}).report.applied.value ==
             offset;
    }));
  }
}

}  // namespace
}  // namespace camphormux::membership
