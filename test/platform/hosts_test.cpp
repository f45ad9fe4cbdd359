#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "platform/adapter.hpp"
#include "platform/store_client.hpp"
#include "test/http/scripted_server.hpp"
#include "test/platform/wait_for.hpp"

namespace camphormux::platform {
namespace {

using coordinator::AppendOutcome;
using coordinator::StartAnswer;
using scheduler::StartOutcome;

const http::ScriptedAnswer kDone{200, R"({"clockMs":1,"offset":0})"};
const http::ScriptedAnswer kClosed{0, "", true};

/// A server that answers from a script, and a client for it.
struct Harness {
  explicit Harness(std::vector<http::ScriptedAnswer> script)
      : server(loop, std::move(script)), client(loop) {}

  asio::io_context loop;
  http::ScriptedServer server;
  http::Client client;
};

// Guards against a task that runs twice: a start whose connection was reset is
// still carried out, and the refusal of a second copy does not undo it.
TEST(HostsTest, RefusalOfARepeatedStartIsNotTheAnswerToTheFirst) {
  Harness harness({kDone, kClosed, {429, ""}});
  const coordinator::HostPort port = MakeHostPort(harness.client);
  const auto start = [&] {
    coordinator::StartCall call;
    call.target.host.value = "i-1";
    call.target.address = {"127.0.0.1", harness.server.port()};
    call.name = {{"5c0e7a21d94b36f8"}, {0, 0, 1}, 1};
    return WaitFor<StartAnswer>(
               harness.loop,
               [&](auto done) { port.start(call, std::move(done)); })
        .outcome;
  };
  EXPECT_EQ(start(), StartOutcome::kStarted);
  EXPECT_EQ(start(), StartOutcome::kNoAnswer);
  EXPECT_EQ(harness.server.received(), 2U);
}

// Guards against a job that was rejected and runs: the append whose connection
// was reset may still be stored.
TEST(HostsTest, RefusalOfARepeatedAppendIsNotTheAnswerToTheFirst) {
  Harness harness({kDone, kClosed, {503, ""}});
  coordinator::PeerForwarder peer_forwarder(harness.loop, {"127.0.0.1", 1});
  StoreClient store(harness.client, peer_forwarder,
                    {"127.0.0.1", harness.server.port()});
  const coordinator::StorePort port = MakeStorePort(store);
  const auto append = [&](std::uint64_t sequence) {
    return WaitFor<AppendOutcome>(harness.loop, [&](auto done) {
      port.append({1}, sequence, {{"key", "value"}}, std::move(done));
    });
  };
  EXPECT_EQ(append(1), AppendOutcome::kStored);
  EXPECT_EQ(append(2), AppendOutcome::kUnknown);
  EXPECT_EQ(harness.server.received(), 2U);
}

/// Asks a host that answers with this body for its lists.
coordinator::RenewAnswer Renew(const std::string& body) {
  Harness harness({{200, body}});
  const coordinator::HostPort port = MakeHostPort(harness.client);
  coordinator::RenewCall call;
  call.target.host.value = "i-1";
  call.target.address = {"127.0.0.1", harness.server.port()};
  return WaitFor<coordinator::RenewAnswer>(
      harness.loop, [&](auto done) { port.renew(call, std::move(done)); });
}

// Guards against runs that count as gone because a report leaves them out.
TEST(HostsTest, ReportWithMoreEndsThanAHostListsIsPartial) {
  constexpr std::size_t kListedEnds = 500;
  std::string ends;
  for (std::size_t i = 1; i <= kListedEnds; ++i) {
    ends += (i == 1 ? "" : ",") + ("[" + std::to_string(i)) +
            R"(,"5c0e7a21d94b36f8.0.0.)" + std::to_string(i) +
            R"(",1,"done",""])";
    if (i + 1 == kListedEnds) {
      EXPECT_FALSE(
          Renew(R"({"clockMs":1,"running":[],"finished":[)" + ends + "]}")
              .is_partial);
    }
  }
  const auto full =
      Renew(R"({"clockMs":1,"running":[],"finished":[)" + ends + "]}");
  EXPECT_EQ(full.ended.size(), kListedEnds);
  EXPECT_TRUE(full.is_partial);
}

TEST(HostsTest, ReportWithAnUnreadableEntryIsPartial) {
  const std::string run = R"(["5c0e7a21d94b36f8.0.0.1",1,"",40])";
  const std::string unreadable = R"(["5c0e7a21d94b36f8.0.0.2",-1,"",40])";
  EXPECT_FALSE(Renew(R"({"clockMs":1,"running":[)" + run + "]}").is_partial);
  EXPECT_TRUE(
      Renew(R"({"clockMs":1,"running":[)" + run + "," + unreadable + "]}")
          .is_partial);
}

}  // namespace
}  // namespace camphormux::platform
