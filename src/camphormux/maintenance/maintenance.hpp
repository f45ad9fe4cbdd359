#ifndef CAMPHORMUX_MAINTENANCE_MAINTENANCE_HPP_
#define CAMPHORMUX_MAINTENANCE_MAINTENANCE_HPP_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/sizing/sizing.hpp"
#include "camphormux/state/fleet_state.hpp"
#include "camphormux/text/operator_text.hpp"

namespace camphormux::maintenance {

/// @brief What a pool must keep in the zone during maintenance.
struct PoolBudget {
  core::PoolName pool;
  int floor = 0;                   ///< Never fewer hosts are available.
  int needed = 0;                  ///< Fewer hosts lose demand.
  double host_availability = 0.0;  ///< Share of the pool's hosts.
  bool surging = false;
};

/// @brief Everything that one decision depends on.
struct MaintenanceInput {
  std::vector<state::Host> hosts;    ///< All hosts of one zone, by id.
  std::set<core::HostId> missing;    ///< Hosts that do not answer.
  std::set<core::HostId> rebooting;  ///< Empty hosts told to reboot.
  /// When hosts were last maintained. Hosts without an entry count as
  /// maintained at `epoch_start`.
  std::map<core::HostId, core::WallTime> last_done;
  core::WallTime epoch_start;
  std::vector<PoolBudget> budgets;
  text::MaintenancePlan plan;
  core::WallTime now;
  /// Mean time from drain to admission of one host.
  core::Millis host_duration = std::chrono::minutes(10);
  /// Share of a zone's hosts that may be missing before maintenance stops.
  double missing_share = 0.2;
};

/// @brief A host to drain for maintenance now.
struct Drain {
  core::HostId host;
  core::PoolName pool;
  core::RackName rack;      ///< The wave's failure domain.
  core::WallTime deadline;  ///< End of the host's period.
  int available = 0;        ///< Of its pool, before the drain.
  int minimum = 0;          ///< That the pool must keep.
};

/// @brief Why a host is given back before its maintenance.
enum class GiveBackCause {
  kManyMissing,  ///< Too many hosts of the zone are missing.
  kRackFailed,   ///< Another rack failed.
  kSurge,        ///< The pool needs the host for its demand.
  kBudget,       ///< The pool is below its budget.
};

/// @brief A drained host that goes back to its pool; it did not reboot yet.
struct GiveBack {
  core::HostId host;
  core::PoolName pool;
  GiveBackCause cause = GiveBackCause::kSurge;
  int available = 0;  ///< Of its pool.
  int minimum = 0;    ///< That the pool needs.
};

/// @brief Why a due host is not drained now.
enum class PostponeCause {
  kWindow,       ///< Outside of the plan's daily window.
  kRacks,        ///< Other racks are in maintenance.
  kBudget,       ///< The pool's budget.
  kDemand,       ///< The pool's demand.
  kSurge,        ///< The pool surges.
  kLastRack,     ///< All of the pool's available hosts are in this rack.
  kRackFailed,   ///< A rack of the zone failed.
  kManyMissing,  ///< Too many hosts of the zone are missing.
  kNotAdmitted,  ///< The host is moving or in no pool.
};

/// @brief A due host that waits.
struct Postponement {
  core::HostId host;
  core::RackName rack;
  PostponeCause cause = PostponeCause::kWindow;
  core::WallTime deadline;
  int available = 0;  ///< Of its pool; 0 if that is not the cause.
  int minimum = 0;    ///< That the pool must keep.
};

/// @brief Expected miss of the period.
struct Forecast {
  core::HostId host;        ///< The host that will be late the longest.
  core::WallTime deadline;  ///< Its deadline.
  core::WallTime expected;  ///< When its maintenance will end.
  int late_hosts = 0;       ///< All hosts that will be late.
};

/// @brief Result of a decision.
struct MaintenanceDecision {
  std::vector<Drain> drains;
  std::vector<GiveBack> give_backs;
  /// Empty hosts that may reboot now.
  std::vector<core::HostId> reboots;
  std::vector<Postponement> postponed;
  /// Pools that lack one host to let a due host go; for
  /// `sizing::SizingInput::maintenance_reserve`.
  std::vector<core::PoolName> reserve;
  /// Set when the period cannot be met at the present pace.
  std::optional<Forecast> forecast;
  /// A failure stopped the wave.
  bool stopped = false;
};

/// @brief Decides the zone's maintenance: waves over racks, earliest deadline
/// first, within every pool's budget.
/// @param input Hosts, budgets, plan and time.
/// @return Hosts to drain, reboot and give back, and those that wait, each
/// with its reason.
[[nodiscard]] MaintenanceDecision DecideMaintenance(
    const MaintenanceInput& input);

/// @brief End of a host's maintenance period.
/// @param input The input.
/// @param host The host.
/// @return Last maintenance plus the period.
[[nodiscard]] core::WallTime DeadlineOf(const MaintenanceInput& input,
                                        const core::HostId& host);

/// @brief Takes the budgets of one zone from the sizes of all services.
/// @param text The operator text.
/// @param sizes The sizes.
/// @param zone The zone.
/// @return One budget for each pool that has a size in the zone.
[[nodiscard]] std::vector<PoolBudget> BudgetsOf(const text::OperatorText& text,
                                                const sizing::Sizes& sizes,
                                                const core::ZoneName& zone);

}  // namespace camphormux::maintenance

#endif  // CAMPHORMUX_MAINTENANCE_MAINTENANCE_HPP_
