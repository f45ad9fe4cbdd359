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

/// @brief A task on a host's worker.
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

/// @brief A host as the platform knows it.
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
  std::set<std::string> deleted_tasks;  ///< Never started again.
};

/// @brief How a job really behaves, as set by a test.
struct JobBehaviour {
  double usage_factor = 1.0;  ///< Actual use divided by the declared limits.
  std::optional<core::Millis> run_time;
  bool fails = false;
};

/// @brief What happened to a job's tasks.
struct JobRuns {
  int starts = 0;
  int done = 0;
};

/// @brief Hosts, the lagging views of them, and the tasks on them.
struct Fleet {
  std::map<std::string, PlatformHost> hosts;
  std::map<std::string, std::uint64_t> zone_epochs;
  std::map<std::string, JobBehaviour> jobs;
  std::map<std::string, JobRuns> runs;           ///< By job.
  std::optional<core::Millis> default_run_time;  ///< Of jobs without one.
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

/// @brief Checks the epoch of an effect and remembers the highest.
/// @return Whether the epoch is not below the last seen for the zone.
[[nodiscard]] bool AdmitEpoch(Fleet& fleet, const std::string& zone,
                              std::uint64_t epoch);

/// @brief Records the host list as it is now; call after each change.
void RecordList(Fleet& fleet, core::MonotonicTime now);

/// @return The host list as it was one lag ago.
[[nodiscard]] nlohmann::json LaggingList(Fleet& fleet, core::MonotonicTime now);

/// @brief Advances tasks and records each zone's usage; call regularly.
void RecordUsage(Fleet& fleet, core::MonotonicTime now);

/// @return The zone's usage as it was one lag ago.
[[nodiscard]] nlohmann::json LaggingUsage(Fleet& fleet, const std::string& zone,
                                          core::MonotonicTime now);

/// @return The tasks of a host as they are now.
[[nodiscard]] nlohmann::json TasksOf(Fleet& fleet, PlatformHost& host,
                                     core::MonotonicTime now);

/// @return The state of a task as it is now, as in reports.
[[nodiscard]] std::string StateOf(Fleet& fleet, PlatformHost& host,
                                  const std::string& id,
                                  core::MonotonicTime now);

/// @brief Starts a task or renews its lease. The task is not one that was
/// deleted.
/// @return Whether the body is valid.
[[nodiscard]] bool PutTask(Fleet& fleet, PlatformHost& host,
                           const std::string& id, const nlohmann::json& body,
                           core::MonotonicTime now);

}  // namespace camphormux::standin

#endif  // CAMPHORMUX_TEST_PLATFORM_STANDIN_FLEET_HPP_
