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
#include "camphormux/scheduler/run_times.hpp"

namespace camphormux::scheduler {

/// @brief Platform limits and scheduling policy.
struct Settings {
  /// Time that a host keeps its runs without a renewal. Longer than a takeover
  /// by another node (about 3 s) and shorter than the platform's limit.
  core::Millis lease{5000};
  /// Longest lease that a host accepts; it shortens longer ones to this.
  core::Millis longest_lease{10'000};
  /// A scheduled run may start this much before its due time.
  core::Millis max_early_start{250};
  /// Minimum time between orders of two different lease holders for the same
  /// machine.
  core::Millis machine_lease{3000};
  /// Orders for machines that the platform accepts per second.
  std::uint32_t machine_orders_per_second = 64;
  /// Time that a final job state remains available to callers.
  core::Millis status_retention{120'000};
  /// Time after a store outage by which the entries that it removed from the
  /// list of hosts are back.
  core::Millis listing_grace{2500};
  /// Run time multiplier for tasks that run on another rack than their data.
  double remote_factor = 1.0;
  /// Run times are expected from finished runs instead of taken from the
  /// estimates that come with jobs.
  bool learn_run_times = false;
};

enum class RunPhase {
  kOrdered,     ///< The start order was sent.
  kUnanswered,  ///< The start order got no answer; it may still take effect.
  kRunning,
  kStopping,
};

/// @brief One attempt to run a task on a host; kept until its end is certain.
struct Run {
  RunId id;
  RunName name;
  std::uint32_t task = 0;  ///< Position of the task in `Job::tasks`.
  core::HostId host;
  RunPhase phase = RunPhase::kOrdered;
  placement::Resources reserved;  ///< Resources that are reserved on the host.
  workload::AccountName account;  ///< Account of the job; empty if it has none.
  placement::Resources size;      ///< Counts against the cap of the account.
  /// Core seconds that count as served to the account.
  double recorded_work = 0;
  bool best_effort = false;
  bool permanent = false;
  core::Millis estimate{0};
  core::Millis latency_target{0};
  core::MonotonicTime ordered;
  /// Last answer to an order for the run, or when it became uncertain whether
  /// the run exists. Only a report that was requested later can end the run.
  core::MonotonicTime confirmed;
  core::MonotonicTime progressed;  ///< When `percent` last changed.
  core::MonotonicTime stop_sent;
  int percent = 0;
  int pace = 100;
  /// The host may run it at another pace: a previous lease holder set that, or
  /// an order to set it has no answer.
  bool is_pace_in_doubt = false;
  std::int64_t load = 0;
  std::string checkpoint;
  /// Checkpoint that the start order carries.
  std::string resumed_from;
  /// The start order was sent. Until then, no copy of it can take effect.
  bool is_sent = false;
  bool stop_confirmed = false;
  /// A copy of the start order has no answer and may still take effect, so the
  /// refusal of another copy does not end the run.
  bool has_open_copy = false;
  /// When the last copy without an answer was found to have none.
  core::MonotonicTime last_open_copy;
  /// A repetition of the start order was refused.
  bool repetition_refused = false;
  /// The host has seen the end of this attempt or of a newer one, so no copy of
  /// the start can take effect any more.
  bool is_superseded = false;
  core::MonotonicTime start_repeated;
  /// A report of this incarnation of the host has listed the run. An answer to
  /// the start names no incarnation.
  bool was_listed = false;
  /// Fencing token of the last copy of the start order that was sent.
  core::Epoch token;
};

/// @brief A copy of a start without an answer whose run was removed. It may
/// still take effect.
struct OpenCopy {
  RunName name;
  /// The copy can take effect until this time.
  core::MonotonicTime until;
  /// Incarnation of the host that knows of the attempt and refuses further
  /// copies.
  std::optional<core::Incarnation> refused_by;
  workload::AccountName account;  ///< Account of the job; empty if it has none.
  placement::Resources size;
  core::MonotonicTime stop_sent;
};

/// @brief What shows that a run is over, other than its end in a report of its
/// host.
enum class EndEvidence {
  kNotListed,       ///< A later report of the host does not list the run.
  kStopConfirmed,   ///< As kNotListed, after the host confirmed a stop.
  kRefused,         ///< The host refused the start.
  kNotSent,         ///< The start was withdrawn before it was sent.
  kLeaseExpired,    ///< The host does not answer, and its lease has expired.
  kHostReplaced,    ///< The host has another incarnation.
  kMachineOrdered,  ///< The host's machine was moved or taken down.
  kNoMachine,       ///< No machine has the host any more.
  kFenced,          ///< Not listed by a report to a call with a higher token.
};

/// @brief A run that is treated as ended without a report of its end.
struct PresumedEnd {
  RunName name;
  core::HostId host;
  core::Incarnation incarnation;
  EndEvidence evidence = EndEvidence::kNotListed;
  RunPhase phase = RunPhase::kOrdered;  ///< Phase before the end.
  /// Whether a report of this incarnation of the host has listed the run.
  bool was_listed = false;
  /// Whether a copy of the start has no answer.
  bool has_open_copy = false;
  core::MonotonicTime ordered;
  core::MonotonicTime lease_end;
  /// What is known of the host's incarnation: see `Host`.
  std::int64_t deadline_ms = 0;
  core::MonotonicTime last_report;
  std::optional<std::int64_t> heartbeat_clock_ms;
  core::MonotonicTime last_heartbeat;
};

/// @brief A run that a host lists although it was not expected there.
struct UnexpectedRun {
  RunName name;
  core::HostId host;
  core::Incarnation incarnation;
  /// Whether the job is open and the task not done.
  bool is_open = false;
  /// Host of another run of the task; empty if there is none.
  core::HostId other_host;
};

/// @brief Ends that are missing between those that a host has reported: it has
/// forgotten them, as they were acknowledged to it.
struct MissingEnds {
  core::HostId host;
  core::Incarnation incarnation;
  EndNumber first;
  EndNumber last;
};

/// @brief The reported end of a run that this lease holder no longer knew.
struct UnexpectedEnd {
  RunName name;
  core::HostId host;
  core::Incarnation incarnation;
  EndKind kind = EndKind::kDone;
  /// Host of another run of the task; empty if there is none.
  core::HostId other_host;
};

/// @brief The first report of an incarnation of a host to this lease holder.
struct FirstReport {
  core::HostId host;
  core::Incarnation incarnation;
  core::Epoch token;  ///< Fencing token of the call.
  std::size_t running = 0;
  std::size_t ended = 0;
  EndNumber first_end;  ///< 0 if no end is listed.
  core::MonotonicTime lease_end;
};

/// @brief A task of a job and its present runs.
struct Task {
  workload::TaskProgress progress;
  std::vector<RunId> runs;
  core::HostId failed_on;  ///< Host of the task's last failure.
};

/// @brief An accepted job that is not final yet or still has runs to be
/// stopped.
struct Job {
  workload::JobSpec spec;
  /// Its pool is empty if no policy is known: an earlier version of the program
  /// stored the job, and the catalog does not have its queue.
  workload::JobPolicy policy;
  bool policy_saved = false;  ///< The policy is stored, or is being stored.
  workload::JobState state = workload::JobState::kQueued;
  core::WallTime accepted;
  core::WallTime ended;
  core::MonotonicTime submitted;
  double core_seconds = 0;
  core::Millis remaining_path{0};  ///< Critical path of the incomplete steps.
  std::vector<core::Millis> run_times;  ///< Expected for each step's tasks.
  bool permanent = false;
  bool saved = false;        ///< The submission is stored.
  bool final_saved = false;  ///< The final state is stored.
  /// The final state is stored, or is being stored, with a list of runs.
  bool final_runs_saved = false;
  /// The store rejected the records of the job, so none of its tasks starts.
  bool rejected = false;
  std::vector<Task> tasks;
  /// Number of incomplete tasks for each step of each occurrence.
  std::vector<std::uint32_t> open_in_step;
  std::uint32_t open_tasks = 0;
};

/// @brief A finished job whose final state is still available to callers.
struct ClosedJob {
  workload::JobState state = workload::JobState::kSucceeded;
  core::MonotonicTime forget_at;
  workload::AccountName account;  ///< Empty if it has none.
};

/// @brief Cancellation of a job that was not known. Its submission may still
/// arrive, and must not run then.
struct Tombstone {
  bool is_stored = false;
  core::MonotonicTime forget_at;  ///< Set once it is stored.
  workload::Caller caller;  ///< Only jobs that it may access are cancelled.
};

/// @brief A host: one incarnation of a machine as a member of a pool.
struct Host {
  HostListing listing;
  bool listed = true;
  /// If not listed: when the host is considered gone.
  core::MonotonicTime gone_at;
  /// Consecutive lists of machines without this host since it last answered.
  std::uint32_t missed_machine_lists = 0;
  /// The host has reported all its runs to this lease holder.
  bool synced = false;
  /// An earlier incarnation of the host has reported to this lease holder.
  bool restarted = false;
  /// Calls to an earlier incarnation may take effect until the first report.
  bool has_earlier_calls = false;
  /// Fencing token of the calls to the host.
  core::Epoch token;
  /// Calls with the present token may still take effect and must not: no start
  /// is sent before the token is raised, nor any call to a host that has not
  /// reported.
  bool needs_token = false;
  /// The host takes no new runs, as it is about to leave.
  bool reserved = false;
  /// The last report listed runs that are not known and are being stopped. They
  /// take resources that are not in `committed`.
  bool lists_unknown_runs = false;
  /// It listed such runs, and the host is not known to refuse a start for which
  /// they leave no room.
  bool stops_unknown_runs = false;
  placement::Resources committed;
  std::vector<RunId> runs;
  std::uint32_t best_effort_runs = 0;  ///< Runs that only use idle cores.
  std::vector<OpenCopy> open_copies;
  EndNumber ended;  ///< Highest sequence number of a processed end.
  /// No run that was ordered so far runs or starts on the known incarnation of
  /// the host after this time.
  core::MonotonicTime lease_end;
  /// When this lease holder granted the last lease. An incarnation that is not
  /// known may take it for the longest lease.
  std::optional<core::MonotonicTime> last_grant;
  /// Time on the clock of the present incarnation by which it has ended all
  /// leases that it was granted.
  std::int64_t deadline_ms = 0;
  core::MonotonicTime last_report;
  /// Latest clock reading in the entries of the present incarnation, and when
  /// that entry was read.
  std::optional<std::int64_t> heartbeat_clock_ms;
  core::MonotonicTime last_heartbeat;
  std::optional<core::MonotonicTime> unresponsive_since;
  /// Another host answers at its address. It may have ended, or may be alive
  /// and out of reach.
  bool address_taken = false;
  /// No run is started before this time, as the host refused one.
  core::MonotonicTime busy_until;
  core::MonotonicTime idle_since;
  /// Distinct jobs that failed here since the last success.
  std::set<core::JobId> failed_jobs;
  core::MonotonicTime quarantined_until;
  std::uint32_t quarantines = 0;
};

/// @brief Incarnations of a host that have ended, but which the list of hosts
/// may still name.
struct EndedIncarnations {
  std::set<core::Incarnation> incarnations;
  /// Since when the list does not name the host.
  std::optional<core::MonotonicTime> unlisted_since;
};

/// @brief A machine of the cloud and the state of the orders for it.
struct Machine {
  MachineListing listing;
  bool order_pending = false;
  /// When the pending order first got no answer. It may have taken effect, or
  /// may still.
  std::optional<core::MonotonicTime> unanswered_since;
  core::MonotonicTime ordered;
  /// No upkeep is prepared before this time, as the platform refused one.
  core::MonotonicTime upkeep_allowed_from;
  /// Destination of a move in progress; otherwise empty.
  core::PoolName target;
  /// Host that ends when the last order takes effect.
  core::HostId ordered_host;
  /// Its incarnation; 0 if it was not known.
  core::Incarnation ordered_incarnation;
  /// Pool that the last order for a move names.
  core::PoolName ordered_pool;
};

/// @brief Machines of a wave that have not begun their upkeep, by what they
/// wait for.
struct WaveBacklog {
  std::uint32_t ordered = 0;   ///< Down, or about to be.
  std::uint32_t draining = 0;  ///< The host is being emptied.
  /// Enough machines of the wave are down or being emptied.
  std::uint32_t queued = 0;
  std::uint32_t pool_in_service = 0;  ///< The pool needs the host in service.
  /// A permanent task without a host fits on this one.
  std::uint32_t needed_by_task = 0;
  /// Permanent tasks on the host may not be stopped.
  std::uint32_t tasks_must_run = 0;
  std::uint32_t unavailable = 0;  ///< Not up, or not to be ordered yet.
};

/// @brief A maintenance wave and its progress.
struct Wave {
  WaveRequest request;
  core::MonotonicTime seen;
  std::set<MachineId> begun;
  WaveBacklog backlog;     ///< As of the last pass.
  bool announced = false;  ///< The state "running" was written to the store.
  bool complete = false;
};

/// @brief Rate at which work arrives at a pool: two exponentially weighted
/// moving averages, in core seconds per second.
struct ArrivalRate {
  double fast = 0;
  double slow = 0;
  core::MonotonicTime updated;
};

/// @brief Work that was started for a client account: an exponentially
/// decaying sum.
struct ServedWork {
  double core_seconds = 0;
  core::MonotonicTime updated;
};

/// @brief Demand and share of a client account in a pool.
struct AccountShare {
  double weight = 1.0;
  double served = 0;    ///< Core seconds that were started for it lately.
  double waiting = 0;   ///< Core seconds of its ready tasks without a run.
  double entitled = 0;  ///< Part of the pool's core seconds that is its own.
};

/// @brief Division of a pool among client accounts.
struct PoolShares {
  /// Core seconds by weight that each account may have; infinite if there is
  /// room for all.
  double level = 0;
  std::map<workload::AccountName, AccountShare> accounts;
};

/// @brief Refused submissions of a client account since the last report.
struct AccountRefusals {
  std::uint64_t above_cap = 0;
  std::uint64_t share_in_use = 0;
  std::uint64_t no_time_left = 0;
};

/// @brief Work of a pool since the last report.
struct PoolWork {
  /// Runs of jobs that could still meet their objective.
  std::uint64_t started_in_time = 0;
  std::uint64_t started_late = 0;
  double done_in_time = 0;  ///< Core seconds of jobs that met their objective.
  /// Core seconds of jobs that ended late, but while their result had some
  /// value.
  double done_late = 0;
  /// Core seconds of jobs that ended too late for their result to have any
  /// value.
  double done_worthless = 0;
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

/// @brief Complete state of the scheduler in the process that holds the lease.
/// Plain data: decisions are free functions.
struct State {
  Settings settings;
  /// Highest fencing token of the calls to hosts; not below the epoch of the
  /// lease holder.
  core::Epoch token;
  /// A previous holder has used the token, so it must be raised first.
  bool is_token_used = false;
  workload::Catalog catalog;
  std::unordered_map<core::JobId, Job> jobs;
  std::unordered_map<core::JobId, ClosedJob> closed;
  std::unordered_map<core::JobId, Tombstone> tombstones;
  std::map<core::HostId, Host> hosts;
  /// Host incarnations that are known to have ended.
  std::map<core::HostId, EndedIncarnations> ended_incarnations;
  std::unordered_map<RunId, Run> runs;
  RunId next_run{1};
  std::map<MachineId, Machine> machines;
  /// No orders for these machines before this time: a previous lease holder
  /// ordered them recently, or an order could not be stored.
  std::map<MachineId, core::MonotonicTime> machine_order_allowed_from;
  std::map<WaveId, Wave> waves;
  std::set<core::JobId> unsaved;  ///< Jobs whose progress has to be stored.
  /// Final jobs of which a run has ended since the last planning pass.
  std::vector<core::JobId> ended;
  /// Emptied by the owner of the state, which logs them.
  std::vector<PresumedEnd> presumed_ends;
  std::vector<UnexpectedRun> unexpected_runs;
  std::vector<MissingEnds> missing_ends;
  std::vector<UnexpectedEnd> unexpected_ends;
  std::vector<FirstReport> first_reports;
  /// Orders to send; the owner of the state empties the list.
  std::vector<Order> orders;
  core::MonotonicTime took_over;
  bool machines_known = false;
  core::MonotonicTime last_listing;
  core::MonotonicTime next_check;
  core::MonotonicTime next_balance;
  /// Moves that may be ordered now without exceeding the platform's limit.
  double move_budget = 0;
  core::MonotonicTime move_budget_updated;
  core::MonotonicTime next_upkeep;
  /// Pools that need another host, to which permanent tasks can move from a
  /// host that waits for its upkeep.
  std::set<core::PoolName> pools_without_room_for_upkeep;
  std::map<core::PoolName, core::MonotonicTime> last_pending;
  std::map<core::PoolName, ArrivalRate> arrival_rates;
  /// Cores of ready tasks that were not placed in the last planning pass.
  std::map<core::PoolName, core::MilliCores> waiting;
  /// What each client account has running, at any stage, and what copies of
  /// starts without a run may still bring; the latter as of the last planning
  /// pass.
  std::map<workload::AccountName, placement::Resources> running_of_accounts;
  std::map<workload::AccountName, placement::Resources> open_copies_of_accounts;
  std::map<core::PoolName, std::map<workload::AccountName, ServedWork>>
      served_work;
  /// As of the last planning pass; only pools with demand of client accounts.
  std::map<core::PoolName, PoolShares> shares;
  /// Emptied by the owner of the state with each report.
  std::map<workload::AccountName, AccountRefusals> refusals;
  RunTimes run_times;
  /// Emptied by the owner of the state with each report.
  std::map<core::PoolName, PoolWork> work;
  Counters counters;
};

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_STATE_HPP_
