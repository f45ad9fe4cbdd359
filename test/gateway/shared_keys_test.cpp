#include <array>
#include <future>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <gtest/gtest.h>

#include "camphormux/gateway/key_store_bridge.hpp"
#include "camphormux/peer/server.hpp"
#include "fake_endpoint.hpp"
#include "gateway_harness.hpp"
#include "test/idempotency/simulation.hpp"

namespace camphormux::gateway {
namespace {

/// An in-memory log whose reads wait for records like long polls. Use it on the
/// control thread only.
struct SharedLog {
  explicit SharedLog(asio::io_context& event_loop) : loop(event_loop) {}

  void Read(core::LogOffset from, core::Millis wait,
            const std::function<void(log::ReadAnswer)>& done) {
    asio::post(loop, [this, from, wait, done] {
      if (reads && from.value >= records.records.size()) {
        Poll(from, wait, done);
      } else {
        Answer(from, done);
      }
    });
  }

  void Answer(core::LogOffset from,
              const std::function<void(log::ReadAnswer)>& done) const {
    if (reads) {
      done(records.Read(from, 1000));
    } else {
      done(log::ReadFailure{log::ReadError::kUnavailable, std::nullopt});
    }
  }

  void Poll(core::LogOffset from, core::Millis wait,
            const std::function<void(log::ReadAnswer)>& done) {
    const auto timer = std::make_shared<asio::steady_timer>(loop, wait);
    polls.push_back(timer);
    timer->async_wait([this, from, done, timer](const asio::error_code&) {
      std::erase(polls, timer);
      Answer(from, done);
    });
  }

  void Wake() {
    for (const auto& timer : polls) {
      timer->cancel();
    }
  }

  log::LogPort Port() {
    return {[this](const std::string&, std::string data,
                   const std::function<void(log::AppendResult)>& done) {
              asio::post(loop, [this, data = std::move(data), done]() mutable {
                records.now = core::WallNow();
                if (appends) {
                  done(records.Append(std::move(data)));
                  Wake();
                } else {
                  done(log::AppendError::kUnavailable);
                }
              });
            },
            [this](const std::string&, core::LogOffset from, std::size_t,
                   core::Millis wait,
                   const std::function<void(log::ReadAnswer)>& done) {
              Read(from, wait, done);
            }};
  }

  asio::io_context& loop;
  idempotency::simulation::Log records;
  bool appends = true;
  bool reads = true;
  std::vector<std::shared_ptr<asio::steady_timer>> polls;
};

struct GatewayInstance {
  std::unique_ptr<idempotency::KeyStore> keys;
  std::unique_ptr<peer::Server> server;
  std::unique_ptr<GatewayHarness> gateway;
};

/// Two gateways that share an endpoint, a log and a control thread.
struct SharedKeysTest : testing::Test {
  asio::io_context control;
  asio::executor_work_guard<asio::io_context::executor_type> work{
      control.get_executor()};
  SharedLog log{control};
  std::array<GatewayInstance, 2> gateways;
  FakeEndpoint endpoint{[](const std::string&, int number) {
    return FakeReply{CompleteResponse("run " + std::to_string(number))};
  }};
  std::thread thread;

  SharedKeysTest() {
    // The key stores need the timestamp of a first record to know the log's
    // clock.
    log.records.now = core::WallNow();
    log.records.Append("not a batch");
    for (std::size_t i = 0; i < gateways.size(); ++i) {
      Start(i);
    }
    thread = std::thread([this] { control.run(); });
  }

  ~SharedKeysTest() override {
    control.stop();
    thread.join();
  }

  void Start(std::size_t index) {
    GatewayInstance& instance = gateways.at(index);
    idempotency::KeyStoreOptions options;
    options.self = {{std::to_string(index)}, {1}};
    instance.keys = std::make_unique<idempotency::KeyStore>(
        control, log.Port(), options, [this](const core::ProcessId& process) {
          return std::optional<core::Address>(
              {"127.0.0.1",
               gateways.at(std::stoul(process.value)).server->port()});
        });
    instance.server = std::make_unique<peer::Server>(
        control, core::Address{"127.0.0.1", 0},
        [&instance](const peer::Request& request,
                    const peer::Respond& respond) {
          instance.keys->Handle(request, respond);
        });
    instance.keys->Start();
    instance.gateway = std::make_unique<GatewayHarness>(
        std::vector<std::uint16_t>{endpoint.port()},
        MakeKeyStoreFactory(control, *instance.keys));
  }

  void RunOnControlThread(const std::function<void()>& action) {
    std::promise<void> done;
    asio::post(control, [&] {
      action();
      done.set_value();
    });
    done.get_future().wait();
  }

  CallerResult Call(std::size_t instance, const std::string& key) {
    return gateways.at(instance).gateway->Call(
        "POST", "/venue/holds",
        {{"Idempotency-Key", key}, {"Camphormux-Timeout-Ms", "2000"}});
  }
};

std::string NewKey(std::uint8_t number) {
  return idempotency::FormatKey(
      idempotency::MakeKey(core::WallNow(), {number, 2, 3}));
}

// Guards against a second run for a key whose request another gateway ran.
TEST_F(SharedKeysTest, OtherGatewayPassesOnTheFirstAnswer) {
  const std::string key = NewKey(1);
  EXPECT_EQ(Call(0, key).body, "run 1");
  const CallerResult again = Call(1, key);
  EXPECT_EQ(again.outcome, "answered");
  EXPECT_EQ(again.body, "run 1");
  EXPECT_EQ(endpoint.requests(), 1);
}

// Guards against a second run while the gateway that ran the request is
// unreachable.
TEST_F(SharedKeysTest, KeyOfAnUnreachableGatewayIsUnknown) {
  const std::string key = NewKey(2);
  EXPECT_EQ(Call(0, key).outcome, "answered");
  RunOnControlThread([this] { gateways[0].server->Close(); });
  EXPECT_EQ(Call(1, key).outcome, "unknown");
  EXPECT_EQ(endpoint.requests(), 1);
}

// Guards against reporting `not-run`, while the log cannot be read, for a key
// whose request another gateway ran.
TEST_F(SharedKeysTest, KeyIsUnknownWhileTheLogIsDown) {
  const std::string key = NewKey(3);
  EXPECT_EQ(Call(0, key).outcome, "answered");
  RunOnControlThread([this] {
    log.appends = log.reads = false;
    log.Wake();
  });
  const CallerResult fresh = Call(1, NewKey(4));
  EXPECT_EQ(fresh.outcome, "unknown");
  EXPECT_NE(fresh.body.find("key_store_unavailable"), std::string::npos);
  EXPECT_NE(http::FindHeader(fresh.headers, "Retry-After"), nullptr);
  EXPECT_NE(Call(1, key).outcome, "not-run");
  EXPECT_EQ(endpoint.requests(), 1);
}

// Guards against running a request without a claim record in the log, and
// against losing the proof of `not-run` between the threads.
TEST_F(SharedKeysTest, ReadableLogProvesThatNothingRan) {
  RunOnControlThread([this] { log.appends = false; });
  const CallerResult result = Call(0, NewKey(5));
  EXPECT_EQ(result.status, 503);
  EXPECT_EQ(result.outcome, "not-run");
  EXPECT_EQ(endpoint.requests(), 0);
  RunOnControlThread([this] { log.appends = true; });
  EXPECT_EQ(Call(1, NewKey(6)).outcome, "answered");
}

}  // namespace
}  // namespace camphormux::gateway
