#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "test/ops/metric_names.hpp"

namespace camphormux::ops {
namespace {

constexpr const char* kAlerts = SOURCE_DIR "/ops/prometheus/alerts.yml";
constexpr const char* kDashboard = SOURCE_DIR "/ops/grafana/camphormux.json";

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  EXPECT_TRUE(file) << path;
  return {std::istreambuf_iterator<char>(file), {}};
}

std::set<Metric> SourceMetrics() {
  std::set<Metric> metrics;
  for (const auto& entry : std::filesystem::recursive_directory_iterator(
           SOURCE_DIR "/src/camphormux")) {
    if (entry.path().extension() == ".cpp") {
      metrics.merge(RegisteredMetrics(ReadFile(entry.path())));
    }
  }
  return metrics;
}

/// Returns the names of all time series. A histogram has three, and Prometheus
/// itself provides `up`.
std::set<std::string> SourceTimeSeries() {
  std::set<std::string> names{"up"};
  for (const Metric& metric : SourceMetrics()) {
    if (metric.kind != MetricKind::kHistogram) {
      names.insert(metric.name);
      continue;
    }
    for (const char* suffix : {"_bucket", "_sum", "_count"}) {
      names.insert(metric.name + suffix);
    }
  }
  return names;
}

/// Returns the expressions of the alert rules. Only expressions on one line are
/// recognized.
std::vector<std::string> AlertExpressions() {
  const std::string rules = ReadFile(kAlerts);
  const std::regex line(R"(\n +expr: ([^|>\n][^\n]*))");
  std::vector<std::string> expressions;
  for (std::sregex_iterator i(rules.begin(), rules.end(), line), end; i != end;
       ++i) {
    expressions.push_back((*i)[1]);
  }
  return expressions;
}

void CollectExpressions(const nlohmann::json& node,
                        std::vector<std::string>& expressions) {
  for (const auto& item : node.items()) {
    if (item.key() == "expr") {
      expressions.push_back(item.value().get<std::string>());
    } else if (item.value().is_structured()) {
      CollectExpressions(item.value(), expressions);
    }
  }
}

/// Returns the metrics of the expressions that no source file registers.
std::set<std::string> UnknownMetrics(
    const std::vector<std::string>& expressions) {
  const std::set<std::string> known = SourceTimeSeries();
  std::set<std::string> unknown;
  for (const std::string& expression : expressions) {
    const std::set<std::string> used = UsedMetrics(expression);
    EXPECT_FALSE(used.empty()) << expression;
    for (const std::string& name : used) {
      if (!known.contains(name)) {
        unknown.insert(name);
      }
    }
  }
  return unknown;
}

// An alert on a metric that does not exist would never fire. The number of
// expressions must equal that of the alerts, so that no rule is overlooked.
TEST(OpsTest, AlertsUseRegisteredMetrics) {
  const std::string rules = ReadFile(kAlerts);
  const std::regex alert(R"(- alert: )");
  const std::sregex_iterator first(rules.begin(), rules.end(), alert);
  const std::vector<std::string> expressions = AlertExpressions();
  EXPECT_GT(expressions.size(), 0U);
  EXPECT_EQ(std::distance(first, {}),
            static_cast<std::ptrdiff_t>(expressions.size()));
  EXPECT_EQ(UnknownMetrics(expressions), std::set<std::string>{});
}

// The operators' page must have a section for each alert.
TEST(OpsTest, EachAlertIsDocumented) {
  const std::string rules = ReadFile(kAlerts);
  const std::string page = ReadFile(SOURCE_DIR "/docs/operators/alerts.md");
  const std::regex alert(R"(- alert: (\w+))");
  for (std::sregex_iterator i(rules.begin(), rules.end(), alert), end; i != end;
       ++i) {
    EXPECT_NE(page.find("## " + (*i)[1].str() + "\n"), std::string::npos)
        << (*i)[1];
  }
}

// A dashboard panel on a metric that does not exist would stay empty.
TEST(OpsTest, DashboardUsesRegisteredMetrics) {
  std::vector<std::string> expressions;
  CollectExpressions(nlohmann::json::parse(ReadFile(kDashboard)), expressions);
  EXPECT_GT(expressions.size(), 0U);
  EXPECT_EQ(UnknownMetrics(expressions), std::set<std::string>{});
}

// The check itself must report metrics that do not exist.
TEST(OpsTest, FindsInventedMetrics) {
  EXPECT_EQ(
      UnknownMetrics(
          {"sum by (service) (rate(camphormux_gateway_lost_total[5m])) > 0",
           "rate(camphormux_gateway_requests_total{service=\"a\"}[5m]) > 3",
           "invented / camphormux_state_revision and up == 0"}),
      (std::set<std::string>{"camphormux_gateway_lost_total", "invented"}));
}

// Metric names must follow the Prometheus conventions. Three known metrics must
// be found, so that the test does not pass because it recognizes none.
TEST(OpsTest, NamesFollowTheConventions) {
  const std::set<Metric> metrics = SourceMetrics();
  EXPECT_TRUE(metrics.contains(
      {"camphormux_gateway_requests_total", MetricKind::kCounter}));
  EXPECT_TRUE(
      metrics.contains({"camphormux_keys_claims_waiting", MetricKind::kGauge}));
  EXPECT_TRUE(metrics.contains(
      {"camphormux_controller_step_seconds", MetricKind::kHistogram}));
  for (const Metric& metric : metrics) {
    EXPECT_EQ(metric.name.ends_with("_total"),
              metric.kind == MetricKind::kCounter)
        << metric.name;
    EXPECT_TRUE(metric.kind != MetricKind::kHistogram ||
                metric.name.ends_with("_seconds"))
        << metric.name;
  }
}

// Tests and files that docs/promises.md cites must exist.
TEST(OpsTest, PromisesCiteExistingTestsAndFiles) {
  const std::string page = ReadFile(SOURCE_DIR "/docs/promises.md");
  const std::regex file(R"re(`((?:src|test|bench|tools)/[\w/.-]+)`)re");
  for (std::sregex_iterator i(page.begin(), page.end(), file), end; i != end;
       ++i) {
    EXPECT_TRUE(std::filesystem::exists(SOURCE_DIR "/" + (*i)[1].str()))
        << (*i)[1];
  }
  const std::regex test(R"re(`(test/[\w/]+\.cpp)` (\w+)\.(\w+))re");
  const std::sregex_iterator first(page.begin(), page.end(), test);
  EXPECT_NE(first, std::sregex_iterator());
  for (std::sregex_iterator i = first, end; i != end; ++i) {
    const std::string source = ReadFile(SOURCE_DIR "/" + (*i)[1].str());
    EXPECT_NE(source.find("(" + (*i)[2].str() + ", " + (*i)[3].str()),
              std::string::npos)
        << (*i)[0];
  }
}

}  // namespace
}  // namespace camphormux::ops
