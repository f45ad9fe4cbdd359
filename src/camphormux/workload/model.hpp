#ifndef CAMPHORMUX_WORKLOAD_MODEL_HPP_
#define CAMPHORMUX_WORKLOAD_MODEL_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/placement/resources.hpp"

namespace camphormux::workload {

using QueueName = core::Name<struct QueueTag>;
/// Version of the operators' catalog of queues and pools; only grows.
using CatalogVersion = core::Ordinal<struct CatalogVersionTag>;

/// @brief Tasks of a job that are alike and become ready together.
struct Step {
  std::uint32_t count = 1;
  placement::Resources size;  ///< Of each task.
  core::Millis estimate{0};   ///< Rough run time of a task.
  /// Indices of earlier steps that must be complete first.
  std::vector<std::uint32_t> after;
  bool checkpoints = false;
  bool gang = false;         ///< All tasks run at the same time or not at all.
  bool colocated = false;    ///< Slower if its tasks are on several racks.
  bool speculative = false;  ///< Copies of a task may run at the same time.
  bool permanent = false;    ///< Runs until the job is cancelled.
  /// Its tasks use the cores that others on the host leave idle; their own
  /// cores are not reserved.
  bool best_effort = false;
  std::string required_label;      ///< Empty: any host.
  core::RackName data_rack;        ///< Slower elsewhere; empty: no preference.
  std::uint32_t max_per_host = 0;  ///< 0: no limit.
  std::string image;
  core::Millis latency_target{0};  ///< Of a serving task; 0: none.
  /// Tasks that planned work may take away at once; none: no budget.
  std::optional<std::uint32_t> max_unavailable;

  friend bool operator==(const Step&, const Step&) = default;
};

/// @brief What a client submitted.
struct JobSpec {
  core::JobId id;
  QueueName queue;
  std::string payload;  ///< Opaque; handed to each task.
  std::vector<Step> steps;
  std::uint32_t occurrences = 0;  ///< 0: runs once, at once.
  core::WallTime first_run;       ///< Due time of occurrence 0.
  core::Millis interval{0};

  friend bool operator==(const JobSpec&, const JobSpec&) = default;
};

/// @brief Placement advice that a queue's policy demands.
struct Advice {
  core::Millis decision{0};  ///< Fixed part of an answer's delay.
  core::Millis per_host{0};  ///< Part for each host asked for.
  core::Millis validity{0};  ///< Of a ticket.

  friend bool operator==(const Advice&, const Advice&) = default;
};

/// @brief A queue of jobs: where callers reach it and how its jobs run.
struct Queue {
  QueueName name;
  std::string authority;    ///< Value of the Host header.
  std::string path_prefix;  ///< Ends in a slash.
  core::PoolName pool;
  std::uint32_t priority = 0;  ///< 0 comes first.
  std::uint32_t max_failures = 1;
  double stretch = 1.0;  ///< Objective as a multiple of the critical path.
  core::Millis latency_target{0};  ///< Added to the objective.
  core::Millis timeout{0};         ///< Of one request.
  std::optional<Advice> advice;

  friend bool operator==(const Queue&, const Queue&) = default;
};

/// @brief How hosts of a pool behave.
struct PoolPolicy {
  bool enforces_capacity = true;
  bool standby = false;  ///< Hosts are powered off and cost nothing.

  friend bool operator==(const PoolPolicy&, const PoolPolicy&) = default;
};

/// @brief The operators' catalog of queues and pools.
struct Catalog {
  CatalogVersion version;
  std::vector<Queue> queues;
  std::map<core::PoolName, PoolPolicy> pools;
  std::int64_t max_body_bytes = 0;

  friend bool operator==(const Catalog&, const Catalog&) = default;
};

enum class JobState { kQueued, kRunning, kSucceeded, kFailed, kCancelled };

/// @brief A start of a task that may be under way.
struct StoredRun {
  core::HostId host;
  core::Incarnation incarnation;  ///< Life of the host.
  std::uint32_t attempt = 0;

  friend bool operator==(const StoredRun&, const StoredRun&) = default;
};

/// @brief What must outlast the process that runs a task.
struct TaskProgress {
  bool done = false;
  std::uint32_t next_attempt = 1;
  std::set<std::uint32_t> failed_attempts;
  std::string checkpoint;
  /// Starts that were sent or are about to be.
  std::vector<StoredRun> runs;

  friend bool operator==(const TaskProgress&, const TaskProgress&) = default;
};

/// @brief What must outlast the process that runs a job.
struct Progress {
  JobState state = JobState::kQueued;
  QueueName queue;
  core::WallTime accepted;
  core::WallTime ended;  ///< Only if the state is final.
  std::vector<TaskProgress> tasks;

  friend bool operator==(const Progress&, const Progress&) = default;
};

/// @brief Tells whether a state is final.
[[nodiscard]] constexpr bool IsFinal(JobState state) noexcept {
  return state != JobState::kQueued && state != JobState::kRunning;
}

/// @brief Finds the queue that a request is for: same authority, longest path
/// prefix.
/// @param catalog The catalog.
/// @param authority Value of the Host header, with or without a port.
/// @param path The path.
/// @return The queue, or nullptr.
[[nodiscard]] const Queue* FindQueue(const Catalog& catalog,
                                     std::string_view authority,
                                     std::string_view path);

/// @brief Finds a queue by its name.
/// @return The queue, or nullptr.
[[nodiscard]] const Queue* FindQueue(const Catalog& catalog,
                                     const QueueName& name);

/// @return Number of tasks in one occurrence of a job.
[[nodiscard]] std::uint32_t TasksPerOccurrence(const JobSpec& spec) noexcept;

/// @return Number of tasks in all occurrences of a job.
[[nodiscard]] std::uint32_t TaskCount(const JobSpec& spec) noexcept;

/// @brief Place of a task in its job.
struct TaskPlace {
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  friend bool operator==(const TaskPlace&, const TaskPlace&) = default;
};

/// @brief Converts a position in the list of all tasks to a place.
/// @param spec The job.
/// @param task Position; below TaskCount.
[[nodiscard]] TaskPlace PlaceOf(const JobSpec& spec, std::uint32_t task);

/// @brief Converts a place to a position in the list of all tasks.
/// @return The position, or nothing if the job has no such task.
[[nodiscard]] std::optional<std::uint32_t> PositionOf(const JobSpec& spec,
                                                      const TaskPlace& place);

/// @brief Estimated duration of the longest chain of steps that are not
/// complete.
/// @param spec The job.
/// @param complete Whether each step is complete; empty: none is.
[[nodiscard]] core::Millis CriticalPath(const JobSpec& spec,
                                        const std::vector<bool>& complete);

/// @brief Estimated work of all tasks of one occurrence, in core seconds.
[[nodiscard]] double CoreSeconds(const JobSpec& spec);

}  // namespace camphormux::workload

#endif  // CAMPHORMUX_WORKLOAD_MODEL_HPP_
