#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <gtest/gtest.h>

#include "camphormux/cbor/cbor.hpp"
#include "camphormux/peer/server.hpp"
#include "platform/adapter.hpp"
#include "platform/store_client.hpp"
#include "test/http/scripted_server.hpp"
#include "test/platform/fake_store.hpp"
#include "test/platform/wait_for.hpp"

namespace camphormux::platform {
namespace {

using coordinator::AppendOutcome;
using coordinator::StoreRecord;

/// Returns a port that is free now; the fake store binds it right after.
std::uint16_t FreePort(asio::io_context& loop) {
  asio::ip::tcp::acceptor acceptor(loop,
                                   {asio::ip::make_address("127.0.0.1"), 0});
  return acceptor.local_endpoint().port();
}

struct StoreFixture {
  StoreFixture()
      : port_number(FreePort(loop)),
        fake_store(loop, port_number),
        client(loop),
        peer_forwarder(loop, {"127.0.0.1", 1}),
        store(client, peer_forwarder, {"127.0.0.1", port_number}),
        port(MakeStorePort(store)) {}

  AppendOutcome Append(std::uint64_t epoch, std::uint64_t sequence,
                       const std::vector<StoreRecord>& records) {
    return WaitFor<AppendOutcome>(loop, [&](auto done) {
      port.append({epoch}, sequence, records, std::move(done));
    });
  }

  AppendOutcome Fence(std::uint64_t epoch) {
    return WaitFor<AppendOutcome>(
        loop, [&](auto done) { port.fence({epoch}, std::move(done)); });
  }

  std::optional<std::vector<StoreRecord>> Load() {
    return WaitFor<std::optional<std::vector<StoreRecord>>>(
        loop, [&](auto done) { port.load(std::move(done)); });
  }

