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
#include "camphormux/workload/account.hpp"

namespace camphormux::workload {

using QueueName = core::Name<struct QueueTag>;
/// Version of the operators' catalog of queues and pools; increases
/// monotonically.
using CatalogVersion = core::Ordinal<struct CatalogVersionTag>;

/// @brief A group of identical tasks of a job that become ready together.
struct Step {
  std::uint32_t count = 1;
  placement::Resources size;  ///< Resources of each task.
  core::Millis estimate{0};   ///< Estimated run time of a task.
  /// Indices of earlier steps that must complete before this one starts.
  std::vector<std::uint32_t> after;
  bool checkpoints = false;
  bool gang = false;       ///< All tasks run at the same time, or none runs.
  bool colocated = false;  ///< Tasks run slower when spread over several racks.
  bool speculative = false;  ///< A task may have several concurrent runs.
  bool permanent = false;    ///< Tasks run until the job is cancelled.
  /// Tasks use cores that are idle on their host; no cores are reserved for
  /// them.
  bool best_effort = false;
  std::string required_label;  ///< Host label that tasks require; empty: none.
  /// Rack of the input data. Tasks run slower on other racks; empty: no
  /// preference.
  core::RackName data_rack;
  /// Maximum tasks of this step on a host; 0: unlimited.
  std::uint32_t max_per_host = 0;
  std::string image;
  /// Tail latency target of a serving task; 0: none.
  core::Millis latency_target{0};
  /// Maximum tasks that planned maintenance may make unavailable at a time;
  /// nothing: no budget is set.
  std::optional<std::uint32_t> max_unavailable;

  friend bool operator==(const Step&, const Step&) = default;
};

/// @brief A job as submitted by a client.
struct JobSpec {
  core::JobId id;
  QueueName queue;
  std::string payload;  ///< Opaque; passed to each task.
  std::vector<Step> steps;
  /// Number of scheduled runs; 0: runs once, immediately.
  std::uint32_t occurrences = 0;
  core::WallTime first_run;  ///< Due time of occurrence 0.
  core::Millis interval{0};
  /// Account that submitted it; empty if it has none.
  AccountName account;

  friend bool operator==(const JobSpec&, const JobSpec&) = default;
};

/// @brief Scheduling policy of a job, taken from its queue when the job is
/// accepted. It is stored with the job, because the queue can be removed or
/// changed while the job runs.
struct JobPolicy {
  core::PoolName pool;
  std::uint32_t priority = 0;  ///< 0 is the highest priority.
  std::uint32_t max_failures = 1;
  /// Target time from submission to completion; 0 for permanent and scheduled
  /// jobs.
  core::Millis objective{0};

  friend bool operator==(const JobPolicy&, const JobPolicy&) = default;
};

/// @brief A job as it is stored.
struct StoredJob {
  JobSpec spec;
  /// Nothing if a version of the program stored it that kept no policy.
  std::optional<JobPolicy> policy;

  friend bool operator==(const StoredJob&, const StoredJob&) = default;
};

/// @brief Placement advice that a queue's policy requires for its starts; a
/// ticket of limited validity confirms it.
struct Advice {
  core::Millis decision{0};  ///< Fixed part of the delay of an answer.
  core::Millis per_host{0};  ///< Additional delay for each requested host.
  core::Millis validity{0};  ///< Validity of a ticket.

  friend bool operator==(const Advice&, const Advice&) = default;
};

/// @brief A job queue: its HTTP endpoint and the scheduling policy of its jobs.
struct Queue {
  QueueName name;
  std::string authority;    ///< Value of the HTTP Host header, without a port.
  std::string path_prefix;  ///< Prefix of the request path; ends with a slash.
  core::PoolName pool;
  std::uint32_t priority = 0;  ///< 0 is the highest priority.
  std::uint32_t max_failures = 1;
  /// Completion time objective as a multiple of the job's critical path.
  double stretch = 1.0;
  /// Constant that is added to the completion time objective.
  core::Millis latency_target{0};
  core::Millis timeout{0};  ///< Timeout of a request.
  std::optional<Advice> advice;
  bool is_public = false;  ///< Requests need no API key.

  friend bool operator==(const Queue&, const Queue&) = default;
};

/// @brief Properties of a pool's hosts.
struct PoolPolicy {
  bool enforces_capacity = true;
  bool standby = false;  ///< Hosts are powered off and incur no cost.

  friend bool operator==(const PoolPolicy&, const PoolPolicy&) = default;
};

/// @brief Queues, pools and client accounts as configured by the operators.
struct Catalog {
  CatalogVersion version;
  std::vector<Queue> queues;
  std::map<core::PoolName, PoolPolicy> pools;
  std::int64_t max_body_bytes = 0;
  /// Longest head of a request; 0: not set.
  std::int64_t max_header_bytes = 0;
  /// Requests need an API key of an account, except on public queues.
  bool needs_keys = false;
  std::map<AccountName, Account> accounts;
  std::map<KeyDigest, AccountName> keys;

