#include <asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include "camphormux/peer/server.hpp"
#include "platform/adapter.hpp"
#include "platform/store_client.hpp"
#include "test/platform/fake_store.hpp"

namespace camphormux::platform {
namespace {

using coordinator::AppendOutcome;
using coordinator::StoreRecord;

/// A port that is free now; the stand-in takes it right away.
std::uint16_t FreePort(asio::io_context& loop) {
  asio::ip::tcp::acceptor acceptor(loop,
                                   {asio::ip::make_address("127.0.0.1"), 0});
  return acceptor.local_endpoint().port();
}

struct World {
  World()
      : port_number(FreePort(loop)),
        standin(loop, port_number),
        client(loop),
        peer_forwarder(loop, {"127.0.0.1", 1}),
        store(client, peer_forwarder, {"127.0.0.1", port_number}),
        port(MakeStorePort(store)) {}

  template <typename T>
  T Wait(const std::function<void(std::function<void(T)>)>& call) {
    std::optional<T> result;
    call([&](T value) { result = std::move(value); });
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!result && std::chrono::steady_clock::now() < end) {
      loop.restart();
      loop.run_one_for(std::chrono::milliseconds(50));
    }
    EXPECT_TRUE(result);
    return result.value_or(T{});
  }

  AppendOutcome Append(std::uint64_t epoch, std::uint64_t sequence,
                       const std::vector<StoreRecord>& records) {
    return Wait<AppendOutcome>([&](auto done) {
      port.append({epoch}, sequence, records, std::move(done));
    });
  }

  AppendOutcome Fence(std::uint64_t epoch) {
    return Wait<AppendOutcome>(
        [&](auto done) { port.fence({epoch}, std::move(done)); });
  }

  std::optional<std::vector<StoreRecord>> Load() {
    return Wait<std::optional<std::vector<StoreRecord>>>(
        [&](auto done) { port.load(std::move(done)); });
  }

  asio::io_context loop;
  std::uint16_t port_number;
  FakeStore standin;
  http::Client client;
  coordinator::PeerForwarder peer_forwarder;
  StoreClient store;
  coordinator::StorePort port;
};

// Guards against an old holder whose appends are taken after a takeover.
TEST(StoreTest, AnOldEpochIsFenced) {
  World world;
  EXPECT_EQ(world.Fence(3), AppendOutcome::kStored);
  EXPECT_EQ(world.Append(3, 1, {{"j/a", "1"}}), AppendOutcome::kStored);
  EXPECT_EQ(world.Fence(4), AppendOutcome::kStored);
  EXPECT_EQ(world.Append(3, 2, {{"j/a", "2"}}), AppendOutcome::kFenced);
  EXPECT_EQ(world.standin.newest["keyed.camphormux"]["j/a"], "1");
}

// Guards against an append that is done twice after its answer was lost.
TEST(StoreTest, ARepeatedAppendIsDoneOnce) {
  World world;
  world.standin.loses_answers = true;
  EXPECT_EQ(world.Append(1, 1, {{"j/a", "1"}}), AppendOutcome::kUnknown);
  world.standin.loses_answers = false;
  EXPECT_EQ(world.Append(1, 1, {{"j/a", "1"}}), AppendOutcome::kStored);
  EXPECT_EQ(world.standin.appends, 1U);
}

// Guards against a refusal that is not true: a store that turned the append
// away has done nothing.
TEST(StoreTest, AnAppendThatIsTurnedAwayIsCertainlyNotStored) {
  World world;
  world.standin.turns_away = true;
  EXPECT_EQ(world.Append(1, 1, {{"j/a", "1"}}), AppendOutcome::kNotStored);
  EXPECT_EQ(world.standin.appends, 0U);
}

// Guards against jobs that are lost because they are on a later page.
TEST(StoreTest, AllPagesAreLoaded) {
  World world;
  std::vector<StoreRecord> records;
  records.reserve(1201);
  for (int i = 0; i < 1200; ++i) {
    records.push_back({"p/" + std::to_string(i), std::string(i % 7, '\x80')});
  }
  records.push_back({"j/a", std::nullopt});
  ASSERT_EQ(world.Append(1, 1, records), AppendOutcome::kStored);
  const auto loaded = world.Load();
  ASSERT_TRUE(loaded);
  std::size_t with_values = 0;
  for (const StoreRecord& record : *loaded) {
    with_values += record.value ? 1U : 0U;
  }
  EXPECT_GE(with_values, 1028U);  // Records without bytes drop their key.
}

// Guards against a node that can do nothing while the store turns only it
// away: another node makes its calls.
TEST(StoreTest, ANodeThatIsTurnedAwayGoesByWayOfAnother) {
  World healthy;
  peer::Server server(
      healthy.loop, {"127.0.0.1", 0},
      [&](const peer::Request& request, const peer::Respond& respond) {
        healthy.store.ServeForwarded(
            request.body, [respond](std::string result) {
              respond({peer::kStatusOk, std::move(result)});
            });
      });
  // The store as the other node does not reach it.
  const std::uint16_t closed = FreePort(healthy.loop);
  coordinator::PeerForwarder peer_forwarder(healthy.loop, {"127.0.0.1", 1});
  peer_forwarder.SetMembers({{"127.0.0.1", server.port()}});
  StoreClient store(healthy.client, peer_forwarder, {"127.0.0.1", closed});
  coordinator::StorePort port = MakeStorePort(store);
  const auto outcome = healthy.Wait<AppendOutcome>([&](auto done) {
    port.append({1}, 1, {{"j/a", "1"}}, std::move(done));
  });
  EXPECT_EQ(outcome, AppendOutcome::kStored);
  EXPECT_EQ(healthy.standin.newest["keyed.camphormux"]["j/a"], "1");
}

}  // namespace
}  // namespace camphormux::platform
