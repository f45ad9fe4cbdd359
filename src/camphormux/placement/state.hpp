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
/// references inside the state are positions.
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
  kAwaitingPreemption,  ///< Tasks are being preempted for it on a worker.
  kActive,              ///< Has a task that is starting or running.
  kUnconfirmed,  ///< Not repeatable; the end of its run is not confirmed.
  kHeldBack,
  kImpossible,
  kFinished,
  kCancelled,
  kGivenUp,
  kNotTwice,  ///< Not repeatable, and its run did not finish.
};

/// @brief A job. The queued jobs of a class form a doubly linked list in start
/// order.
struct Job {
  core::JobId id;
  ClassIndex job_class = kNone;
  JobPhase phase = JobPhase::kQueued;
  std::uint8_t out_of_memory = 0;
  std::uint16_t failures = 0;
  std::uint16_t open_tasks = 0;  ///< Tasks whose end is not confirmed.
  JobIndex previous = kNone;
  JobIndex next = kNone;
  TaskIndex task = kNone;  ///< Its current task; other tasks are abandoned.
  WorkerIndex reserved_worker = kNone;
  Resources reserved_size;
  core::MonotonicTime reservation_end;
  core::MonotonicTime submitted;
  core::MonotonicTime waiting_since;  ///< Set when it is submitted.
  core::MonotonicTime back_off_end;   ///< When a held-back job is queued again.
  std::vector<WorkerIndex> failed_on;  ///< Distinct workers on which it failed.
};

/// @brief Steps by which a task yields its resources to other jobs.
enum class YieldStep : std::uint8_t {
  kNone,
  kThrottling,
  kThrottled,  ///< Until its cores are free again or it must yield all.
  kCheckpointing,
  kStopping,
};

/// @brief One run of a job on a worker, until its end is confirmed.
struct Task {
  JobIndex job = kNone;
  WorkerIndex worker = kNone;
  PoolIndex pool = kNone;  ///< Pool of the worker when it started.
  core::Epoch epoch;
  Resources reserved;   ///< Its resource limits.
  Resources committed;  ///< Counted against the worker at present.
  core::MonotonicTime started;
  core::MonotonicTime lease_end;
  /// Time of the last report that lists it.
  core::MonotonicTime last_reported;
  core::MonotonicTime step_end;  ///< Deadline of the current yield step.
  core::Mebibytes peak_memory;
  core::MilliCores peak_cores;
  YieldStep yield = YieldStep::kNone;
  bool throttle_is_enough = false;
  bool confirmed = false;  ///< The worker reported its start.
  bool checkpointed = false;
  bool abandoned = false;  ///< No longer the job's task, end not confirmed.
  bool non_preemptible = false;  ///< Must not be preempted.
};

/// @brief Failures on a worker since its last success.
struct WorkerHealth {
  std::vector<JobIndex> failed_jobs;  ///< Distinct; limited in number.
  /// Failed here, then finished on another worker.
  std::uint32_t failed_jobs_proven = 0;
  bool quarantined = false;
  core::Millis probe_interval{0};
};

/// @brief A worker, its tasks and its reservations.
struct Worker {
  core::HostId id;
  Resources shape;
  PoolIndex pool = kNone;
  RackIndex rack = kNone;
  std::uint32_t slot = kNone;  ///< Position in its pool.
  bool lost = false;
  bool draining = false;
  std::vector<TaskIndex> tasks;
  std::vector<JobIndex> reservations;  ///< Jobs with a reservation here.
  Resources committed;                 ///< Sum over its tasks.
  Resources reserved_total;            ///< Sum over its reservations.
  core::MonotonicTime reported;        ///< When it made its latest report.
  /// No preemption here until then: a stop was late.
  core::MonotonicTime avoid_until;
  WorkerHealth health;
};

/// @brief Observed resource usage of a kind of job.
struct Kind {
  TeamIndex team = kNone;
  std::string name;
  double memory_ratio = 0.0;  ///< Used / declared; a slowly decaying maximum.
  double cores_ratio = 0.0;
  std::uint32_t samples = 0;
  std::uint32_t classes = 0;  ///< Not counting impossible ones.
  std::uint32_t impossible_classes = 0;
  std::unordered_map<RackIndex, std::uint32_t> per_rack;  ///< Running tasks.
};

