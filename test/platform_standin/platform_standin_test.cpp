// Tests the simulated platform over HTTP, with the log tailer, the appender and
// the snapshot writer as clients.
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <asio/ip/tcp.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "camphormux/log/appender.hpp"
#include "camphormux/log/http_log_port.hpp"
#include "camphormux/state/codec.hpp"
#include "camphormux/state/fold.hpp"
#include "camphormux/state/snapshot_writer.hpp"
#include "camphormux/state/tailer.hpp"
#include "service.hpp"

namespace camphormux::standin {
namespace {

constexpr core::Millis kLimit = std::chrono::seconds(30);

core::Address FreeAddress() {
  asio::io_context loop;
  asio::ip::tcp::acceptor acceptor(loop, {asio::ip::address_v4::loopback(), 0});
  return {"127.0.0.1", acceptor.local_endpoint().port()};
}

class PlatformStandinTest : public testing::Test {
 protected:
  PlatformStandinTest()
      : address_(FreeAddress()),
        service_(loop_, LogStore(LogLimits{}), OneHost(), std::nullopt, 1),
        server_(loop_, address_,
                [this](const http::ServerRequest& request,
                       const http::Respond& respond) {
                  service_.Handle(request, respond);
                }),
        client_(loop_),
        port_(log::MakeHttpLogPort(client_, address_)) {}

  static Fleet OneHost() {
    Fleet fleet;
    PlatformHost host;
    host.id = "h";
    host.zone = "a";
    fleet.hosts.emplace("h", host);
    return fleet;
  }

  bool RunUntil(const std::function<bool()>& done) {
    const auto end = core::MonotonicNow() + kLimit;
    while (!done() && core::MonotonicNow() < end) {
      loop_.restart();
      loop_.run_one_for(kLimit);
    }
    return done();
  }

  http::ClientResult Put(const std::string& path, const std::string& body) {
    http::ClientRequest request;
    request.method = "PUT";
    request.url = "http://127.0.0.1:" + std::to_string(address_.port) + path;
    request.body = body;
    std::optional<http::ClientResult> result;
    client_.Send(std::move(request),
                 [&](const http::ClientResult& answer) { result = answer; });
    EXPECT_TRUE(RunUntil([&] { return result.has_value(); }));
    return result.value_or(http::ClientFailure{});
  }

  std::unique_ptr<state::Tailer> StartTailer() {
    auto tailer = std::make_unique<state::Tailer>(
        loop_, port_, [](const state::FleetState&) {});
    tailer->Start();
    return tailer;
  }

  log::AppendResult Append(log::Appender& appender,
                           const state::Record& record) {
    std::optional<log::AppendResult> result;
    appender.Append(state::EncodeRecords({record}),
                    [&](log::AppendResult answer) { result = answer; });
    EXPECT_TRUE(RunUntil([&] { return result.has_value(); }));
    return result.value_or(log::AppendError::kNoAnswer);
  }

