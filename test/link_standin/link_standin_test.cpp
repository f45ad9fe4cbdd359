#include <array>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>

#include "test/link_standin/relay.hpp"

namespace camphormux::link_standin {
namespace {

using asio::ip::tcp;

constexpr const char* kTargetIp = "127.0.0.1";
constexpr const char* kRelayIp = "127.0.9.1";
constexpr std::chrono::seconds kLimit{20};
/// Time in which nothing must arrive over a cut link.
constexpr core::Millis kSilence{200};

const core::ZoneName kNorth{"north"};
const core::ZoneName kSouth{"south"};

/// Reads until the end of a connection.
struct Reader : std::enable_shared_from_this<Reader> {
  explicit Reader(tcp::socket accepted) : socket(std::move(accepted)) {}

  void Read() {
    socket.async_read_some(
        asio::buffer(part),
        [self = shared_from_this()](const asio::error_code& error,
                                    std::size_t count) {
          self->text.append(self->part.data(), count);
          self->ended = error.operator bool();
          if (!error) {
            self->Read();
          }
        });
  }

  tcp::socket socket;
  std::array<char, 256> part{};
  std::string text;
  bool ended = false;
};

/// A server in the south, the relay in front of it and callers of both zones.
struct World {
  World()
      : acceptor(loop, tcp::endpoint(asio::ip::make_address(kTargetIp), 0)) {
    const std::uint16_t port = acceptor.local_endpoint().port();
    Links links;
    links.zone_of_source = {{"127.0.9.11", kNorth}, {"127.0.9.12", kSouth}};
    links.targets = {{"server", kSouth, {kRelayIp, port}, {kTargetIp, port}}};
    relay = std::make_unique<Relay>(loop, links);
  }

  std::shared_ptr<Reader> Call(const char* source) {
    tcp::socket socket(loop);
    socket.open(tcp::v4());
    socket.bind(tcp::endpoint(asio::ip::make_address(source), 0));
    socket.connect(tcp::endpoint(asio::ip::make_address(kRelayIp),
                                 acceptor.local_endpoint().port()));
    auto reader = std::make_shared<Reader>(std::move(socket));
    reader->Read();
    return reader;
  }

  void Accept() {
    acceptor.async_accept(
        [this](const asio::error_code& error, tcp::socket socket) {
          ASSERT_FALSE(error);
          served = std::make_shared<Reader>(std::move(socket));
          served->Read();
        });
  }

  bool RunUntil(const std::function<bool()>& reached,
                core::Millis limit = kLimit) {
    const auto end = core::MonotonicNow() + limit;
    while (!reached() && core::MonotonicNow() < end) {
      loop.run_one_for(core::Millis(10));
    }
    return reached();
  }

  asio::io_context loop;
  tcp::acceptor acceptor;
  std::unique_ptr<Relay> relay;
  std::shared_ptr<Reader> served;
};

void Send(Reader& reader, const std::string& text) {
  asio::write(reader.socket, asio::buffer(text));
}

// Guards against a cut that also stops traffic within the zone, and against
// one that lets bytes across.
TEST(RelayTest, ACutStopsOtherZonesOnly) {
  World world;
  ASSERT_TRUE(world.relay->Set(kSouth, {"*"}, {LinkMode::kDrop, {}}));
  ASSERT_TRUE(world.relay->Set({"*"}, kSouth, {LinkMode::kDrop, {}}));
  world.Accept();
  const auto outside = world.Call("127.0.9.11");
  Send(*outside, "north");
  EXPECT_FALSE(
      world.RunUntil([&] { return world.served != nullptr; }, kSilence));
  EXPECT_FALSE(outside->ended) << "a cut must be silent";
  const auto inside = world.Call("127.0.9.12");
  Send(*inside, "south");
  EXPECT_TRUE(world.RunUntil(
      [&] { return world.served && world.served->text == "south"; }));
}

// Guards against a half cut that stops both directions, and against a
// connection that works again after it lost bytes.
TEST(RelayTest, AHalfCutLosesOneDirection) {
  World world;
  world.Accept();
  const auto caller = world.Call("127.0.9.11");
  ASSERT_TRUE(world.RunUntil([&] { return world.served != nullptr; }));
  ASSERT_TRUE(world.relay->Set(kSouth, kNorth, {LinkMode::kDrop, {}}));
  Send(*caller, "question");
  ASSERT_TRUE(world.RunUntil([&] { return world.served->text == "question"; }));
  Send(*world.served, "answer");
  const auto dropped = [&]() -> std::uint64_t {
    const auto& traffic = world.relay->traffic();
    const auto found = traffic.find({kSouth, kNorth});
    return found == traffic.end() ? 0 : found->second.dropped_bytes;
  };
  ASSERT_TRUE(world.RunUntil([&] { return dropped() == 6; }));
  ASSERT_TRUE(world.relay->Set(kSouth, kNorth, {}));
  Send(*world.served, "second");
  ASSERT_TRUE(world.RunUntil([&] { return dropped() == 12; }));
  EXPECT_EQ(caller->text, "");
}

// Guards against a held link that loses bytes or connections.
TEST(RelayTest, HeldBytesArriveAfterTheCut) {
  World world;
  world.Accept();
  ASSERT_TRUE(world.relay->Set(kNorth, kSouth, {LinkMode::kHold, {}}));
  const auto caller = world.Call("127.0.9.11");
  Send(*caller, "late");
  EXPECT_FALSE(
      world.RunUntil([&] { return world.served != nullptr; }, kSilence));
  ASSERT_TRUE(world.relay->Set(kNorth, kSouth, {}));
  EXPECT_TRUE(world.RunUntil(
      [&] { return world.served && world.served->text == "late"; }));
}

// Guards against requests that reach a host after the cut although their
// sender gave the connection up long before.
TEST(RelayTest, ACallerThatGaveUpReachesNobody) {
  World world;
  world.Accept();
  ASSERT_TRUE(world.relay->Set(kNorth, kSouth, {LinkMode::kDrop, {}}));
  const auto caller = world.Call("127.0.9.11");
  Send(*caller, "too late");
  caller->socket.close();
  EXPECT_FALSE(
      world.RunUntil([&] { return world.served != nullptr; }, kSilence));
  ASSERT_TRUE(world.relay->Set(kNorth, kSouth, {}));
  EXPECT_FALSE(
      world.RunUntil([&] { return world.served != nullptr; }, kSilence));
}

// Guards against a rule for a zone that does not exist, which would cut
// nothing.
TEST(RelayTest, UnknownZonesAreRefused) {
  World world;
  EXPECT_FALSE(world.relay->Set({"west"}, kSouth, {LinkMode::kDrop, {}}));
}

}  // namespace
}  // namespace camphormux::link_standin