  asio::io_context loop;
  std::uint16_t port_number;
  FakeStore fake_store;
  http::Client client;
  coordinator::PeerForwarder peer_forwarder;
  StoreClient store;
  coordinator::StorePort port;
};

// Guards against appends of a former holder that are stored after a takeover.
TEST(StoreTest, OldEpochIsFenced) {
  StoreFixture fixture;
  EXPECT_EQ(fixture.Fence(3), AppendOutcome::kStored);
  EXPECT_EQ(fixture.Append(3, 1, {{"j/a", "1"}}), AppendOutcome::kStored);
  EXPECT_EQ(fixture.Fence(4), AppendOutcome::kStored);
  EXPECT_EQ(fixture.Append(3, 2, {{"j/a", "2"}}), AppendOutcome::kFenced);
  EXPECT_EQ(fixture.fake_store.newest_values["keyed.camphormux"]["j/a"], "1");
}

// Guards against an append that is executed twice after its answer was lost.
TEST(StoreTest, RepeatedAppendIsExecutedOnce) {
  StoreFixture fixture;
  fixture.fake_store.drops_answers = true;
  EXPECT_EQ(fixture.Append(1, 1, {{"j/a", "1"}}), AppendOutcome::kUnknown);
  fixture.fake_store.drops_answers = false;
  EXPECT_EQ(fixture.Append(1, 1, {{"j/a", "1"}}), AppendOutcome::kStored);
  EXPECT_EQ(fixture.fake_store.executed_appends, 1U);
}

// Guards against a wrong outcome: a store that rejected the append has stored
// nothing.
TEST(StoreTest, RejectedAppendIsNotStored) {
  StoreFixture fixture;
  fixture.fake_store.rejects_requests = true;
  EXPECT_EQ(fixture.Append(1, 1, {{"j/a", "1"}}), AppendOutcome::kNotStored);
  EXPECT_EQ(fixture.fake_store.executed_appends, 0U);
}

// Guards against records that are sent again for good although the store never
// accepts them.
TEST(StoreTest, AppendWithContentThatTheStoreDoesNotAcceptIsRejected) {
  StoreFixture fixture;
  fixture.fake_store.append_status = 400;
  EXPECT_EQ(fixture.Append(1, 1, {{"j/a", "1"}}), AppendOutcome::kRejected);
}

// Guards against a job that is rejected and runs: the answer came from
// something between this node and the store, which had stored the job.
TEST(StoreTest, AppendWithAnAnswerThatTheProtocolDoesNotNameMayBeStored) {
  for (const int status : {201, 302, 404, 500, 502, 504}) {
    StoreFixture fixture;
    fixture.fake_store.append_status = status;
    EXPECT_EQ(fixture.Append(1, 1, {{"j/a", "1"}}), AppendOutcome::kUnknown)
        << status;
    EXPECT_EQ(fixture.fake_store.executed_appends, 1U);
  }
  for (const int status : {429, 503, 507}) {
    StoreFixture fixture;
    fixture.fake_store.append_status = status;
    EXPECT_EQ(fixture.Append(1, 1, {{"j/a", "1"}}), AppendOutcome::kNotStored)
        << status;
  }
}

// Guards against nodes that no other node knows because a topic has fewer
// partitions than the deployment has nodes: a holder without the store would
// not ask them whether they know another holder.
TEST(StoreTest, AllNodesAreListedThoughATopicHasFewerPartitions) {
  constexpr int kNodes = 12;
  StoreFixture fixture;
  fixture.fake_store.partitions = 5;
  std::vector<coordinator::ElectionPort> nodes;
  for (int i = 0; i < kNodes; ++i) {
    coordinator::NodeSettings settings;
    settings.peer = {"10.0.0." + std::to_string(i), 7580};
    settings.zone.value = "a";
    nodes.push_back(MakeElectionPort(fixture.store, settings));
  }
  using Members = std::optional<std::vector<coordinator::Member>>;
  std::map<int, std::size_t> listed;
  for (int round = 0; round < 6; ++round) {
    for (int i = 0; i < kNodes; ++i) {
      const auto members = WaitFor<Members>(
          fixture.loop, [&](auto done) { nodes[i].announce(std::move(done)); });
      if (members) {
        listed[i] = members->size();
      }
    }
  }
  for (int i = 0; i < kNodes; ++i) {
    EXPECT_EQ(listed[i], static_cast<std::size_t>(kNodes)) << i;
  }
}

// Guards against jobs that are lost because they are on a later page.
TEST(StoreTest, LoadsAllPages) {
  StoreFixture fixture;
  std::vector<StoreRecord> records;
  records.reserve(1201);
  for (int i = 0; i < 1200; ++i) {
    records.push_back({"p/" + std::to_string(i), std::string(i % 7, '\x80')});
  }
  records.push_back({"j/a", std::nullopt});
  ASSERT_EQ(fixture.Append(1, 1, records), AppendOutcome::kStored);
  const auto loaded = fixture.Load();
  ASSERT_TRUE(loaded);
  std::size_t with_values = 0;
  for (const StoreRecord& record : *loaded) {
    with_values += record.value ? 1U : 0U;
  }
  EXPECT_GE(with_values, 1028U);  // Records with empty values delete their key.
}

// Guards against a node that cannot work while the store rejects or does not
// answer only this node: another node sends its requests.
TEST(StoreTest, UnreachableStoreIsUsedThroughAnotherNode) {
  StoreFixture healthy;
  peer::Server server(
      healthy.loop, {"127.0.0.1", 0},
      [&](const peer::Request& request, const peer::Respond& respond) {
        healthy.store.ServeForwarded(
            request.body, [respond](std::string result) {
              respond({peer::kStatusOk, std::move(result)});
            });
      });
  // Nothing listens on this port, so this node does not reach the store.
  const std::uint16_t closed_port = FreePort(healthy.loop);
  coordinator::PeerForwarder peer_forwarder(healthy.loop, {"127.0.0.1", 1});
  peer_forwarder.SetMembers({{"127.0.0.1", server.port()}});
  StoreClient store(healthy.client, peer_forwarder, {"127.0.0.1", closed_port});
  coordinator::StorePort port = MakeStorePort(store);
  const auto outcome = WaitFor<AppendOutcome>(healthy.loop, [&](auto done) {
    port.append({1}, 1, {{"j/a", "1"}}, std::move(done));
  });
  EXPECT_EQ(outcome, AppendOutcome::kStored);
  EXPECT_EQ(healthy.fake_store.newest_values["keyed.camphormux"]["j/a"], "1");
}

// Guards against an append that counts as not stored because the answer of the
// node that sent it could not be read.
TEST(StoreTest, AppendWithAnUnreadableForwardedAnswerMayBeStored) {
  // An answer of another node that cannot be read, and one whose body cannot.
  for (const std::string& answer :
       {std::string("unreadable"),
        cbor::Serialize(nlohmann::json::array({200, 7}))}) {
    asio::io_context loop;
    peer::Server server(
        loop, {"127.0.0.1", 0},
        [&](const peer::Request& /*request*/, const peer::Respond& respond) {
          respond({peer::kStatusOk, answer});
        });
    http::Client client(loop);
    coordinator::PeerForwarder peer_forwarder(loop, {"127.0.0.1", 1});
    peer_forwarder.SetMembers({{"127.0.0.1", server.port()}});
    StoreClient store(client, peer_forwarder, {"127.0.0.1", FreePort(loop)});
    coordinator::StorePort port = MakeStorePort(store);
    const auto outcome = WaitFor<AppendOutcome>(loop, [&](auto done) {
      port.append({1}, 1, {{"j/a", "1"}}, std::move(done));
    });
    EXPECT_EQ(outcome, AppendOutcome::kUnknown);
  }
}

// Guards against a job that is rejected and runs: the store received an append,
// closed the kept connection and accepted no other.
TEST(StoreTest, AppendToAStoreThatClosesItsConnectionsMayBeStored) {
  asio::io_context loop;
  http::ScriptedServer fake_store(loop, {{}, {0, "", true, true}});
  http::Client client(loop);
  coordinator::PeerForwarder peer_forwarder(loop, {"127.0.0.1", 1});
  StoreClient store(client, peer_forwarder, {"127.0.0.1", fake_store.port()});
  coordinator::StorePort port = MakeStorePort(store);
  const auto append = [&](std::uint64_t sequence) {
    return WaitFor<AppendOutcome>(loop, [&](auto done) {
      port.append({1}, sequence, {{"j/a", "1"}}, std::move(done));
    });
  };
  EXPECT_EQ(append(1), AppendOutcome::kStored);
  EXPECT_EQ(append(2), AppendOutcome::kUnknown);
  EXPECT_EQ(fake_store.received(), 2U);
}

/// A node that receives forwarded requests but does not run, so that it carries
/// them out only when the test continues it.
class StoppedNode {
 public:
  explicit StoppedNode(asio::io_context& loop)
      : server_(loop, {"127.0.0.1", 0},
                [this](const peer::Request& request,
                       const peer::Respond& /*respond*/) {
                  requests_.push_back(request.body);
                }) {}

