#include "camphormux/gateway/leaving_hosts_poller.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <prometheus/text_serializer.h>

#include "camphormux/http/server.hpp"
#include "gateway_harness.hpp"

namespace camphormux::gateway {
namespace {

/// Answer of the fake platform to one read.
struct ListAnswer {
  int status = 200;
  std::string body;
};

/// Runs a fake platform and a poller on one event loop. The platform gives the
/// answers in order and then repeats the last one.
class LeavingHostsPollerTest : public ::testing::Test {
 protected:
  LeavingHostsPollerTest() {
    for (int i = 0; i < 10; ++i) {
      state::Host& host = state_.hosts[{"h" + std::to_string(i)}];
      host.zone = {"a"};
      host.phase = state::HostPhase::kAdmitted;
    }
  }

  /// Runs until the platform gave all `answers` and the poller handled them.
  void ReadAll(std::vector<ListAnswer> answers) {
    const std::uint16_t port = FreePort();
    std::size_t given = 0;
    http::Server platform(
        loop_, {"127.0.0.1", port},
        [&](const http::ServerRequest& request, const http::Respond& respond) {
          paths_.push_back(request.path + "?" + request.query.at("state"));
          const std::size_t index = std::min(given, answers.size() - 1);
          ++given;
          http::ServerResponse response;
          response.status = answers[index].status;
          response.body = answers[index].body;
          respond(std::move(response));
          if (given > answers.size()) {
            loop_.stop();
          }
        });
    http::Client client(loop_);
    LeavingHostsPoller poller(
        loop_, client, {"127.0.0.1", port}, registry_,
        {[this]() -> const state::FleetState& { return state_; },
         [this](std::shared_ptr<const routing::LeavingHosts> hosts) {
           published_.push_back(std::move(hosts));
         }},
        core::SeededRandom(20261204));
    poller.Start();
    loop_.run_for(kTestLimit);
    EXPECT_GT(given, answers.size()) << "the poller stopped reading";
    platform.Close();
  }

  [[nodiscard]] bool HasMetric(const std::string& line) const {
    const std::string text =
        prometheus::TextSerializer().Serialize(registry_.Collect());
    return text.find(line + "\n") != std::string::npos;
  }

  asio::io_context loop_;
  prometheus::Registry registry_;
  state::FleetState state_;
  std::vector<std::string> paths_;
  std::vector<std::shared_ptr<const routing::LeavingHosts>> published_;
};

// Guards against reading the list of all hosts instead of the leaving ones, and
// against not publishing the leaving hosts.
TEST_F(LeavingHostsPollerTest, PassesOnTheLeavingHosts) {
  ReadAll({{200, R"([{"id":"h1","state":"leaving"}])"}});
  ASSERT_FALSE(published_.empty());
  EXPECT_EQ(published_[0]->trusted, std::set<core::HostId>{{"h1"}});
  EXPECT_EQ(paths_[0], "/v1/hosts?leaving");
  EXPECT_TRUE(HasMetric("camphormux_gateway_leaving_hosts 1"));
}

// Guards against a leaving host that gets requests again because the platform
// answered with an error or with malformed data.
TEST_F(LeavingHostsPollerTest, KeepsTheLastListWhenAReadFails) {
  ReadAll({{200, R"([{"id":"h1","state":"leaving"}])"},
           {503, ""},
           {200, "not a list"}});
  ASSERT_EQ(published_.size(), 1U);
  EXPECT_TRUE(HasMetric("camphormux_gateway_leaving_hosts 1"));
  EXPECT_TRUE(HasMetric("camphormux_gateway_host_list_failures_total 2"));
}

// Guards against a faulty list that takes most hosts of a zone out of service
// at once.
TEST_F(LeavingHostsPollerTest, DoubtsAListThatNamesMostOfAZone) {
  ReadAll(
      {{200,
        R"([{"id":"h1","state":"leaving"},{"id":"h2","state":"leaving"},)"
        R"({"id":"h3","state":"leaving"},{"id":"h4","state":"leaving"}])"}});
  ASSERT_FALSE(published_.empty());
  EXPECT_TRUE(published_[0]->trusted.empty());
  EXPECT_EQ(published_[0]->doubted.size(), 4U);
  EXPECT_TRUE(HasMetric("camphormux_gateway_doubted_leaving_hosts 4"));
}

}  // namespace
}  // namespace camphormux::gateway