  friend bool operator==(const Catalog&, const Catalog&) = default;
};

enum class JobState { kQueued, kRunning, kSucceeded, kFailed, kCancelled };

/// @brief A stored start of a task that may still be running.
struct StoredRun {
  core::HostId host;
  core::Incarnation incarnation;  ///< Incarnation of the host at the start.
  std::uint32_t attempt = 0;

  friend bool operator==(const StoredRun&, const StoredRun&) = default;
};

/// @brief Persistent state of a task; survives a change of the scheduling
/// process.
struct TaskProgress {
  bool done = false;
  std::uint32_t next_attempt = 1;
  std::set<std::uint32_t> failed_attempts;
  std::string checkpoint;
  /// Starts that were sent to a host or are about to be sent.
  std::vector<StoredRun> runs;

  friend bool operator==(const TaskProgress&, const TaskProgress&) = default;
};

/// @brief Persistent state of a job; survives a change of the scheduling
/// process.
struct Progress {
  JobState state = JobState::kQueued;
  QueueName queue;
  core::WallTime accepted;
  core::WallTime ended;  ///< Set only if the state is final.
  std::vector<TaskProgress> tasks;
  /// Account of the job, or of the caller whose cancellation a tombstone
  /// records; nothing if it is not known or the job has none.
  std::optional<AccountName> account;

  friend bool operator==(const Progress&, const Progress&) = default;
};

/// @brief Returns whether a job in this state has ended.
[[nodiscard]] constexpr bool IsFinal(JobState state) noexcept {
  return state != JobState::kQueued && state != JobState::kRunning;
}

/// @brief Returns the progress that marks a job as cancelled which was not
/// known.
/// @param cancelled When it was cancelled.
/// @param caller Who cancelled it.
[[nodiscard]] Progress MakeTombstone(core::WallTime cancelled,
                                     const Caller& caller);

/// @brief Returns whether a progress is a tombstone: no job of that id was
/// accepted.
[[nodiscard]] bool IsTombstone(const Progress& progress) noexcept;

/// @brief Finds the queue of a request: the authority must match, and the
/// longest matching path prefix wins.
/// @param catalog The catalog.
/// @param authority Value of the Host header, with or without a port.
/// @param path The request path.
/// @return The queue, or nullptr.
[[nodiscard]] const Queue* FindQueue(const Catalog& catalog,
                                     std::string_view authority,
                                     std::string_view path);

/// @brief Finds a queue by its name.
/// @return The queue, or nullptr.
[[nodiscard]] const Queue* FindQueue(const Catalog& catalog,
                                     const QueueName& name);

/// @brief Counts the tasks in one occurrence of a job.
[[nodiscard]] std::uint32_t TasksPerOccurrence(const JobSpec& spec) noexcept;

/// @brief Counts the tasks in all occurrences of a job.
[[nodiscard]] std::uint32_t TaskCount(const JobSpec& spec) noexcept;

/// @brief Coordinates of a task in its job.
struct TaskPlace {
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  friend bool operator==(const TaskPlace&, const TaskPlace&) = default;
};

/// @brief Converts a task's position in the flat list of all tasks to its
/// coordinates.
/// @param spec The job.
/// @param task Position; must be below TaskCount.
[[nodiscard]] TaskPlace PlaceOf(const JobSpec& spec, std::uint32_t task);

/// @brief Converts a task's coordinates to its position in the flat list of all
/// tasks.
/// @return The position, or nothing if the job has no such task.
[[nodiscard]] std::optional<std::uint32_t> PositionOf(const JobSpec& spec,
                                                      const TaskPlace& place);

/// @brief Estimates the duration of the longest chain of incomplete steps.
/// @param spec The job.
/// @param complete Whether each step is complete; empty: no step is.
/// @param run_times Expected run time of a task of each step; empty: the
/// estimates that came with the job.
[[nodiscard]] core::Millis CriticalPath(
    const JobSpec& spec, const std::vector<bool>& complete,
    const std::vector<core::Millis>& run_times = {});

/// @brief Estimates the work of all tasks of one occurrence.
/// @param spec The job.
/// @param run_times Expected run time of a task of each step; empty: the
/// estimates that came with the job.
/// @return Core seconds.
[[nodiscard]] double CoreSeconds(
    const JobSpec& spec, const std::vector<core::Millis>& run_times = {});

}  // namespace camphormux::workload

#endif  // CAMPHORMUX_WORKLOAD_MODEL_HPP_
