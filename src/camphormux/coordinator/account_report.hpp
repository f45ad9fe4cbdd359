#ifndef CAMPHORMUX_COORDINATOR_ACCOUNT_REPORT_HPP_
#define CAMPHORMUX_COORDINATOR_ACCOUNT_REPORT_HPP_

#include <set>
#include <string>

#include <prometheus/family.h>
#include <prometheus/gauge.h>

#include "camphormux/scheduler/state.hpp"

namespace camphormux::coordinator {

/// @brief Reports what client accounts have, are entitled to and wait for: a
/// log line and metrics for each of those with most waiting work, and one for
/// all others together. Their number is bounded.
class AccountReport {
 public:
  /// @param values Metrics of accounts; must outlive this object.
  explicit AccountReport(prometheus::Family<prometheus::Gauge>& values);
  AccountReport(const AccountReport&) = delete;
  AccountReport& operator=(const AccountReport&) = delete;
  /// Removes the metrics: another node may be the holder from now on.
  ~AccountReport();

  /// @brief Reports the accounts.
  /// @param state The state; its record of refusals is emptied.
  void Report(scheduler::State& state);

 private:
  void RemoveAllBut(const std::set<std::string>& accounts);

  prometheus::Family<prometheus::Gauge>& values_;
  std::set<std::string> reported_;
};

}  // namespace camphormux::coordinator

#endif  // CAMPHORMUX_COORDINATOR_ACCOUNT_REPORT_HPP_
