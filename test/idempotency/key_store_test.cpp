#include "camphormux/idempotency/key_store.hpp"

#include <asio/post.hpp>
#include <gtest/gtest.h>

#include "camphormux/peer/server.hpp"
#include "test/idempotency/simulation.hpp"

namespace camphormux::idempotency {
namespace {

constexpr core::Millis kLimit = std::chrono::seconds(20);

/// A log on the event loop. Reads at the end wait for records (long polling).
struct LoopLog {
  asio::io_context& loop;
  simulation::Log log;
  bool available = true;
  std::vector<std::pair<core::LogOffset, std::function<void(log::ReadAnswer)>>>
      polls;

  void Serve() {
    log.now = core::WallNow();
    for (auto& [from, done] : std::exchange(polls, {})) {
      done(log.Read(from, 1000));
    }
  }

  log::LogPort Port() {
    return {[this](const std::string&, std::string data,
                   std::function<void(log::AppendResult)> done) {
              asio::post(loop, [this, data = std::move(data),
                                done = std::move(done)]() mutable {
                log.now = core::WallNow();
                if (!available) {
                  done(log::AppendError::kUnavailable);
                  return;
                }
                done(log.Append(std::move(data)));
                Serve();
              });
            },
            [this](const std::string&, core::LogOffset from, std::size_t,
                   core::Millis, std::function<void(log::ReadAnswer)> done) {
              asio::post(loop, [this, from, done = std::move(done)]() mutable {
                polls.emplace_back(from, std::move(done));
                if (from.value < log.records.size()) {
                  Serve();
                }
              });
            }};
  }
};

struct GatewayProcess {
  std::unique_ptr<KeyStore> store;
  std::unique_ptr<peer::Server> server;
};

/// Two gateways that share one log and use real peer connections.
struct KeyStoreTest : testing::Test {
  asio::io_context loop;
  LoopLog log{loop, {}, true, {}};
  std::map<core::ProcessId, GatewayProcess> gateways;

  KeyStoreTest() {
    log.log.Append("not a batch");
    for (const std::string name : {"a", "b"}) {
      GatewayProcess& gateway = gateways[{name}];
      gateway.server = std::make_unique<peer::Server>(
          loop, core::Address{"127.0.0.1", 0},
          [&gateway](const peer::Request& request,
                     const peer::Respond& respond) {
            gateway.store->Handle(request, respond);
          });
      KeyStoreOptions options;
      options.self = {{name}, {1}};
      gateway.store = std::make_unique<KeyStore>(
          loop, log.Port(), options,
          [this](
              const core::ProcessId& process) -> std::optional<core::Address> {
            const auto found = gateways.find(process);
            if (found == gateways.end() || !found->second.server) {
              return std::nullopt;
            }
            return core::Address{"127.0.0.1", found->second.server->port()};
          });
      gateway.store->Start();
    }
  }

  ClaimOutcome Claim(const std::string& gateway, const std::string& key,
                     core::Millis timeout = kLimit) {
    std::optional<ClaimOutcome> outcome;
    gateways.at({gateway}).store->Claim(key, {"kilns"}, timeout,
                                        [&](ClaimOutcome result) {
                                          outcome = std::move(result);
                                          loop.stop();
                                        });
    loop.restart();
    loop.run_for(2 * kLimit);
    EXPECT_TRUE(outcome.has_value());
    return outcome.value_or(ClaimOutcome{});
  }

  static std::string NewKey(std::uint8_t number) {
    return FormatKey(MakeKey(core::WallNow(), {number}));
  }
};

// Guards against a second attempt that runs again or does not get the answer of
// the first.
TEST_F(KeyStoreTest, LaterAttemptGetsTheFirstAnswer) {
  const std::string key = NewKey(1);
  EXPECT_EQ(Claim("a", key).result, ClaimResult::kRun);
  asio::post(loop, [&] {
    gateways.at({"a"}).store->Store(key, {201, {{"X", "y"}}, "fired"});
  });
  for (const std::string gateway : {"b", "a"}) {
    const ClaimOutcome outcome = Claim(gateway, key);
    ASSERT_EQ(outcome.result, ClaimResult::kAnswered) << gateway;
    EXPECT_EQ(outcome.answer->body, "fired");
  }
}

// Guards against a released key that no gateway can claim any more.
TEST_F(KeyStoreTest, ReleasedKeyRunsAtAnotherGateway) {
  const std::string key = NewKey(2);
  EXPECT_EQ(Claim("a", key).result, ClaimResult::kRun);
  asio::post(loop, [&] { gateways.at({"a"}).store->Release(key); });
  EXPECT_EQ(Claim("b", key).result, ClaimResult::kRun);
}

// Guards against an attempt that runs again because the holder crashed.
TEST_F(KeyStoreTest, KeyOfACrashedHolderIsUnknown) {
  const std::string key = NewKey(3);
  EXPECT_EQ(Claim("a", key).result, ClaimResult::kRun);
  gateways.at({"a"}).store.reset();
  gateways.at({"a"}).server.reset();
  const ClaimOutcome outcome = Claim("b", key);
  EXPECT_EQ(outcome.result, ClaimResult::kUnknown);
  EXPECT_EQ(outcome.reason, ClaimReason::kOwnerUnreachable);
}

// Guards against a run whose answer was lost and that is reported as not run.
TEST_F(KeyStoreTest, LostAnswerIsUnknown) {
  const std::string key = NewKey(4);
  EXPECT_EQ(Claim("a", key).result, ClaimResult::kRun);
  gateways.at({"a"}).store->FinishWithoutAnswer(key);
  EXPECT_EQ(Claim("b", key).reason, ClaimReason::kAnswerLost);
}

// Guards against claims that hang or run while the log is unavailable, and
// against invalid or expired keys that are accepted.
TEST_F(KeyStoreTest, RejectsKeysThatCannotBeClaimed) {
  EXPECT_EQ(Claim("a", "no-uuid").reason, ClaimReason::kInvalidKey);
  const Key old = MakeKey(core::WallNow() - 2 * kKeyLifetime, {5});
  EXPECT_EQ(Claim("a", FormatKey(old)).reason, ClaimReason::kKeyExpired);
  log.available = false;
  const ClaimOutcome outcome = Claim("a", NewKey(6), core::Millis(100));
  EXPECT_EQ(outcome.result, ClaimResult::kUnavailable);
  EXPECT_EQ(outcome.reason, ClaimReason::kStoreUnavailable);
  EXPECT_FALSE(outcome.not_run_proven);
}

}  // namespace
}  // namespace camphormux::idempotency