  asio::io_context loop_;
  core::Address address_;
  Service service_;
  http::Server server_;
  http::Client client_;
  log::LogPort port_;
};

// An append whose response is lost must be read back and not be appended a
// second time.
TEST_F(PlatformStandinTest, ReadsALostAnswerBack) {
  const auto tailer = StartTailer();
  log::Appender appender(loop_, port_, log::kStateStream);
  ASSERT_TRUE(Append(appender, state::LeaseClaim{{"a"}, {"c"}, {1}}));
  ASSERT_TRUE(Put("/control/lost", R"({"count":1})").has_value());
  const auto lost = Append(appender, state::LeaseRenew{{"a"}, {"c"}, {1}});
  ASSERT_TRUE(lost.has_value());
  EXPECT_EQ(lost.value().value, 1U);
  const auto next = Append(appender, state::LeaseRenew{{"a"}, {"c"}, {1}});
  ASSERT_TRUE(next.has_value());
  EXPECT_EQ(next.value().value, 2U);
  EXPECT_TRUE(RunUntil([&] { return tailer->state().next.value == 3; }));
  EXPECT_TRUE(tailer->ready().ready);
  EXPECT_EQ(tailer->state().skipped_records, 0U);
}

// A process that starts after the first records expired must become ready from
// a snapshot and reach the same state as the others.
TEST_F(PlatformStandinTest, StartsFromASnapshotAfterExpiry) {
  const auto tailer = StartTailer();
  log::Appender appender(loop_, port_, log::kStateStream);
  ASSERT_TRUE(Append(appender, state::LeaseClaim{{"a"}, {"c"}, {1}}));
  ASSERT_TRUE(RunUntil([&] { return tailer->state().next.value == 1; }));
  ASSERT_TRUE(Put("/control/expire", "").has_value());
  const auto early = StartTailer();
  ASSERT_TRUE(RunUntil([&] { return state::HasGap(early->follower()); }));
  EXPECT_EQ(early->ready().reason, "the log holds no complete snapshot");

  state::SnapshotWriter writer(loop_, appender, *tailer, {"c"}, {},
                               [] { return true; });
  writer.Start();
  ASSERT_TRUE(RunUntil([&] { return early->ready().ready; }));
  const auto late = StartTailer();
  ASSERT_TRUE(RunUntil([&] { return late->ready().ready; }));
  ASSERT_TRUE(
      RunUntil([&] { return tailer->state().next == late->state().next; }));
  EXPECT_EQ(state::Digest(early->state()), state::Digest(tailer->state()));
  EXPECT_EQ(state::Digest(late->state()), state::Digest(tailer->state()));
}

// The host list must contain only the hosts of the requested state and zone.
TEST_F(PlatformStandinTest, FiltersTheHostList) {
  const auto list = [this](const std::string& query) {
    http::ClientRequest request;
    request.url = "http://127.0.0.1:" + std::to_string(address_.port) +
                  "/v1/hosts?" + query;
    std::optional<http::ClientResult> result;
    client_.Send(std::move(request),
                 [&](const http::ClientResult& answer) { result = answer; });
    EXPECT_TRUE(RunUntil([&] { return result.has_value(); }));
    return result && *result ? result->value().body : "no answer";
  };
  EXPECT_EQ(list("state=leaving"), "[]");
  EXPECT_NE(list("state=live"), "[]");
  ASSERT_TRUE(Put("/control/hosts/h/leaving", R"({"on":true})").has_value());
  EXPECT_NE(list("state=leaving&zone=a"), "[]");
  EXPECT_EQ(list("state=leaving&zone=b"), "[]");
  EXPECT_EQ(list("state=live"), "[]");
}

// The delta since a version must lead to the full list; otherwise tests of the
// controller's delta reads would prove nothing.
TEST_F(PlatformStandinTest, TellsWhatChangedSinceAVersion) {
  const auto ask = [this](const std::string& query) {
    http::ClientRequest request;
    request.url = "http://127.0.0.1:" + std::to_string(address_.port) +
                  "/v1/hosts" + query;
    std::optional<http::ClientResult> result;
    client_.Send(std::move(request),
                 [&](const http::ClientResult& answer) { result = answer; });
    EXPECT_TRUE(RunUntil([&] { return result.has_value(); }));
    return result && *result ? result->value() : http::ClientResponse{};
  };
  const std::string* etag = nullptr;
  const auto first = ask("");
  etag = http::FindHeader(first.headers, "ETag");
  ASSERT_NE(etag, nullptr);
  const std::string since = "?since=" + etag->substr(1, etag->size() - 2);
  ASSERT_TRUE(Put("/control/hosts/h/leaving", R"({"on":true})").has_value());
  const auto changes = nlohmann::json::parse(ask(since).body);
  ASSERT_TRUE(changes.is_object());
  EXPECT_EQ(changes["changed"], nlohmann::json::parse(ask("").body));
  EXPECT_TRUE(changes["removed"].empty());
  EXPECT_EQ(ask("?since=unknown").body, ask("").body);
}

// An owner that has lost its lease must not change hosts: lower epochs and
// generations are refused.
TEST_F(PlatformStandinTest, RefusesOldEpochsAndGenerations) {
  const auto status = [this](const char* what, const char* body) {
    const auto answer = Put(std::string("/v1/hosts/h/") + what, body);
    return answer.has_value() ? answer.value().status : 0;
  };
  EXPECT_EQ(status("pool", R"({"pool":"p","generation":2,"epoch":3})"), 200);
  EXPECT_EQ(status("drain", R"({"generation":2,"epoch":2})"), 409);
  EXPECT_EQ(status("drain", R"({"generation":1,"epoch":3})"), 409);
  EXPECT_EQ(status("drain", R"({"generation":2,"epoch":3})"), 200);
  EXPECT_EQ(status("drain", R"({"generation":2})"), 400);
}

}  // namespace
}  // namespace camphormux::standin
