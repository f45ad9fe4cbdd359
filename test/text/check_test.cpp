#include "camphormux/text/check.hpp"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <map>
#include <string>

#include <gtest/gtest.h>

#include "camphormux/settings/ini.hpp"
#include "camphormux/text/parse.hpp"

namespace camphormux::text {
namespace {

/// Two zones of six hosts, two to a rack, and two services.
std::vector<FleetHost> MakeHosts() {
  std::vector<FleetHost> hosts;
  for (int i = 0; i < 12; ++i) {
    const std::string zone = i < 6 ? "a" : "b";
    hosts.push_back({{"h" + std::to_string(i)},
                     {zone},
                     {zone + std::to_string(i / 2)},
                     {32'000},
                     {128'000},
                     {1},
                     {}});
  }
  return hosts;
}

OperatorText MakeText() {
  OperatorText text;
  text.zones[{"a"}] = {{"a"}, {"r"}};
  text.zones[{"b"}] = {{"b"}, {"r"}};
  for (const char* name : {"x", "y", "z"}) {
    text.services[{name}].name = {name};
    text.services[{name}].pool = {name};
    text.services[{name}].min_hosts = 2;
  }
  return text;
}

std::vector<FindingKind> Kinds(const OperatorText& text,
                               const CheckOptions& options = {}) {
  std::vector<FindingKind> kinds;
  for (const Finding& finding : CheckText(text, MakeHosts(), options)) {
    kinds.push_back(finding.kind);
  }
  return kinds;
}

using Expected = std::vector<FindingKind>;

// Guards against findings in a sound text.
TEST(CheckTextTest, AcceptsASoundText) {
  EXPECT_EQ(Kinds(MakeText()), Expected{});
}

// Guards against demand that propagates without end.
TEST(CheckTextTest, FindsDependencyCycles) {
  OperatorText text = MakeText();
  text.services[{"x"}].depends_on = {{{"y"}, 1.0}};
  text.services[{"y"}].depends_on = {{{"z"}, 1.0}};
  text.services[{"z"}].depends_on = {{{"y"}, 1.0}};
  const auto findings = CheckText(text, {});
  ASSERT_EQ(findings.size(), 1U);
  EXPECT_EQ(findings[0].found, "y -> z -> y");
}

// Guards against a text whose maintenance can never end in time.
TEST(CheckTextTest, FindsBudgetsThatMaintenanceCannotMeet) {
  OperatorText text = MakeText();
  text.services[{"x"}].min_hosts = 8;
  EXPECT_EQ(Kinds(text), (Expected{FindingKind::kMaintenanceBudget,
                                   FindingKind::kMaintenanceBudget}));
  text.services[{"x"}].min_hosts = 9;
  EXPECT_EQ(Kinds(text), (Expected{FindingKind::kFleetTooSmall,
                                   FindingKind::kFleetTooSmall}));
  text = MakeText();
  EXPECT_EQ(Kinds(text, {std::chrono::hours(21 * 24 / 3 + 1)}),
            (Expected{FindingKind::kMaintenanceBudget,
                      FindingKind::kMaintenanceBudget}));
}

// Guards against quotas that cannot all be used.
TEST(CheckTextTest, FindsQuotasAboveTheFleet) {
  OperatorText text = MakeText();
  text.teams[{"t"}] = {{"t"}, {200'000}, {100}, {7}};
  text.teams[{"u"}] = {{"u"}, {200'000}, {100}, {6}};
  EXPECT_EQ(Kinds(text), (Expected{FindingKind::kQuota, FindingKind::kQuota}));
}

// Guards against a service that the loss of one domain takes below its budget.
TEST(CheckTextTest, FindsTooFewFailureDomains) {
  OperatorText text = MakeText();
  text.services[{"x"}].host_availability = 0.6;
  EXPECT_EQ(Kinds(text), Expected{FindingKind::kFailureDomains});
  text.services[{"x"}].zones = {{"a"}};
  EXPECT_EQ(Kinds(text), Expected{});
}

/// Reads the hosts of an example.
std::vector<FleetHost> ReadHosts(const std::string& path) {
  constexpr std::int64_t kMilli = 1000;
  const std::string prefix = "host ";
  const auto file = settings::ReadIniFile(path);
  std::map<std::string, FleetHost> hosts;
  for (const settings::IniEntry& entry : file.value().entries) {
    if (!entry.section.starts_with(prefix)) {
      continue;
    }
    FleetHost& host = hosts[entry.section];
    host.id = {entry.section.substr(prefix.size())};
    if (entry.key == "zone") {
      host.zone = {entry.value};
    } else if (entry.key == "rack") {
      host.rack = {entry.value};
    } else if (entry.key == "cores") {
      host.cores = {std::stoll(entry.value) * kMilli};
    } else if (entry.key == "memory_mib") {
      host.memory = {std::stoll(entry.value)};
    }
  }
  std::vector<FleetHost> list;
  for (const auto& [section, host] : hosts) {
    list.push_back(host);
  }
  return list;
}

// Guards against examples whose own fleet cannot do what their text demands.
TEST(CheckTextTest, FindsNothingInTheExamples) {
  for (const std::string deployment : {"tazi", "brushwick"}) {
    const std::string folder = EXAMPLES_DIR "/" + deployment;
    std::ifstream file(folder + "/fleet.ini");
    const std::string source{std::istreambuf_iterator<char>(file), {}};
    const auto parsed = ParseOperatorText("fleet.ini", source);
    ASSERT_TRUE(parsed.has_value());
    const std::vector<FleetHost> hosts = ReadHosts(folder + "/hosts.ini");
    EXPECT_GE(hosts.size(), 40U);
    for (const Finding& finding : CheckText(parsed.value(), hosts)) {
      ADD_FAILURE() << deployment << ": " << finding.key << ": found "
                    << finding.found << ", expected " << finding.expected;
    }
  }
}

}  // namespace
}  // namespace camphormux::text