  [[nodiscard]] std::uint16_t port() const { return server_.port(); }

  /// Carries out the received requests.
  /// @return Number of requests.
  std::size_t Continue(asio::io_context& loop, StoreClient& store) {
    for (const std::string& request : requests_) {
      WaitFor<std::string>(loop, [&](auto done) {
        store.ServeForwarded(request, std::move(done));
      });
    }
    return requests_.size();
  }

 private:
  std::vector<std::string> requests_;
  peer::Server server_;
};

// Guards against a wave that stays "running" for the operator although it is
// complete: a node that was stopped publishes the older state last.
TEST(StoreTest, OlderStateOfAWaveDoesNotReplaceItsCompletion) {
  StoreFixture fixture;
  StoppedNode stopped(fixture.loop);
  // Nothing listens on this port, so this node does not reach the store.
  coordinator::PeerForwarder peer_forwarder(fixture.loop, {"127.0.0.1", 1});
  peer_forwarder.SetMembers({{"127.0.0.1", stopped.port()}});
  StoreClient cut_off(fixture.client, peer_forwarder,
                      {"127.0.0.1", FreePort(fixture.loop)});
  coordinator::StorePort cut_off_port = MakeStorePort(cut_off);
  const scheduler::WaveId wave{7};
  EXPECT_FALSE(WaitFor<bool>(fixture.loop, [&](auto done) {
    cut_off_port.publish_wave(wave, false, std::move(done));
  }));
  EXPECT_TRUE(WaitFor<bool>(fixture.loop, [&](auto done) {
    fixture.port.publish_wave(wave, true, std::move(done));
  }));
  ASSERT_EQ(stopped.Continue(fixture.loop, fixture.store), 1U);
  EXPECT_EQ(fixture.fake_store.newest_values["keyed.status"]["wave/7"],
            R"({"state":"succeeded"})");
}

// Guards against an ownership that the store takes from a holder that counts it
// as confirmed: a node that was stopped carries out the withdrawal of an
// earlier candidacy.
TEST(StoreTest, WithdrawalOfAnEarlierCandidacyDoesNotEndTheOwnership) {
  StoreFixture fixture;
  StoppedNode stopped(fixture.loop);
  fixture.peer_forwarder.SetMembers({{"127.0.0.1", stopped.port()}});
  const coordinator::NodeSettings settings;
  coordinator::ElectionPort election =
      MakeElectionPort(fixture.store, settings);
  const auto join = [&] {
    return WaitFor<std::optional<coordinator::MembershipAnswer>>(
        fixture.loop, [&](auto done) { election.join(std::move(done)); });
  };
  ASSERT_TRUE(join());
  fixture.fake_store.rejects_requests = true;
  WaitFor<bool>(fixture.loop,
                [&](auto done) { election.leave([done] { done(true); }); });
  fixture.fake_store.rejects_requests = false;
  // The membership's time to live ends, and the node is a candidate again.
  fixture.fake_store.EndMemberships();
  fixture.peer_forwarder.SetMembers({});
  const auto answer = join();
  ASSERT_TRUE(answer);
  ASSERT_TRUE(answer->holder);
  ASSERT_EQ(stopped.Continue(fixture.loop, fixture.store), 1U);
  const auto ownership = WaitFor<std::optional<coordinator::Ownership>>(
      fixture.loop, [&](auto done) { election.find_holder(std::move(done)); });
  ASSERT_TRUE(ownership);
  EXPECT_TRUE(ownership->is_self);
}

// Guards against a node that takes the ownership from a holder: it was stopped
// for longer than a membership lives while the forwarded answer that there is
// no holder waited in its socket.
TEST(StoreTest, ForwardedAnswerThatIsReadAfterItsTimeoutIsNotUsed) {
  constexpr std::chrono::milliseconds kAnswerDelay{150};
  constexpr std::chrono::milliseconds kTimeToSend{80};
  constexpr std::chrono::milliseconds kStop{2000};
  const std::string no_holder = cbor::Serialize(
      nlohmann::json::array({200, cbor::Bytes(R"({"owners":[]})")}));
  asio::io_context other_loop;
  asio::steady_timer delay(other_loop);
  peer::Server server(
      other_loop, {"127.0.0.1", 0},
      [&](const peer::Request& /*request*/, const peer::Respond& respond) {
        delay.expires_after(kAnswerDelay);
        delay.async_wait([&no_holder, respond](const asio::error_code&) {
          respond({peer::kStatusOk, no_holder});
        });
      });
  // The other node runs while this one is stopped.
  std::thread other_node([&] { other_loop.run_for(kStop * 2); });
  std::optional<std::optional<coordinator::Ownership>> found;
  {
    asio::io_context loop;
    http::Client client(loop);
    coordinator::PeerForwarder peer_forwarder(loop, {"127.0.0.1", 1});
    peer_forwarder.SetMembers({{"127.0.0.1", server.port()}});
    StoreClient store(client, peer_forwarder, {"127.0.0.1", FreePort(loop)});
    coordinator::ElectionPort election =
        MakeElectionPort(store, coordinator::NodeSettings{});
    election.find_holder(
        [&](const std::optional<coordinator::Ownership>& answer) {
          found = answer;
        });
    loop.run_for(kTimeToSend);
    std::this_thread::sleep_for(kStop);
    loop.restart();
    loop.run_for(kTimeToSend);
  }
  other_node.join();
  ASSERT_TRUE(found.has_value());
  EXPECT_FALSE(found->has_value());
}

// Guards against an ownership that is taken from its holder: a node evicts the
// previous process at its address after another node has taken over.
TEST(StoreTest, EvictionOfAPreviousProcessDoesNotEndALaterOwnership) {
  StoreFixture fixture;
  coordinator::NodeSettings settings;
  settings.peer = {"127.0.0.1", 1};
  coordinator::NodeSettings other_settings;
  other_settings.peer = {"127.0.0.2", 1};
  const auto join = [&](const coordinator::ElectionPort& port) {
    return WaitFor<std::optional<coordinator::MembershipAnswer>>(
        fixture.loop, [&](auto done) { port.join(std::move(done)); });
  };
  const auto find = [&](const coordinator::ElectionPort& port) {
    return WaitFor<std::optional<coordinator::Ownership>>(
        fixture.loop, [&](auto done) { port.find_holder(std::move(done)); });
  };
  const auto previous = MakeElectionPort(fixture.store, settings);
  const auto next = MakeElectionPort(fixture.store, settings);
  const auto other = MakeElectionPort(fixture.store, other_settings);
  ASSERT_TRUE(join(previous));
  auto ownership = find(next);
  ASSERT_TRUE(ownership);
  ASSERT_TRUE(ownership->is_previous_process);
  fixture.fake_store.EndMemberships();
  ASSERT_TRUE(join(other));
  WaitFor<bool>(fixture.loop, [&](auto done) {
    next.evict_previous_process([done] { done(true); });
  });
  ownership = find(other);
  ASSERT_TRUE(ownership);
  EXPECT_TRUE(ownership->is_self);
}

}  // namespace
}  // namespace camphormux::platform
