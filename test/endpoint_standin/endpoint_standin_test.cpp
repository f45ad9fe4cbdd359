#include <cstdio>
#include <filesystem>
#include <memory>
#include <string>

#include <asio/read.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "test/endpoint_standin/control.hpp"
#include "test/endpoint_standin/fleet_file.hpp"

namespace camphormux::endpoint_standin {
namespace {

constexpr auto kLimit = std::chrono::seconds(20);

std::uint16_t FreePort() {
  asio::io_context loop;
  asio::ip::tcp::acceptor acceptor(loop, {asio::ip::address_v4::loopback(), 0});
  return acceptor.local_endpoint().port();
}

struct StandinTest : testing::Test {
  StandinTest() {
    HostSpec spec;
    spec.id.value = "h1";
    spec.zone.value = "z1";
    spec.address = {"127.0.0.1", FreePort()};
    shared.reboot_time = core::Millis(1);
    fleet.emplace("h1", std::make_unique<HostServer>(shared, spec));
  }

  nlohmann::json Put(const std::string& path, const std::string& body,
                     int status = 200) {
    const auto response = HandleControl(fleet, {"PUT", path, {}, {}, body});
    EXPECT_EQ(response.status, status) << response.body;
    return nlohmann::json::parse(response.body);
  }

  /// Sends raw bytes on a new connection and returns all bytes received until
  /// it closes.
  std::string Exchange(const std::string& bytes) {
    asio::ip::tcp::socket socket(loop);
    socket.connect({asio::ip::address_v4::loopback(),
                    fleet.at("h1")->host().spec.address.port});
    asio::write(socket, asio::buffer(bytes));
    std::string answer;
    bool done = false;
    asio::async_read(
        socket, asio::dynamic_buffer(answer),
        [&done](const asio::error_code&, std::size_t) { done = true; });
    loop.restart();
    const auto end = std::chrono::steady_clock::now() + kLimit;
    while (!done && std::chrono::steady_clock::now() < end) {
      loop.run_one_for(std::chrono::milliseconds(100));
    }
    EXPECT_TRUE(done);
    return answer;
  }

  static std::string Request(const std::string& service, int generation) {
    return "GET /venue/x/id7 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
           "Camphormux-Request-Id: r1\r\nCamphormux-Service: " +
           service +
           "\r\nCamphormux-Generation: " + std::to_string(generation) +
           "\r\n\r\n";
  }

  asio::io_context loop;
  Journal journal{""};
  SharedState shared{loop, journal, core::SeededRandom(5), {}};
  Fleet fleet;
};

// Requests with another service or generation, or to a draining host, must be
// refused without a run, as a real endpoint does.
TEST_F(StandinTest, RefusesForeignGenerationsAndDrains) {
  Put("/control/hosts/h1/assignment", R"({"service":"venue","generation":2})");
  EXPECT_NE(Exchange(Request("venue", 1)).find("Refused: misdirected"),
            std::string::npos);
  EXPECT_NE(Exchange(Request("gate", 2)).find("Refused: misdirected"),
            std::string::npos);
  const std::string answer = Exchange(Request("venue", 2));
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 OK"));
  EXPECT_NE(answer.find("Camphormux-Request-Id: r1"), std::string::npos);
  EXPECT_NE(answer.find(R"("identity":"id7")"), std::string::npos);
  Put("/control/hosts/h1/drain", R"({"generation":1})", 409);
  Put("/control/hosts/h1/drain", R"({"generation":2})");
  EXPECT_NE(Exchange(Request("venue", 2)).find("Refused: draining"),
            std::string::npos);
  EXPECT_EQ(fleet.at("h1")->host().counts.runs, 1U);
}

// Each fault mode must change the bytes on the wire as its name says.
TEST_F(StandinTest, MisbehavesOnTheWire) {
  Put("/control/hosts/h1/assignment", R"({"service":"venue","generation":1})");
  const std::size_t whole = Exchange(Request("venue", 1)).size();
  Put("/control/zones/z1/fault", R"({"mode":"truncate"})");
  EXPECT_LT(Exchange(Request("venue", 1)).size(), whole);
  Put("/control/fault", R"({"mode":"surplus"})");
  EXPECT_GT(Exchange(Request("venue", 1)).size(), whole);
  Put("/control/hosts/h1/fault", R"({"mode":"close"})");
  EXPECT_EQ(Exchange(Request("venue", 1)), "");
  Put("/control/hosts/h1/fault", R"({"mode":"bent"})", 400);
  EXPECT_EQ(fleet.at("h1")->host().counts.runs, 4U);
}

// A repeated reboot request of the same maintenance must not reboot again.
TEST_F(StandinTest, RebootsOncePerMaintenance) {
  const std::string body = R"({"maintenance_id":"m1"})";
  EXPECT_EQ(Put("/control/hosts/h1/reboot", body)["rebooting"], true);
  loop.restart();
  while (fleet.at("h1")->host().rebooting) {
    loop.run_one_for(kLimit);
  }
  EXPECT_EQ(Put("/control/hosts/h1/reboot", body)["boot_id"], 2);
  EXPECT_FALSE(fleet.at("h1")->host().rebooting);
}

// Requests and connections above the limits of an endpoint must be refused.
TEST_F(StandinTest, KeepsToSlotsAndConnections) {
  Put("/control/hosts/h1/assignment", R"({"service":"venue","generation":1})");
  Host& host = fleet.at("h1")->host();
  host.running = kSlots;
  EXPECT_NE(Exchange(Request("venue", 1)).find("Refused: slots"),
            std::string::npos);
  host.connections = kMaxConnections;
  EXPECT_EQ(Exchange(Request("venue", 1)), "");
  EXPECT_EQ(host.counts.refused_connections, 1U);
  host.running = 0;
  host.connections = 0;
}

// The example host files must be readable by the stand-ins.
TEST(FleetFileTest, ReadsTheExamples) {
  for (const char* name : {"tazi", "brushwick"}) {
    const auto file = settings::ReadIniFile(std::string(EXAMPLES_DIR "/") +
                                            name + "/hosts.ini");
    ASSERT_TRUE(file.has_value()) << name;
    const auto hosts = ParseFleetFile(file.value());
    ASSERT_TRUE(hosts.has_value()) << name;
    EXPECT_EQ(hosts.value().size(), 50U);
  }
}

}  // namespace
}  // namespace camphormux::endpoint_standin
