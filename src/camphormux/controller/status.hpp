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

/// @brief What a controller shows of itself and the fleet.
struct StatusInput {
  const state::FleetState& state;
  const Observations& observed;
  const StepResult& last;    ///< Result of the last step.
  const StepMemory& memory;  ///< After the last step.
  core::ProcessId process;
  core::ZoneName zone;
  std::vector<core::ZoneName> cut_off;  ///< Zones without news on the log.
  core::MonotonicTime now;
  core::WallTime wall;
  const dispatch::Runner* jobs = nullptr;  ///< None: jobs are not shown.
};

/// @brief Hosts of one pool by phase.
struct PoolStatus {
  core::PoolName pool;
  int assigned = 0;
  int admitted = 0;
  int draining = 0;
  int empty = 0;
};

/// @brief A host that is on its way between pools or in maintenance.
struct MoveStatus {
  core::HostId host;
  core::ZoneName zone;
  core::PoolName pool;
  const char* phase = "";
  const char* reason = "";
};

/// @brief Progress of maintenance within the period of the text.
struct MaintenanceStatus {
  int hosts = 0;
  int done = 0;         ///< Maintained within the period before now.
  int in_progress = 0;  ///< Drained for maintenance.
  /// Whether the rest fits into the period at the rate of the plan.
  bool on_time = true;
  double hosts_per_day_needed = 0.0;
  /// Expected miss of the own zone, from the lease holder's plan.
  std::optional<maintenance::Forecast> forecast;
  int postponed = 0;  ///< Due hosts of the own zone that wait.
};

/// @brief The status of the fleet as one controller sees it.
struct FleetStatus {
  core::ProcessId process;
  core::ZoneName zone;
  std::string idle;  ///< Why the controller decides nothing; empty if it does.
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

/// @brief Word for a phase in output for people and scripts.
/// @param phase The phase.
/// @return A lower-case word.
[[nodiscard]] const char* Describe(state::HostPhase phase);

/// @brief Word for a drain reason in output for people and scripts.
/// @param reason The reason.
/// @return A lower-case word.
[[nodiscard]] const char* Describe(state::DrainReason reason);

/// @brief Collects the status.
/// @param input What the controller knows.
/// @return The status.
[[nodiscard]] FleetStatus CollectStatus(const StatusInput& input);

/// @brief Formats a status for people.
/// @param status The status.
/// @return Lines.
[[nodiscard]] std::string StatusText(const FleetStatus& status);

/// @brief Formats a status for scripts.
/// @param status The status.
/// @return JSON.
[[nodiscard]] std::string StatusJson(const FleetStatus& status);

/// @brief Formats the shared state for scripts: offset, digest, revision and
/// every host.
/// @param state The state.
/// @return JSON.
[[nodiscard]] std::string StateJson(const state::FleetState& state);

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_STATUS_HPP_
