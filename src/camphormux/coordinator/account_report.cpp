#include "camphormux/coordinator/account_report.hpp"

#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <utility>

#include "camphormux/scheduler/shares.hpp"
#include "camphormux/telemetry/log.hpp"

namespace camphormux::coordinator {
namespace internal {

constexpr std::size_t kMaxReportedAccounts = 10;
constexpr double kMilliCoresPerCore = 1000.0;
/// Label of the sum of the accounts that have no metrics of their own. No
/// account has this name, as names have no spaces.
constexpr const char* kOtherAccounts = "all others";

/// A value of an account in metrics.
struct Value {
  const char* name;
  double value;
};

std::array<Value, 7> ValuesOf(const scheduler::AccountLoad& load) {
  return {{{"running cores",
            static_cast<double>(load.running.cores.value) / kMilliCoresPerCore},
           {"cap cores",
            static_cast<double>(load.cap.cores.value) / kMilliCoresPerCore},
           {"weight", load.share.weight},
           {"entitled core seconds", load.share.entitled},
           {"served core seconds", load.share.served},
           {"waiting core seconds", load.share.waiting},
           {"jobs refused in the last second",
            static_cast<double>(load.refusals.above_cap +
                                load.refusals.share_in_use +
                                load.refusals.no_time_left)}}};
}

prometheus::Labels LabelsOf(const std::string& account, const char* value) {
  return {{"account", account}, {"value", value}};
}

void Log(const std::string& account, const scheduler::AccountLoad& load) {
  const auto rounded = [](double value) {
    return std::to_string(std::lround(value));
  };
  telemetry::Log(
      telemetry::LogRateClass::kPeriodic, telemetry::Level::kInfo,
      "account load",
      {{"account", account},
       {"accounts", std::to_string(load.accounts)},
       {"millicores", std::to_string(load.running.cores.value)},
       {"cap_millicores", std::to_string(load.cap.cores.value)},
       {"weight", std::to_string(load.share.weight)},
       {"entitled", rounded(load.share.entitled)},
       {"served", rounded(load.share.served)},
       {"waiting", rounded(load.share.waiting)},
       {"refused_above_cap", std::to_string(load.refusals.above_cap)},
       {"refused_share_in_use", std::to_string(load.refusals.share_in_use)},
       {"refused_no_time_left", std::to_string(load.refusals.no_time_left)}});
}

}  // namespace internal

AccountReport::AccountReport(prometheus::Family<prometheus::Gauge>& values)
    : values_(values) {}

AccountReport::~AccountReport() { RemoveAllBut({}); }

void AccountReport::Report(scheduler::State& state) {
  std::set<std::string> accounts;
  for (const scheduler::AccountLoad& load :
       scheduler::MeasureAccounts(state, internal::kMaxReportedAccounts)) {
    const std::string account = load.account.value.empty()
                                    ? internal::kOtherAccounts
                                    : load.account.value;
    accounts.insert(account);
    internal::Log(account, load);
    for (const internal::Value& value : internal::ValuesOf(load)) {
      values_.Add(internal::LabelsOf(account, value.name)).Set(value.value);
    }
  }
  RemoveAllBut(accounts);
  state.refusals.clear();
}

void AccountReport::RemoveAllBut(const std::set<std::string>& accounts) {
  for (const std::string& account : reported_) {
    if (accounts.contains(account)) {
      continue;
    }
    for (const internal::Value& value : internal::ValuesOf({})) {
      values_.Remove(&values_.Add(internal::LabelsOf(account, value.name)));
    }
  }
  reported_ = accounts;
}

}  // namespace camphormux::coordinator
