#ifndef CAMPHORMUX_SCHEDULER_STATE_HPP_
#define CAMPHORMUX_SCHEDULER_STATE_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "camphormux/scheduler/events.hpp"

namespace camphormux::scheduler {

/// @brief Bounds that the platform sets and policy of the scheduler.
struct Settings {
  /// How long a host runs on without a renewal. Longer than the takeover by
  /// another node (about 3 s), shorter than the platform's limit.
  core::Millis lease{5000};
  /// A run may begin this much before its due time.
  core::Millis max_early_start{250};
  /// Least time between the orders of two holders for one machine.
  core::Millis machine_lease{3000};
  /// A final state is kept this long for callers.
  core::Millis status_retention{120'000};
  /// Entries that a store outage removed are back by then.
  core::Millis listing_grace{2500};
  /// Run time multiplier away from the data.
  double remote_factor = 1.0;
};

enum class RunPhase {
  kOrdered,     ///< The start is on its way.
  kUnanswered,  ///< The start was not answered; it may still take effect.
  kRunning,
  kStopping,
};

/// @brief One start of a task on a host, until its end is certain.
struct Run {
  RunId id;
  RunName name;
  std::uint32_t task = 0;  ///< Position in the job's list.
  core::HostId host;
  RunPhase phase = RunPhase::kOrdered;
  placement::Resources reserved;  ///< What it takes from the host's room.
  bool best_effort = false;
  bool permanent = false;
  core::Millis estimate{0};
  core::Millis latency_target{0};
  core::MonotonicTime ordered;
  core::MonotonicTime confirmed;
  core::MonotonicTime progressed;  ///< Last time that `percent` rose.
  core::MonotonicTime stop_sent;
  int percent = 0;
  int pace = 100;
  std::int64_t load = 0;
  std::string checkpoint;
  bool stop_confirmed = false;
};

struct Task {
  workload::TaskProgress progress;
  std::vector<RunId> runs;
  core::HostId failed_on;  ///< Host of its last failure.
};

/// @brief An accepted job that is not final, or whose runs are being stopped.
struct Job {
  workload::JobSpec spec;
  core::PoolName pool;
  std::uint32_t priority = 0;
  std::uint32_t max_failures = 1;
  workload::JobState state = workload::JobState::kQueued;
  core::WallTime accepted;
  core::WallTime ended;
  core::MonotonicTime submitted;
  core::Millis objective{0};  ///< From submission; 0: permanent or scheduled.
  double core_seconds = 0;
  core::Millis remaining_path{0};  ///< Of the steps that are not complete.
  bool permanent = false;
  bool saved = false;        ///< The submission lies in the store.
  bool final_saved = false;  ///< The final state lies in the store.
  std::vector<Task> tasks;
  /// Tasks that are not done, for each step of each occurrence.
  std::vector<std::uint32_t> open_in_step;
  std::uint32_t open_tasks = 0;
};

/// @brief A job whose final state is still told to callers.
struct ClosedJob {
  workload::JobState state = workload::JobState::kSucceeded;
  core::MonotonicTime forget_at;
};

/// @brief One life of a machine as a member of a pool.
struct Host {
  HostListing listing;
  bool listed = true;
  core::MonotonicTime gone_at;  ///< If not listed: when it counts as gone.
  /// Successive lists of machines without it, since it was listed last.
  std::uint32_t missed_machine_lists = 0;
  bool synced = false;    ///< Reported all it has to this holder.
  bool reserved = false;  ///< Takes no new runs: it is about to leave.
  placement::Resources committed;
  std::vector<RunId> runs;
  std::uint32_t best_effort_runs = 0;  ///< Runs that use idle cores.
  EndNumber ended;                     ///< Highest end that was processed.
  /// Nothing that was ordered so far runs or starts here later than this.
  core::MonotonicTime lease_end;
  core::MonotonicTime last_report;
  std::optional<core::MonotonicTime> unresponsive_since;
  core::MonotonicTime busy_until;  ///< No starts before: it refused one.
  core::MonotonicTime idle_since;
  std::set<core::JobId> failed_jobs;  ///< Since its last success.
  core::MonotonicTime quarantined_until;
  std::uint32_t quarantines = 0;
};

/// @brief What is known of a machine of the cloud.
struct Machine {
  MachineListing listing;
  bool order_pending = false;
  bool unanswered = false;  ///< The pending order may have taken effect.
  core::MonotonicTime ordered;
  core::PoolName target;      ///< Of a move under way; else empty.
  core::HostId ordered_host;  ///< Its life that the last order ends.
};

struct Wave {
  WaveRequest request;
  core::MonotonicTime seen;
  std::set<MachineId> begun;
  bool announced = false;  ///< Its state "running" was written.
  bool complete = false;
};

/// @brief Work that arrives at a pool: exponentially weighted averages, in core
/// seconds a second.
struct ArrivalRate {
  double fast = 0;
  double slow = 0;
  core::MonotonicTime updated;
};

/// @brief What a pool's room was used for since the last report.
struct PoolWork {
  std::uint64_t started_in_time = 0;  ///< Runs of jobs that could be in time.
  std::uint64_t started_late = 0;
  double done_in_time = 0;    ///< Core seconds of jobs that met the objective.
  double done_late = 0;       ///< Of jobs that ended after it.
  double done_worthless = 0;  ///< Of jobs that ended too late to be worth any.
};

struct Counters {
  std::uint64_t accepted = 0;
  std::uint64_t refused = 0;
  std::uint64_t started = 0;
  std::uint64_t copies = 0;
  std::uint64_t rejected_starts = 0;
  std::uint64_t unanswered_starts = 0;
  std::uint64_t stopped = 0;
  std::uint64_t moves = 0;
  std::uint64_t quarantined = 0;
};

/// @brief All state of the holder. Plain data: decisions are free functions.
struct State {
  Settings settings;
  workload::Catalog catalog;
  std::unordered_map<core::JobId, Job> jobs;
  std::unordered_map<core::JobId, ClosedJob> closed;
  std::map<core::HostId, Host> hosts;
  /// Lives of hosts that are known to be over, while the list still has them.
  std::map<core::HostId, core::Incarnation> ended_incarnations;
  std::unordered_map<RunId, Run> runs;
  RunId next_run{1};
  std::map<MachineId, Machine> machines;
  /// Machines that an earlier holder ordered lately: not ordered before then.
  std::map<MachineId, core::MonotonicTime> machine_order_allowed_from;
  std::map<WaveId, Wave> waves;
  std::set<core::JobId> unsaved;   ///< Jobs whose progress is to be written.
  std::vector<core::JobId> ended;  ///< Final jobs of which a run has ended.
  std::vector<Order> orders;       ///< To be sent; the owner empties it.
  core::MonotonicTime took_over;
  bool machines_known = false;
  core::MonotonicTime last_listing;
  core::MonotonicTime next_check;
  core::MonotonicTime next_balance;
  core::MonotonicTime next_upkeep;
  std::map<core::PoolName, core::MonotonicTime> last_pending;
  std::map<core::PoolName, ArrivalRate> arrival_rates;
  /// Cores of ready tasks without room, as of the last planning pass.
  std::map<core::PoolName, core::MilliCores> waiting;
  /// The owner empties it with each report.
  std::map<core::PoolName, PoolWork> work;
  Counters counters;
};

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_STATE_HPP_
