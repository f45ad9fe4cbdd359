#ifndef CAMPHORMUX_CONTROLLER_STATUS_HPP_
#define CAMPHORMUX_CONTROLLER_STATUS_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "camphormux/controller/step.hpp"
#include "camphormux/core/ids.hpp"
#include "camphormux/dispatch/explain.hpp"
#include "camphormux/dispatch/runner.hpp"
#include "camphormux/state/fleet_state.hpp"

namespace camphormux::controller {

/// @brief Data from which a controller reports its own status and the fleet's.
struct StatusInput {
  const state::FleetState& state;
  const Observations& observed;
  const StepResult& last;    ///< Result of the last step.
  const StepMemory& memory;  ///< Memory after the last step.
  core::ProcessId process;
  core::ZoneName zone;
  /// Zones that are cut off from the log.
  std::vector<core::ZoneName> cut_off;
  core::MonotonicTime now;
  core::WallTime wall;
  const dispatch::Runner* jobs = nullptr;  ///< nullptr: jobs are not shown.
};

/// @brief Number of hosts of one pool by phase.
struct PoolStatus {
  core::PoolName pool;
  int assigned = 0;
  int admitted = 0;
  int draining = 0;
  int empty = 0;
};

/// @brief A host that is moving between pools or in maintenance.
struct MoveStatus {
  core::HostId host;
  core::ZoneName zone;
  core::PoolName pool;
  const char* phase = "";
  const char* reason = "";
};

/// @brief Progress of maintenance within the period of the operator text.
struct MaintenanceStatus {
  int hosts = 0;
  int done = 0;         ///< Hosts maintained within the last period.
  int in_progress = 0;  ///< Hosts drained for maintenance.
  /// False if a host was last maintained longer than the period ago.
  bool on_time = true;
  double hosts_per_day_needed = 0.0;
  /// Forecast of missed deadlines in the own zone, from the lease holder's
  /// plan.
  std::optional<maintenance::Forecast> forecast;
  /// Due hosts of the own zone whose maintenance is postponed.
  int postponed = 0;
};

/// @brief Status of the fleet as one controller sees it.
struct FleetStatus {
  core::ProcessId process;
  core::ZoneName zone;
  /// Why the controller makes no decisions; empty if it does.
  std::string idle;
  core::Revision revision;
  core::LogOffset offset;
  std::uint64_t digest = 0;
  std::uint64_t skipped_records = 0;
  int released = 0;  ///< Hosts without a pool.
  std::vector<core::HostId> missing;
  std::vector<core::ZoneName> cut_off;
  std::map<core::ZoneName, state::ZoneLease> leases;
  std::vector<PoolStatus> pools;
  std::vector<MoveStatus> moves;
  MaintenanceStatus maintenance;
  std::vector<moves::Shortfall> shortfalls;
  dispatch::JobCounts jobs;
};

/// @brief Name of a phase in text and JSON output.
/// @param phase The phase.
/// @return A lower-case word.
[[nodiscard]] const char* Describe(state::HostPhase phase);

/// @brief Name of a drain reason in text and JSON output.
/// @param reason The reason.
/// @return A lower-case word.
[[nodiscard]] const char* Describe(state::DrainReason reason);

/// @brief Collects the status.
/// @param input Current data of the controller.
/// @return The status.
[[nodiscard]] FleetStatus CollectStatus(const StatusInput& input);

/// @brief Formats a status as text.
/// @param status The status.
/// @return Text of several lines.
[[nodiscard]] std::string StatusText(const FleetStatus& status);

/// @brief Formats a status as JSON.
/// @param status The status.
/// @return JSON.
[[nodiscard]] std::string StatusJson(const FleetStatus& status);

/// @brief Formats offset, digest, revision and all hosts of the shared state as
/// JSON.
/// @param state The state.
/// @return JSON.
[[nodiscard]] std::string StateJson(const state::FleetState& state);

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_STATUS_HPP_
