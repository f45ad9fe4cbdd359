#include "camphormux/controller/admin.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "camphormux/controller/explain.hpp"
#include "camphormux/controller/liveness.hpp"
#include "camphormux/controller/platform_client.hpp"
#include "camphormux/controller/settings.hpp"
#include "test/controller/fake_fleet.hpp"

namespace camphormux::controller {
namespace {

/// A zone whose hosts are all admitted, as its lease holder reports it.
class AdminTest : public testing::Test {
 protected:
  AdminTest() {
    log_.Append({MakePublish("1", {}, MakeOperatorText(2))});
    controller_.Claim(log_);
    for (int i = 0; i < 40; ++i) {
      now_ += core::Millis(500);
      RunStep(controller_, log_, platform_, now_);
    }
  }

  StatusInput Input() {
    return {controller_.state,
            controller_.observed,
            last_,
            controller_.memory,
            controller_.id,
            kZone,
            {},
            now_,
            {}};
  }

  http::ServerResponse Ask(const std::string& path,
                           const std::string& output = "json") {
    http::ServerRequest request;
    request.method = "GET";
    request.path = path;
    request.query["output"] = output;
    return HandleAdminRequest(request, {Input(), metrics_, not_ready_});
  }

  FakeLog log_;
  FakePlatform platform_ = MakePlatform(4);
  FakeController controller_{{"c1"}, {}, {}, {}};
  StepResult last_;
  prometheus::Registry metrics_;
  std::optional<std::string> not_ready_;
  core::MonotonicTime now_{std::chrono::hours(1)};
};

// Guards against a status that scripts cannot parse or that omits the leases.
TEST_F(AdminTest, ShowsTheStatus) {
  const auto body = nlohmann::json::parse(Ask("/status").body);
  EXPECT_EQ(body.at("revision"), 1);
  EXPECT_EQ(body.at("deciding"), true);
  EXPECT_EQ(body.at("leases").at(0).at("holder"), "c1");
  int admitted = 0;
  for (const auto& pool : body.at("pools")) {
    admitted += pool.at("admitted").get<int>();
  }
  EXPECT_EQ(admitted, 4);
  EXPECT_NE(Ask("/status", "text").body.find("epoch 1"), std::string::npos);
}

// Guards against an explanation without a constraint, figures or a revision.
TEST_F(AdminTest, ExplainsServicesAndHosts) {
  const auto service = nlohmann::json::parse(Ask("/explain/service/web").body);
  EXPECT_EQ(service.at("constraint"), "min_hosts of the text");
  EXPECT_EQ(service.at("revision"), 1);
  EXPECT_GT(service.at("figures").size(), 6U);
  const auto host = nlohmann::json::parse(Ask("/explain/host/h0").body);
  EXPECT_EQ(host.at("constraint"), "serves its pool");
}

// Guards against an explanation that does not name the gateway that blocks a
// drain.
TEST_F(AdminTest, NamesTheGatewaysBlockingADrain) {
  state::Host& host = controller_.state.hosts.begin()->second;
  host.phase = state::HostPhase::kDraining;
  controller_.observed.gateways = {{{"slow-one"}, kZone, {}, false, {}}};
  const auto explanation = ExplainHost(Input(), host.id);
  ASSERT_TRUE(explanation.has_value());
  EXPECT_NE(explanation->constraint.find("slow-one"), std::string::npos);
}

// Guards against errors without a code, and against a process that reports
// ready before it has read the state.
TEST_F(AdminTest, AnswersErrorsWithACode) {
  const auto code = [&](const std::string& path) {
    return nlohmann::json::parse(Ask(path).body).at("code");
  };
  EXPECT_EQ(code("/explain/host/none"), "unknown_name");
  EXPECT_EQ(code("/explain/rack/r1"), "bad_kind");
  EXPECT_EQ(code("/none"), "unknown_path");
  EXPECT_EQ(Ask("/readyz").status, 200);
  not_ready_ = "the shared state is not read to the log's end";
  EXPECT_EQ(Ask("/readyz").status, 503);
}

// Guards against a zone that counts as live although nobody renews its lease.
TEST(LivenessTest, ReportsZonesWithoutRenewals) {
  state::FleetState state;
  state.leases[{"a"}] = {{"c1"}, core::Epoch{1}, core::LogOffset{5}};
  state.leases[{"b"}] = {{"c2"}, core::Epoch{1}, core::LogOffset{6}};
  ZoneLiveness liveness;
  core::MonotonicTime now{std::chrono::hours(1)};
  UpdateZoneLiveness(state, now, liveness);
  now += kZoneCutOff;
  state.leases[{"a"}].last_renewal = core::LogOffset{9};
  UpdateZoneLiveness(state, now, liveness);
  EXPECT_EQ(CutOffZones(liveness, {"a"}, now, now),
            std::vector<core::ZoneName>{{"b"}});
  EXPECT_EQ(CutOffZones(liveness, {"a"}, now - kZoneCutOff, now),
            std::vector<core::ZoneName>{{"a"}});
  // The lowest-named zone that is not cut off writes the snapshots.
  EXPECT_EQ(LowestLiveZone(liveness, {"b"}, now, now), core::ZoneName{"a"});
  now += kZoneCutOff / 2;
  state.leases[{"b"}].last_renewal = core::LogOffset{12};
  UpdateZoneLiveness(state, now, liveness);
  now += kZoneCutOff / 2;
  EXPECT_EQ(LowestLiveZone(liveness, {"b"}, now, now), core::ZoneName{"b"});
}

// Guards against drains that wait forever for a gateway that announced itself
// on the log but never sent a heartbeat.
TEST(LivenessTest, AGatewayWithoutHeartbeatsIsDead) {
  core::MonotonicTime now{std::chrono::hours(1)};
  membership::View view = membership::MakeView(
      {{"c1"}, state::ProcessRole::kController, {"a"}, {}, {1}}, {}, {}, now);
  (void)membership::Introduce(
      view,
      {{"g1"}, state::ProcessRole::kGateway, {"a"}, {"127.0.0.1", 9}, {1}},
      now);
  ASSERT_EQ(CollectGatewayViews(view, {}).size(), 1U);
  EXPECT_FALSE(CollectGatewayViews(view, {})[0].dead);
  for (int round = 0; round < 12; ++round) {
    now += view.config.interval;
    (void)membership::BeginRound(view, now);
  }
  ASSERT_EQ(CollectGatewayViews(view, {}).size(), 1U);
  EXPECT_TRUE(CollectGatewayViews(view, {})[0].dead);
  EXPECT_GT(CollectGatewayViews(view, {})[0].dead_since,
            core::MonotonicTime{std::chrono::hours(1)});
}

// Guards against malformed platform answers that are taken as valid data.
TEST(PlatformClientTest, RejectsMalformedBodies) {
  const auto hosts = ParseHostList(
      R"([{"id":"h1","zone":"a","rack":"r1","address":"127.0.0.1","port":80,
           "cores":32,"memory_mib":1024,"accelerators":1,"state":"leaving"}])");
  ASSERT_TRUE(hosts.has_value());
  EXPECT_TRUE(hosts->at({"h1"}).leaving);
  EXPECT_EQ(hosts->at({"h1"}).shape.cores.value, 32000);
  EXPECT_FALSE(ParseHostList(R"([{"id":"h1"}])").has_value());
  EXPECT_FALSE(ParseHostList("[").has_value());
  const auto report = ParseHostReport(
      R"({"pool":"","generation":3,"draining":true,"active_requests":2,
          "boot_id":"b"})");
  ASSERT_TRUE(report.has_value());
  EXPECT_FALSE(report->pool.has_value());
  EXPECT_EQ(report->active_requests, 2);
  EXPECT_FALSE(ParseHostReport(R"({"pool":"x"})").has_value());
}

// Guards against a report of only the first problem when settings have several.
TEST(SettingsTest, ReportsEveryProblem) {
  const auto file = settings::ParseIni(
      "c.ini",
      "[process]\nid = c1\n[listen]\nadmin = nowhere\n"
      "peer = 127.0.0.1:1\n[control]\nstep = 1h\n[extra]\nx = 1\n");
  ASSERT_TRUE(file.has_value());
  const auto parsed = ParseSettings(file.value());
  ASSERT_FALSE(parsed.has_value());
  // zone, admin, platform.address, control.step and extra.x.
  EXPECT_EQ(parsed.error().size(), 5U);
}

}  // namespace
}  // namespace camphormux::controller
