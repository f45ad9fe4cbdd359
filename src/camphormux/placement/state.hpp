#ifndef CAMPHORMUX_PLACEMENT_STATE_HPP_
#define CAMPHORMUX_PLACEMENT_STATE_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/placement/headroom_tree.hpp"
#include "camphormux/placement/job.hpp"
#include "camphormux/placement/reasons.hpp"
#include "camphormux/placement/resources.hpp"
#include "camphormux/placement/settings.hpp"

namespace camphormux::placement {

/// Positions in the tables of the state. Names are looked up once per event;
/// everything inside the state refers to positions.
using JobIndex = std::uint32_t;
using TaskIndex = std::uint32_t;
using WorkerIndex = std::uint32_t;
using ClassIndex = std::uint32_t;
using KindIndex = std::uint32_t;
using TeamIndex = std::uint32_t;
using PoolIndex = std::uint32_t;
using RackIndex = std::uint32_t;

inline constexpr std::uint32_t kNone = 0xffffffff;

enum class JobPhase : std::uint8_t {
  kQueued,
  kAwaitingPreemption,  ///< Preemptible tasks yield to it on one worker.
  kActive,              ///< Has a task that starts or runs.
  kUnconfirmed,  ///< May not be run twice; the end of its run is not known.
  kHeldBack,
  kImpossible,
  kFinished,
  kCancelled,
  kGivenUp,
  kNotTwice,  ///< May not be run twice and its run did not finish.
};

/// @brief A job. Queued jobs of a class are linked in the order in which they
/// are to start.
struct Job {
  core::JobId id;
  ClassIndex job_class = kNone;
  JobPhase phase = JobPhase::kQueued;
  std::uint8_t out_of_memory = 0;
  std::uint16_t failures = 0;
  std::uint16_t open_tasks = 0;  ///< Tasks whose end is not confirmed.
  JobIndex previous = kNone;
  JobIndex next = kNone;
  TaskIndex task = kNone;  ///< The task that counts; others are abandoned.
  WorkerIndex reserved_worker = kNone;
  Resources reserved_size;
  core::MonotonicTime reservation_end;
  core::MonotonicTime submitted;
  core::MonotonicTime waiting_since;   ///< Its latest submission or end of run.
  core::MonotonicTime back_off_end;    ///< End of a back-off.
  std::vector<WorkerIndex> failed_on;  ///< Distinct workers.
};

/// @brief Steps by which a task yields to other work.
enum class YieldStep : std::uint8_t {
  kNone,
  kThrottling,
  kThrottled,  ///< Stays so until there is room for its cores again.
  kCheckpointing,
  kStopping,
};

/// @brief One run of a job on a worker, until its end is confirmed.
struct Task {
  JobIndex job = kNone;
  WorkerIndex worker = kNone;
  PoolIndex pool = kNone;  ///< Pool of the worker when it started.
  core::Epoch epoch;
  Resources reserved;   ///< Its limits.
  Resources committed;  ///< What the worker has promised it now.
  core::MonotonicTime started;
  core::MonotonicTime lease_end;
  core::MonotonicTime last_reported;  ///< In a report of its worker.
  core::MonotonicTime step_end;       ///< Bound of the present yield step.
  core::Mebibytes peak_memory;
  core::MilliCores peak_cores;
  YieldStep yield = YieldStep::kNone;
  bool throttle_is_enough = false;
  bool confirmed = false;  ///< The worker reported its start.
  bool checkpointed = false;
  bool abandoned = false;  ///< No longer the job's task, end not confirmed.
  bool non_preemptible = false;  ///< Does not yield.
};

/// @brief Failures on a worker since its last success.
struct WorkerHealth {
  std::vector<JobIndex> failed_jobs;  ///< Distinct; bounded.
  std::uint32_t failed_jobs_proven =
      0;  ///< Of these, later finished on another worker.
  bool quarantined = false;
  core::Millis probe_interval{0};
};

struct Worker {
  core::HostId id;
  Resources shape;
  PoolIndex pool = kNone;
  RackIndex rack = kNone;
  std::uint32_t slot = kNone;  ///< Position in its pool.
  bool lost = false;
  bool draining = false;
  std::vector<TaskIndex> tasks;
  std::vector<JobIndex> reservations;  ///< Jobs for which room is made here.
  Resources committed;                 ///< Sum over its tasks.
  Resources reserved_total;            ///< Sum over its promises.
  core::MonotonicTime reported;        ///< When its latest report was made.
  core::MonotonicTime avoid_until;     ///< A stop was late here.
  WorkerHealth health;
};

/// @brief What was learnt about the sizes of a kind of job.
struct Kind {
  TeamIndex team = kNone;
  std::string name;
  double memory_ratio = 0.0;  ///< Used by declared; a slowly falling maximum.
  double cores_ratio = 0.0;
  std::uint32_t samples = 0;
  std::uint32_t classes = 0;  ///< Without impossible ones.
  std::uint32_t impossible_classes = 0;
  std::unordered_map<RackIndex, std::uint32_t> per_rack;  ///< Running tasks.
};

/// @brief Jobs that are alike for placement: if one of them finds no room,
/// none of them does.
struct ClassKey {
  PoolIndex pool = kNone;
  KindIndex kind = kNone;
  Priority priority = Priority::kNormal;
  bool preemptible = false;
  bool repeatable = true;
  std::uint8_t memory_doublings = 0;  ///< Of memory, after running out of it.
  Resources declared;

