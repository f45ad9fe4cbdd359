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
/// Observation time in which nothing may arrive over a cut link.
constexpr core::Millis kSilencePeriod{200};

const core::ZoneName kNorth{"north"};
const core::ZoneName kSouth{"south"};

/// Collects everything that a connection receives until it closes.
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

/// A server in zone south, the relay in front of it, and callers in both zones.
struct RelayFixture {
  RelayFixture()
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

// Dropping all traffic between a zone and the others must block every byte from
// outside and must not affect traffic within the zone.
TEST(RelayTest, ACutStopsOtherZonesOnly) {
  RelayFixture fixture;
  ASSERT_TRUE(fixture.relay->Set(kSouth, {"*"}, {LinkMode::kDrop, {}}));
  ASSERT_TRUE(fixture.relay->Set({"*"}, kSouth, {LinkMode::kDrop, {}}));
  fixture.Accept();
  const auto outside = fixture.Call("127.0.9.11");
  Send(*outside, "north");
  EXPECT_FALSE(fixture.RunUntil([&] { return fixture.served != nullptr; },
                                kSilencePeriod));
  EXPECT_FALSE(outside->ended) << "a dropped connection must stay open";
  const auto inside = fixture.Call("127.0.9.12");
  Send(*inside, "south");
  EXPECT_TRUE(fixture.RunUntil(
      [&] { return fixture.served && fixture.served->text == "south"; }));
}

// Dropping one direction must leave the other one working. A connection that
// lost bytes must not deliver later ones, even after the rule is removed.
TEST(RelayTest, AHalfCutLosesOneDirection) {
  RelayFixture fixture;
  fixture.Accept();
  const auto caller = fixture.Call("127.0.9.11");
  ASSERT_TRUE(fixture.RunUntil([&] { return fixture.served != nullptr; }));
  ASSERT_TRUE(fixture.relay->Set(kSouth, kNorth, {LinkMode::kDrop, {}}));
  Send(*caller, "question");
  ASSERT_TRUE(
      fixture.RunUntil([&] { return fixture.served->text == "question"; }));
  Send(*fixture.served, "answer");
  const auto dropped = [&]() -> std::uint64_t {
    const auto& traffic = fixture.relay->traffic();
    const auto found = traffic.find({kSouth, kNorth});
    return found == traffic.end() ? 0 : found->second.dropped_bytes;
  };
  ASSERT_TRUE(fixture.RunUntil([&] { return dropped() == 6; }));
  ASSERT_TRUE(fixture.relay->Set(kSouth, kNorth, {}));
  Send(*fixture.served, "second");
  ASSERT_TRUE(fixture.RunUntil([&] { return dropped() == 12; }));
  EXPECT_EQ(caller->text, "");
}

// Connections and bytes held by a link must arrive once it passes again.
TEST(RelayTest, HeldBytesArriveAfterTheCut) {
  RelayFixture fixture;
  fixture.Accept();
  ASSERT_TRUE(fixture.relay->Set(kNorth, kSouth, {LinkMode::kHold, {}}));
  const auto caller = fixture.Call("127.0.9.11");
  Send(*caller, "late");
  EXPECT_FALSE(fixture.RunUntil([&] { return fixture.served != nullptr; },
                                kSilencePeriod));
  ASSERT_TRUE(fixture.relay->Set(kNorth, kSouth, {}));
  EXPECT_TRUE(fixture.RunUntil(
      [&] { return fixture.served && fixture.served->text == "late"; }));
}

// A caller that closed its connection during the cut must not reach the target
// after the cut ends.
TEST(RelayTest, ACallerThatGaveUpReachesNobody) {
  RelayFixture fixture;
  fixture.Accept();
  ASSERT_TRUE(fixture.relay->Set(kNorth, kSouth, {LinkMode::kDrop, {}}));
  const auto caller = fixture.Call("127.0.9.11");
  Send(*caller, "too late");
  caller->socket.close();
  EXPECT_FALSE(fixture.RunUntil([&] { return fixture.served != nullptr; },
                                kSilencePeriod));
  ASSERT_TRUE(fixture.relay->Set(kNorth, kSouth, {}));
  EXPECT_FALSE(fixture.RunUntil([&] { return fixture.served != nullptr; },
                                kSilencePeriod));
}

// A rule for an unknown zone must be refused, because it would have no effect.
TEST(RelayTest, UnknownZonesAreRefused) {
  RelayFixture fixture;
  EXPECT_FALSE(fixture.relay->Set({"west"}, kSouth, {LinkMode::kDrop, {}}));
}

}  // namespace
}  // namespace camphormux::link_standin