/// @brief Key of a class of jobs that are equivalent for placement: if one of
/// them fits nowhere, none of them does.
struct ClassKey {
  PoolIndex pool = kNone;
  KindIndex kind = kNone;
  Priority priority = Priority::kNormal;
  bool preemptible = false;
  bool repeatable = true;
  /// How often its memory was doubled after running out.
  std::uint8_t memory_doublings = 0;
  Resources declared;

  friend bool operator==(const ClassKey&, const ClassKey&) = default;
};

/// @brief A class of equivalent jobs with its queue.
struct JobClass {
  ClassKey key;
  TeamIndex team = kNone;
  bool non_preemptible = false;  ///< Its tasks must not be preempted.
  /// Can never run with the present pools and quotas.
  bool impossible = false;
  JobIndex first = kNone;
  JobIndex last = kNone;
  std::uint32_t queued = 0;
  std::uint32_t jobs = 0;  ///< All jobs that refer to it, including ended ones.
  std::uint32_t position = kNone;  ///< In its pool's `urgent` or `normal`.
};

struct ClassKeyHash {
  std::size_t operator()(const ClassKey& key) const noexcept;
};

/// @brief A team, its quota and its usage.
struct Team {
  core::TeamName name;
  /// None if the operator text has no such team.
  std::optional<Resources> quota;
  Resources used;
  Resources non_preemptible;  ///< Part of `used` held by non-preemptible jobs.
  /// Usage has decreased since the last step, so queued jobs may start.
  bool has_freed_quota = false;
  std::vector<KindIndex> kinds;
  std::vector<ClassIndex> classes;
};

/// @brief Number of workers of one shape in a pool.
struct ShapeCount {
  Resources shape;
  std::uint32_t workers = 0;
};

/// @brief A pool, its workers and its classes of jobs.
struct Pool {
  core::PoolName name;
  std::vector<WorkerIndex> slots;  ///< kNone if the slot is free.
  std::vector<std::uint32_t> free_slots;
  HeadroomTree headroom_tree;
  std::vector<ShapeCount> shapes;
  std::uint32_t workers = 0;
  std::uint32_t quarantined = 0;
  Resources capacity;
  Resources non_preemptible;       ///< Held by non-preemptible normal jobs.
  std::vector<ClassIndex> urgent;  ///< Urgent classes with queued jobs.
  std::vector<ClassIndex> normal;
  /// All, including those without queued jobs.
  std::vector<ClassIndex> classes;
  core::MonotonicTime next_reclaim;
  std::uint32_t cursor = 0;  ///< Slot where the next search starts.
  bool dirty = false;        ///< Changed since its jobs were last placed.
};

enum class TimerKind : std::uint8_t {
  kYieldStep,    ///< Deadline of a yield step of a task.
  kReservation,  ///< Deadline of a job's reservation.
  kBackOffEnd,   ///< End of the back-off of a held-back job.
  kLease,        ///< End of a task's lease.
  kProbe,        ///< Next probe of a quarantined worker.
};

/// @brief A timer. A timer that no longer applies is ignored when it is due.
struct Timer {
  core::MonotonicTime due;
  TimerKind kind = TimerKind::kYieldStep;
  std::uint32_t number = 0;  ///< Position of the task, job or worker.
  core::Epoch epoch;  ///< Of the task; detects that its position was reused.
};

/// @brief Event counters for metrics.
struct Counters {
  std::uint64_t started = 0;
  std::uint64_t preempted = 0;
  std::uint64_t throttled = 0;
  std::uint64_t late_stops = 0;
  std::uint64_t quarantined = 0;
  std::uint64_t given_up = 0;
  std::uint64_t stale_events = 0;  ///< Events of unknown or abandoned tasks.
};

/// @brief The complete placement state of one zone.
struct State {
  Settings settings;
  /// Epoch of the next task. A new owner of the zone starts above all epochs of
  /// earlier owners.
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

  std::vector<Timer> timers;  ///< A heap with the earliest timer in front.
  std::uint64_t steps = 0;
  Resources quota_total;
  Resources used_total;
  Counters counters;
};

}  // namespace camphormux::placement

#endif  // CAMPHORMUX_PLACEMENT_STATE_HPP_