  friend bool operator==(const ClassKey&, const ClassKey&) = default;
};

struct JobClass {
  ClassKey key;
  TeamIndex team = kNone;
  bool non_preemptible = false;  ///< Its tasks do not yield.
  bool impossible = false;       ///< With the present pools and quotas.
  JobIndex first = kNone;
  JobIndex last = kNone;
  std::uint32_t queued = 0;
  std::uint32_t jobs = 0;          ///< All that refer to it, with ended ones.
  std::uint32_t position = kNone;  ///< In its pool's list.
};

struct ClassKeyHash {
  std::size_t operator()(const ClassKey& key) const noexcept;
};

struct Team {
  core::TeamName name;
  std::optional<Resources>
      quota;  ///< None: the operator text has no such team.
  Resources used;
  Resources non_preemptible;  ///< Part of used that does not yield.
  /// Less is used since the last step, so that waiting jobs may start.
  bool has_freed_quota = false;
  std::vector<KindIndex> kinds;
  std::vector<ClassIndex> classes;
};

/// @brief Workers of one shape in a pool.
struct ShapeCount {
  Resources shape;
  std::uint32_t workers = 0;
};

struct Pool {
  core::PoolName name;
  std::vector<WorkerIndex> slots;  ///< kNone where a worker left.
  std::vector<std::uint32_t> free_slots;
  HeadroomTree headroom_tree;
  std::vector<ShapeCount> shapes;
  std::uint32_t workers = 0;
  std::uint32_t quarantined = 0;
  Resources capacity;
  Resources non_preemptible;       ///< Held by normal tasks that do not yield.
  std::vector<ClassIndex> urgent;  ///< Classes with queued jobs.
  std::vector<ClassIndex> normal;
  std::vector<ClassIndex> classes;  ///< All, with and without queued jobs.
  core::MonotonicTime next_reclaim;
  std::uint32_t cursor = 0;  ///< Slot at which the next search starts.
  bool dirty = false;  ///< Room, jobs or quotas changed since the last look.
};

enum class TimerKind : std::uint8_t {
  kYieldStep,    ///< Number: a task.
  kReservation,  ///< Number: a job.
  kBackOffEnd,   ///< Number: a job.
  kLease,        ///< Number: a task.
  kProbe,        ///< Number: a worker.
};

/// @brief A deadline. One that no longer applies is dropped when it is due.
struct Timer {
  core::MonotonicTime due;
  TimerKind kind = TimerKind::kYieldStep;
  std::uint32_t number = 0;
  core::Epoch epoch;  ///< Of the task, so that reused positions differ.
};

/// @brief What happened, for metrics.
struct Counters {
  std::uint64_t started = 0;
  std::uint64_t preempted = 0;
  std::uint64_t throttled = 0;
  std::uint64_t late_stops = 0;
  std::uint64_t quarantined = 0;
  std::uint64_t given_up = 0;
  std::uint64_t stale_events = 0;  ///< Of unknown or superseded tasks.
};

/// @brief All state of placement in one zone.
struct State {
  Settings settings;
  /// Next epoch of a task. A new owner of the zone starts above all epochs of
  /// its predecessors.
  core::Epoch next_epoch{1};

  std::vector<Job> jobs;
  std::vector<JobIndex> free_jobs;
  std::deque<JobIndex> ended_jobs;  ///< Oldest first.
  std::vector<Task> tasks;
  std::vector<TaskIndex> free_tasks;
  std::vector<Worker> workers;
  std::vector<WorkerIndex> free_workers;
  std::vector<JobClass> classes;
  std::vector<ClassIndex> free_classes;
  std::vector<Kind> kinds;
  std::vector<Team> teams;
  std::vector<Pool> pools;
  std::vector<core::RackName> racks;

  std::unordered_map<core::JobId, JobIndex> jobs_by_id;
  std::unordered_map<core::HostId, WorkerIndex> workers_by_id;
  std::unordered_map<core::TeamName, TeamIndex> teams_by_name;
  std::unordered_map<core::PoolName, PoolIndex> pools_by_name;
  std::unordered_map<core::RackName, RackIndex> racks_by_name;
  std::unordered_map<ClassKey, ClassIndex, ClassKeyHash> classes_by_key;
  std::unordered_map<core::Epoch, TaskIndex> tasks_by_epoch;

  std::vector<Timer> timers;  ///< A heap; the earliest is in front.
  std::uint64_t steps = 0;
  Resources quota_total;
  Resources used_total;
  Counters counters;
};

}  // namespace camphormux::placement

#endif  // CAMPHORMUX_PLACEMENT_STATE_HPP_
