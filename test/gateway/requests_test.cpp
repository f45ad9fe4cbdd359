#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <asio/post.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "fake_endpoint.hpp"
#include "gateway_harness.hpp"

namespace camphormux::gateway {
namespace {

constexpr const char* kKey = "01890a5d-ac96-774b-bcce-b302099a8057";

FakeReply Echo(const std::string& head, int /*number*/) {
  return FakeReply{CompleteResponse(head.substr(0, head.find("\r\n")))};
}

std::string ErrorField(const CallerResult& result, const std::string& name) {
  return nlohmann::json::parse(result.body)["error"].value(name, "");
}

// Guards against requests and responses that are altered by the gateway.
TEST(RequestTest, ForwardsTheRequestWithoutTheServiceName) {
  FakeEndpoint endpoint(&Echo);
  GatewayHarness gateway({endpoint.port()});
  const CallerResult result =
      gateway.Call("PUT", "/venue/b%20c?d=1&e", {}, "body");
  EXPECT_EQ(result.body, "PUT /b%20c?d=1&e HTTP/1.1");
  EXPECT_EQ(result.outcome, "answered");
  EXPECT_NE(http::FindHeader(result.headers, "Camphormux-Request-Id"), nullptr);
}

// Guards against invalid requests that reach an endpoint or get an error
// without the invalid field.
TEST(RequestTest, RejectsBadRequestsAndNamesTheField) {
  FakeEndpoint endpoint(&Echo);
  GatewayHarness gateway({endpoint.port()});
  const auto expect = [&](const CallerResult& result, int status,
                          const std::string& field) {
    EXPECT_EQ(result.status, status);
    EXPECT_EQ(result.outcome, "not-run");
    EXPECT_EQ(ErrorField(result, "field"), field);
  };
  const std::string path = "/venue/x";
  expect(gateway.Call("GET", path, {{"Camphormux-Timeout-Ms", "soon"}}), 400,
         "Camphormux-Timeout-Ms");
  expect(gateway.Call("GET", path, {{"Camphormux-Priority", "high"}}), 400,
         "Camphormux-Priority");
  expect(gateway.Call("GET", path, {{"Idempotency-Key", "1"}}), 400,
         "Idempotency-Key");
  expect(gateway.Call("GET", path, {{"traceparent", "1"}}), 400, "traceparent");
  expect(gateway.Call("GET", "/"), 400, "target");
  expect(gateway.Call("GET", "/nosuch/x"), 404, "target");
  expect(gateway.Call("POST", path, {}, std::string(100'000, 'b')), 413,
         "body");
  expect(gateway.Call("GET", path, {{"X-Long", std::string(10'000, 'h')}}), 431,
         "headers");
  EXPECT_EQ(endpoint.requests(), 0);
}

// Guards against sending a request whose idempotency key was not claimed, and
// against `not-run` without proof: another gateway may have run a request with
// the key.
TEST(RequestTest, UnprovenClaimIsUnknownAndNotSent) {
  FakeEndpoint endpoint(&Echo);
  GatewayHarness gateway({endpoint.port()});
  const CallerResult result =
      gateway.Call("POST", "/venue/holds", {{"Idempotency-Key", kKey}});
  EXPECT_EQ(result.outcome, "unknown");
  EXPECT_NE(http::FindHeader(result.headers, "Retry-After"), nullptr);
  EXPECT_EQ(ErrorField(result, "code"), "key_store_unavailable");
  EXPECT_EQ(endpoint.requests(), 0);
}

/// An in-memory key store that counts releases.
struct FakeKeys {
  std::map<std::string, StoredResponse> claimed;
  int releases = 0;

  KeyStorePort Port(asio::io_context& loop) {
    return {[this, &loop](const core::RequestKey& key, const core::ServiceName&,
                          core::Millis,
                          const std::function<void(ClaimResult)>& done) {
              const auto [found, first] = claimed.try_emplace(key.value);
              ClaimResult result{ClaimStatus::kFirst, false, {}};
              if (!first) {
                result = {found->second.status == 0 ? ClaimStatus::kUnknown
                                                    : ClaimStatus::kAnswered,
                          false, found->second};
              }
              asio::post(loop, [done, result] { done(result); });
            },
            [this](const core::RequestKey& key) {
              ++releases;
              claimed.erase(key.value);
            },
            [this](const core::RequestKey& key, const StoredResponse& answer) {
              claimed[key.value] = answer;
            },
            [](const core::RequestKey&) {}};
  }
};

// Guards against a second run for the same key, and against losing the first
// response.
TEST(RequestTest, RepeatedKeyGetsTheFirstAnswer) {
  FakeKeys keys;
  FakeEndpoint endpoint([](const std::string&, int number) {
    return FakeReply{CompleteResponse("run " + std::to_string(number))};
  });
  GatewayHarness gateway({endpoint.port()}, [&](asio::io_context& loop) {
    return keys.Port(loop);
  });
  for (int i = 0; i < 3; ++i) {
    const CallerResult result =
        gateway.Call("POST", "/venue/holds", {{"Idempotency-Key", kKey}});
    EXPECT_EQ(result.outcome, "answered");
    EXPECT_EQ(result.body, "run 1");
  }
  EXPECT_EQ(endpoint.requests(), 1);
}

// Guards against a key that stays claimed although its request did not run.
TEST(RequestTest, RefusedRequestReleasesItsKey) {
  FakeKeys keys;
  FakeEndpoint endpoint([](const std::string&, int number) {
    return number == 1
               ? FakeReply{CompleteResponse("", "503 Service Unavailable",
                                            "Camphormux-Refused: slots\r\n")}
               : FakeReply{CompleteResponse("ran")};
  });
  GatewayHarness gateway({endpoint.port()}, [&](asio::io_context& loop) {
    return keys.Port(loop);
  });
  const http::Headers headers{{"Idempotency-Key", kKey}};
  EXPECT_EQ(gateway.Call("POST", "/venue/holds", headers).outcome, "not-run");
  EXPECT_EQ(gateway.Call("POST", "/venue/holds", headers).body, "ran");
  EXPECT_EQ(keys.releases, 1);
}

// Guards against requests that wait past their deadline or are lost in the
// queue, and against more requests at an endpoint than its limit.
TEST(RequestTest, EachRequestOfABurstGetsOneOutcome) {
  constexpr int kCallers = 16;
  FakeEndpoint endpoint([](const std::string&, int) {
    return FakeReply{CompleteResponse("ok"), false, core::Millis(50)};
  });
  GatewayHarness gateway({endpoint.port()});
  std::vector<CallerResult> results(kCallers);
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (CallerResult& result : results) {
    callers.emplace_back([&gateway, &result] {
      result = gateway.Call("POST", "/venue/holds",
                            {{"Camphormux-Timeout-Ms", "20000"}});
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  std::set<std::string> ids;
  for (const CallerResult& result : results) {
    EXPECT_EQ(result.outcome, "answered");
    ids.insert(*http::FindHeader(result.headers, "Camphormux-Request-Id"));
  }
  EXPECT_EQ(ids.size(), kCallers);
  EXPECT_EQ(endpoint.requests(), kCallers);
}

}  // namespace
}  // namespace camphormux::gateway
