// Runs jobs with controllers against the platform stand-in over HTTP.
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <asio/ip/tcp.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "camphormux/controller/app.hpp"
#include "camphormux/http/client.hpp"
#include "camphormux/jobs/codec.hpp"
#include "camphormux/log/appender.hpp"
#include "camphormux/log/http_log_port.hpp"
#include "camphormux/state/codec.hpp"
#include "test/controller/fake_fleet.hpp"
#include "test/platform_standin/service.hpp"

namespace camphormux::controller {
namespace {

constexpr core::Millis kLimit = std::chrono::seconds(60);

core::Address FreeAddress() {
  asio::io_context loop;
  asio::ip::tcp::acceptor acceptor(loop, {asio::ip::address_v4::loopback(), 0});
  return {"127.0.0.1", acceptor.local_endpoint().port()};
}

standin::Fleet MakeFleet() {
  standin::Fleet fleet;
  for (int i = 0; i < 6; ++i) {
    standin::PlatformHost host;
    host.id = "h" + std::to_string(i);
    host.zone = kZone.value;
    host.rack = "r" + std::to_string(i / 2);
    host.address = {"127.0.0.1", 9};
    host.cores = 8;
    host.memory_mib = 16384;
    fleet.hosts.emplace(host.id, host);
  }
  return fleet;
}

class JobAppTest : public testing::Test {
 protected:
  JobAppTest()
      : address_(FreeAddress()),
        service_(loop_, standin::LogStore(standin::LogLimits{}), MakeFleet(),
                 std::nullopt, 1),
        server_(loop_, address_,
                [this](const http::ServerRequest& request,
                       const http::Respond& respond) {
                  service_.Handle(request, respond);
                }),
        client_(loop_),
        port_(log::MakeHttpLogPort(client_, address_)) {
    const std::string text =
        MakeOperatorText(1) + "[team paint]\ncores = 32\nmemory_mib = 65536\n";
    Append(log::kStateStream,
           state::EncodeRecords({MakePublish("1", {}, text)}));
  }

  bool RunUntil(const std::function<bool()>& done) {
    const auto end = core::MonotonicNow() + kLimit;
    while (!done() && core::MonotonicNow() < end) {
      loop_.restart();
      loop_.run_one_for(kLimit);
    }
    return done();
  }

  void Append(const char* stream, const std::string& entry) {
    log::Appender appender(loop_, port_, stream);
    bool done = false;
    appender.Append(entry, [&](const log::AppendResult&) { done = true; });
    EXPECT_TRUE(RunUntil([&] { return done; }));
  }

  void Submit(const std::string& id, bool repeatable) {
    jobs::Submit submit;
    submit.spec.id = {id};
    submit.spec.team = {"paint"};
    submit.spec.kind = "k";
    submit.spec.preemptible = repeatable;
    submit.spec.repeatable = repeatable;
    submit.spec.declared = {{1000}, {256}, {0}};
    submit.spec.pool = {"spare"};
    Append(log::kJobStream, jobs::EncodeRecords({submit}));
  }

  std::unique_ptr<App> StartApp(const std::string& process) {
    settings_.process = {process};
    settings_.zone = kZone;
    settings_.admin = FreeAddress();
    settings_.peer = FreeAddress();
    settings_.platform = address_;
    auto app = std::make_unique<App>(loop_, settings_);
    app->Start();
    return app;
  }

  http::ClientResponse Send(const std::string& method,
                            const core::Address& address,
                            const std::string& path,
                            const std::string& body = "") {
    http::ClientRequest request;
    request.method = method;
    request.url = "http://127.0.0.1:" + std::to_string(address.port) + path;
    request.body = body;
    request.timeout = kLimit;
    std::optional<http::ClientResult> result;
    client_.Send(std::move(request),
                 [&](const http::ClientResult& answer) { result = answer; });
    EXPECT_TRUE(RunUntil([&] { return result.has_value(); }));
    return result && result->has_value() ? result->value()
                                         : http::ClientResponse{};
  }

  int CountRuns(const std::string& job, const char* what) {
    const auto runs = nlohmann::json::parse(
        Send("GET", address_, "/control/runs").body, nullptr, false);
    return runs.contains(job) ? runs[job][what].get<int>() : 0;
  }

  std::string Explain(const std::string& job) {
    return Send("GET", settings_.admin, "/explain/job/" + job + "?output=text")
        .body;
  }

  asio::io_context loop_;
  core::Address address_;
  standin::Service service_;
  http::Server server_;
  http::Client client_;
  log::LogPort port_;
  Settings settings_;
};

// Guards against a submitted job that never runs. Covers the path from the
// submission on the log to a task on a worker, its end on the log and the
// explanation.
TEST_F(JobAppTest, RunsASubmittedJobToItsEnd) {
  (void)Send("PUT", address_, "/control/run_time", R"({"run_ms":500})");
  const auto app = StartApp("c1");
  Submit("easel", true);
  EXPECT_TRUE(RunUntil([&] {
    return Explain("easel").find("job easel: finished") != std::string::npos;
  })) << Explain("easel")
      << Send("GET", settings_.admin, "/status?output=text").body;
  EXPECT_EQ(CountRuns("easel", "starts"), 1);
  EXPECT_EQ(CountRuns("easel", "done"), 1);
}

// Guards against a second run of a job that must not run twice, when its lease
// holder ends and the next one finds the job running or just finished.
TEST_F(JobAppTest, NextHolderTakesOverRunningJobs) {
  (void)Send("PUT", address_, "/control/jobs/once", R"({"run_ms":12000})");
  (void)Send("PUT", address_, "/control/jobs/twice", R"({"run_ms":12000})");
  auto first = StartApp("c1");
  Submit("once", false);
  Submit("twice", true);
  ASSERT_TRUE(RunUntil([&] {
    return CountRuns("once", "starts") == 1 &&
           CountRuns("twice", "starts") == 1;
  }));
  first.reset();
  const auto second = StartApp("c2");
  EXPECT_TRUE(RunUntil([&] {
    return Explain("once").find("job once: finished") != std::string::npos &&
           Explain("twice").find("job twice: finished") != std::string::npos;
  })) << Explain("once")
      << Explain("twice");
  EXPECT_EQ(CountRuns("once", "starts"), 1);
  EXPECT_EQ(CountRuns("twice", "starts"), 1);
}

}  // namespace
}  // namespace camphormux::controller
