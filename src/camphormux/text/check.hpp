#ifndef CAMPHORMUX_TEXT_CHECK_HPP_
#define CAMPHORMUX_TEXT_CHECK_HPP_

#include <string>
#include <vector>

#include "camphormux/core/time.hpp"
#include "camphormux/text/fleet_host.hpp"
#include "camphormux/text/operator_text.hpp"

namespace camphormux::text {

/// @brief Kinds of faults that only show against the fleet or over services.
enum class FindingKind {
  kDependencyCycle,
  kMaintenanceBudget,  ///< Budgets leave no host for maintenance in time.
  kQuota,              ///< Quotas add up to more than the fleet.
  kFailureDomains,     ///< A service has too few racks or zones.
  kFleetTooSmall,      ///< Smallest sizes add up to more than a zone.
  kUnknownZone,        ///< A host's zone is not in the text.
};

/// @brief A fault of a text.
struct Finding {
  FindingKind kind = FindingKind::kDependencyCycle;
  std::string key;       ///< Section and key, as the operator wrote them.
  std::string found;     ///< Figures that are wrong.
  std::string expected;  ///< What would be right.

  friend bool operator==(const Finding&, const Finding&) = default;
};

/// @brief Assumptions of the check.
struct CheckOptions {
  /// Time from the drain of a host to its return.
  core::Millis host_maintenance = std::chrono::minutes(10);
};

/// @brief Checks a parsed text against the fleet.
/// @param text The text.
/// @param hosts All hosts of the fleet; if empty, only the text is checked.
/// @param options Assumptions.
/// @return All faults in a stable order; empty if the text can be published.
[[nodiscard]] std::vector<Finding> CheckText(
    const OperatorText& text, const std::vector<FleetHost>& hosts,
    const CheckOptions& options = {});

/// @brief Name of a kind for messages and JSON.
/// @param kind The kind.
/// @return A stable lower-case name.
[[nodiscard]] const char* NameOf(FindingKind kind);

}  // namespace camphormux::text

#endif  // CAMPHORMUX_TEXT_CHECK_HPP_
