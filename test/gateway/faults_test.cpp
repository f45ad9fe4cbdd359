#include <string>

#include <gtest/gtest.h>

#include "fake_endpoint.hpp"
#include "gateway_harness.hpp"

namespace camphormux::gateway {
namespace {

const http::Headers kShortTimeout{{"Camphormux-Timeout-Ms", "300"}};

std::string Refusal(const std::string& reason) {
  return CompleteResponse("", "503 Service Unavailable",
                          "Camphormux-Refused: " + reason + "\r\n");
}

struct Fault {
  std::string name;
  FakeReply reply;
  std::string outcome;
};

class FaultTest : public testing::TestWithParam<Fault> {};

// Guards against sending a non-repeatable request twice and against a wrong
// outcome of whether it ran.
TEST_P(FaultTest, SendsANonRepeatableRequestOnceAndReportsItsOutcome) {
  const Fault& fault = GetParam();
  FakeEndpoint endpoint([&](const std::string&, int) { return fault.reply; });
  GatewayHarness gateway({endpoint.port()});
  const CallerResult result =
      gateway.Call("POST", "/venue/holds", kShortTimeout, "x");
  EXPECT_EQ(result.outcome, fault.outcome);
  EXPECT_EQ(endpoint.requests(), 1);
}

// Guards against libcurl sending a request again on its own on a reused
// connection.
TEST_P(FaultTest, DoesNotResendOnAConnectionThatServedBefore) {
  const Fault& fault = GetParam();
  FakeEndpoint endpoint([&](const std::string&, int number) {
    return number == 1 ? FakeReply{CompleteResponse("first")} : fault.reply;
  });
  GatewayHarness gateway({endpoint.port()});
  EXPECT_EQ(gateway.Call("GET", "/venue/list").body, "first");
  const CallerResult result =
      gateway.Call("POST", "/venue/holds", kShortTimeout, "x");
  EXPECT_EQ(result.outcome, fault.outcome);
  EXPECT_EQ(endpoint.requests(), 2);
}

INSTANTIATE_TEST_SUITE_P(
    Faults, FaultTest,
    testing::Values(
        Fault{"Truncated",
              {"HTTP/1.1 200 OK\r\nCamphormux-Request-Id: {id}\r\n"
               "Content-Length: 10\r\n\r\nab",
               true},
              "unknown"},
        Fault{"TruncatedChunks",
              {"HTTP/1.1 200 OK\r\nCamphormux-Request-Id: {id}\r\n"
               "Transfer-Encoding: chunked\r\n\r\n5\r\nab",
               true},
              "unknown"},
        Fault{
            "EndMarkedByClose",
            {"HTTP/1.1 200 OK\r\nCamphormux-Request-Id: {id}\r\n\r\nab", true},
            "unknown"},
        Fault{"ContradictingLengths",
              {"HTTP/1.1 200 OK\r\nCamphormux-Request-Id: {id}\r\n"
               "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
               true},
              "unknown"},
        Fault{"Late",
              {CompleteResponse("late"), false, std::chrono::seconds(2)},
              "unknown"},
        Fault{"ClosedWithoutAnswer", {"", true}, "unknown"},
        Fault{"ForeignAnswer",
              {"HTTP/1.1 200 OK\r\nCamphormux-Request-Id: other\r\n"
               "Content-Length: 2\r\n\r\nab"},
              "unknown"},
        Fault{"NotHttp", {"hello\r\n\r\n", true}, "unknown"},
        Fault{"RefusedSlots", {Refusal("slots")}, "not-run"},
        Fault{"RefusedDraining", {Refusal("draining")}, "not-run"},
        Fault{"RefusedMisdirected", {Refusal("misdirected")}, "not-run"},
        Fault{"RefusedForNoKnownReason", {Refusal("mood")}, "answered"},
        Fault{"ServerError", {CompleteResponse("x", "500 Error")}, "answered"},
        Fault{"Surplus", {CompleteResponse("ok") + "surplus"}, "answered"}),
    [](const auto& info) { return info.param.name; });

// Guards against `unknown` for a request that no endpoint can have received.
TEST(GatewayFaultTest, NoListenerMeansNotRun) {
  GatewayHarness gateway({FreePort()});
  const CallerResult result = gateway.Call("POST", "/venue/holds");
  EXPECT_EQ(result.status, 503);
  EXPECT_EQ(result.outcome, "not-run");
  EXPECT_NE(http::FindHeader(result.headers, "Retry-After"), nullptr);
}

// Guards against bytes after the end of a response becoming part of a later
// response.
TEST(GatewayFaultTest, SurplusBytesReachNoCaller) {
  FakeEndpoint endpoint([](const std::string&, int number) {
    return FakeReply{CompleteResponse("answer " + std::to_string(number)) +
                     "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nsurplus"};
  });
  GatewayHarness gateway({endpoint.port()});
  for (int i = 1; i <= 3; ++i) {
    const CallerResult result = gateway.Call("GET", "/venue/list");
    EXPECT_EQ(result.outcome, "answered");
    EXPECT_EQ(result.body, "answer " + std::to_string(i));
  }
  EXPECT_EQ(endpoint.connections(), 3);
}

// Guards against a refused request that is not retried on another host, and
// against new requests to an endpoint that reported that it is draining.
TEST(GatewayFaultTest, LeavingEndpointGetsNothingNew) {
  FakeEndpoint leaving(
      [](const std::string&, int) { return FakeReply{Refusal("draining")}; });
  FakeEndpoint healthy([](const std::string&, int) {
    return FakeReply{CompleteResponse("ok")};
  });
  GatewayHarness gateway({leaving.port(), healthy.port()});
  constexpr int kCalls = 20;
  for (int i = 0; i < kCalls; ++i) {
    EXPECT_EQ(gateway.Call("POST", "/venue/holds").body, "ok");
  }
  EXPECT_LE(leaving.requests(), 1);
  EXPECT_EQ(healthy.requests(), kCalls);
}

// Guards against a repeatable request that fails after one lost response.
TEST(GatewayFaultTest, RepeatableRequestIsRetriedElsewhere) {
  FakeEndpoint disconnecting([](const std::string&, int) {
    return FakeReply{"", true};
  });
  FakeEndpoint healthy([](const std::string&, int) {
    return FakeReply{CompleteResponse("ok")};
  });
  GatewayHarness gateway({disconnecting.port(), healthy.port()});
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(gateway.Call("GET", "/venue/list").body, "ok");
  }
}

// Guards against a repeatable request that waits until its deadline for a host
// that became unreachable without a connection reset and so never answers.
TEST(GatewayFaultTest, AnUnresponsiveHostLeavesTimeForAnother) {
  FakeEndpoint unresponsive(
      [](const std::string&, int) { return FakeReply{}; });
  FakeEndpoint healthy([](const std::string&, int) {
    return FakeReply{CompleteResponse("ok")};
  });
  GatewayHarness gateway({unresponsive.port(), healthy.port()});
  constexpr int kMaxCalls = 50;
  for (int i = 0; i < kMaxCalls && unresponsive.requests() == 0; ++i) {
    EXPECT_EQ(
        gateway.Call("GET", "/venue/list", {{"Camphormux-Timeout-Ms", "3000"}})
            .body,
        "ok");
  }
  EXPECT_GT(unresponsive.requests(), 0);
}

}  // namespace
}  // namespace camphormux::gateway
