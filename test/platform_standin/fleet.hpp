#ifndef CAMPHORMUX_TEST_PLATFORM_STANDIN_FLEET_HPP_
#define CAMPHORMUX_TEST_PLATFORM_STANDIN_FLEET_HPP_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include <nlohmann/json.hpp>

#include "camphormux/core/time.hpp"
#include "camphormux/core/units.hpp"
#include "camphormux/settings/ini.hpp"

namespace camphormux::standin {

/// @brief A batch task that runs on a host under a lease.
struct Task {
  std::string job;
  std::uint64_t epoch = 0;
  std::string state = "running";
  core::MonotonicTime started;
  core::MonotonicTime lease_end;
  std::optional<core::MonotonicTime> done_at;
  std::int64_t cores = 0;  ///< Millicores.
  std::int64_t memory_mib = 0;
  std::int64_t accelerators = 0;
};

/// @brief State of a host in the simulated platform.
struct PlatformHost {
  std::string id;
  std::string zone;
  std::string rack;
  core::Address address;
  std::int64_t cores = 0;
  std::int64_t memory_mib = 0;
  std::int64_t accelerators = 0;
  bool listed = true;
  bool leaving = false;

  std::string pool;
  std::string service;
  std::uint64_t generation = 0;
  bool draining = false;
  std::uint64_t boots = 1;
  std::set<std::string> maintenance_ids;
  bool fails_tasks = false;
  std::map<std::string, Task> tasks;
  std::set<std::string> deleted_tasks;  ///< A start is refused.
};

/// @brief Simulated behaviour of a job's tasks, set on a control route.
struct JobBehaviour {
  double usage_factor = 1.0;  ///< Reported usage divided by the limits.
  std::optional<core::Millis> run_time;
  bool fails = false;
};

/// @brief Number of tasks of a job that started and that completed.
struct JobRuns {
  int starts = 0;
  int done = 0;
};

/// @brief Hosts with their tasks, and the past snapshots of the host list and
/// of the usage reports, from which delayed reads are served.
struct Fleet {
  std::map<std::string, PlatformHost> hosts;
  std::map<std::string, std::uint64_t> zone_epochs;
  std::map<std::string, JobBehaviour> jobs;
  std::map<std::string, JobRuns> runs;           ///< By job.
  std::optional<core::Millis> default_run_time;  ///< If a job sets none.
  core::Millis list_lag{0};
  core::Millis usage_lag{0};

  struct Snapshot {
    core::MonotonicTime time;
    nlohmann::json body;
  };
  std::deque<Snapshot> list_snapshots;
  std::map<std::string, std::deque<Snapshot>> usage_snapshots;  ///< By zone.
};

/// @brief Reads the hosts from an INI file.
[[nodiscard]] core::Result<Fleet, settings::Problems> ReadFleet(
    const std::string& path);

/// @brief Checks the lease epoch of a host change and stores the highest one
/// of the zone.
/// @return False if a higher epoch of the zone was seen before.
[[nodiscard]] bool AdmitEpoch(Fleet& fleet, const std::string& zone,
                              std::uint64_t epoch);

/// @brief Stores a snapshot of the host list; call after each change.
void RecordList(Fleet& fleet, core::MonotonicTime now);

/// @return The host list as of `list_lag` ago.
[[nodiscard]] nlohmann::json LaggingList(Fleet& fleet, core::MonotonicTime now);

/// @brief Updates the task states and stores a usage snapshot of each zone;
/// call it periodically.
void RecordUsage(Fleet& fleet, core::MonotonicTime now);

/// @return The zone's usage as of `usage_lag` ago, with its age in `age_ms`.
[[nodiscard]] nlohmann::json LaggingUsage(Fleet& fleet, const std::string& zone,
                                          core::MonotonicTime now);

/// @return The tasks of a host at `now`, as JSON.
[[nodiscard]] nlohmann::json TasksOf(Fleet& fleet, PlatformHost& host,
                                     core::MonotonicTime now);

/// @return The state of a task at `now`; "absent" if the host has no such task.
[[nodiscard]] std::string StateOf(Fleet& fleet, PlatformHost& host,
                                  const std::string& id,
                                  core::MonotonicTime now);

/// @brief Starts a task, or renews the lease of a known one. The caller has
/// refused deleted tasks before.
/// @return Whether the body is valid.
[[nodiscard]] bool PutTask(Fleet& fleet, PlatformHost& host,
                           const std::string& id, const nlohmann::json& body,
                           core::MonotonicTime now);

}  // namespace camphormux::standin

#endif  // CAMPHORMUX_TEST_PLATFORM_STANDIN_FLEET_HPP_
