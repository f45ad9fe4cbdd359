#include "camphormux/coordinator/account_report.hpp"

#include <string>

#include <gtest/gtest.h>
#include <prometheus/registry.h>

#include "camphormux/coordinator/node_metrics.hpp"
#include "camphormux/telemetry/metrics.hpp"

namespace camphormux::coordinator {
namespace {

// Guards against metrics without bound, and against those of an earlier holder.
TEST(AccountReportTest, HasTenAccountsAndTheSumOfTheOthers) {
  prometheus::Registry registry;
  const NodeMetrics node_metrics = RegisterNodeMetrics(registry);
  scheduler::State state;
  for (int i = 0; i < 30; ++i) {
    state.running_of_accounts[{"account-" + std::to_string(i)}] = {
        {2000}, {}, {}};
  }
  state.refusals[{"account-0"}].above_cap = 1;
  {
    AccountReport report(*node_metrics.account_load);
    report.Report(state);
    report.Report(state);
    EXPECT_TRUE(state.refusals.empty());
    const std::string text = telemetry::RenderMetrics(registry);
    constexpr std::size_t kValues = 7;
    std::size_t series = 0;
    for (std::size_t at = text.find("account_load{"); at != std::string::npos;
         at = text.find("account_load{", at + 1)) {
      ++series;
    }
    EXPECT_EQ(series, 11 * kValues);
    EXPECT_NE(text.find("{account=\"all others\",value=\"running cores\"} 40"),
              std::string::npos);
  }
  EXPECT_EQ(telemetry::RenderMetrics(registry).find("account_load{"),
            std::string::npos);
}

}  // namespace
}  // namespace camphormux::coordinator
