#include "camphormux/scheduler/admission.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <map>

#include "camphormux/scheduler/arrivals.hpp"
#include "camphormux/scheduler/hosts.hpp"
#include "camphormux/scheduler/shares.hpp"
#include "camphormux/scheduler/upkeep.hpp"
#include "camphormux/scheduler/urgency.hpp"

namespace camphormux::scheduler {
namespace internal {

constexpr double kMilliCoresPerCore = 1000.0;
constexpr double kMillisPerSecond = 1000.0;
/// From the order of a move to the first run on the moved host.
constexpr core::Millis kMoveDuration{2000};
/// Share of the platform's limit that moves use.
constexpr double kMoveShare = 0.9;
/// Longest wait that is computed.
constexpr core::Millis kMaxWait{60'000};
/// Limits of the retry time. The minimum is a second, the unit of the
/// Retry-After header.
constexpr core::Millis kMinRetryAfter{1'000};
constexpr core::Millis kMaxRetryAfter{10'000};
/// Room is kept for a refused caller for this time after it was to return.
constexpr core::Millis kReturnGrace{1'000};
/// Limits the memory that refused jobs take.
constexpr std::size_t kMaxRefused = 1'000;
/// Backlogs are measured again if the last planning pass was longer ago.
constexpr core::Millis kMaxAge{1'000};
constexpr core::Millis kStopDuration{100};
/// A job may take the place of accepted ones that are this much larger: their
/// room serves more callers so.
constexpr double kDisplacedSize = 4.0;

double ToCores(core::MilliCores cores) {
  return static_cast<double>(cores.value) / kMilliCoresPerCore;
}

double Seconds(core::Millis span) {
  return static_cast<double>(span.count()) / kMillisPerSecond;
}

/// Hosts of other pools that a pool may get.
struct MovableRoom {
  double cores = 0;
  double per_second = 0;  ///< Cores that join per second.
};

double CoresAt(const MovableRoom& room, core::Millis after) {
  return std::clamp(room.per_second * Seconds(after - kMoveDuration), 0.0,
                    room.cores);
}

double CoreSecondsUntil(const MovableRoom& room, core::Millis after) {
  const double time = Seconds(after - kMoveDuration);
  if (time <= 0 || room.cores <= 0 || room.per_second <= 0) {
    return 0;
  }
  const double joining = std::min(time, room.cores / room.per_second);
  return room.per_second * joining * joining / 2 +
         room.cores * (time - joining);
}

std::size_t SlotOf(core::Millis after) {
  return static_cast<std::size_t>(std::clamp<std::int64_t>(
      after / Room::kSlot, 0, static_cast<std::int64_t>(Room::kSlots) - 1));
}

double CoreSecondsUntil(const Room& room, core::Millis after) {
  const std::size_t slot = SlotOf(after);
  const double before = slot == 0 ? 0.0 : room.core_seconds[slot - 1];
  return before +
         room.cores[slot] *
             Seconds(after - Room::kSlot * static_cast<std::int64_t>(slot));
}

const PoolBacklog& BacklogOf(const Backlogs& backlogs,
                             const core::PoolName& pool) {
  static const PoolBacklog empty;
  const auto found = backlogs.pools.find(pool);
  return found == backlogs.pools.end() ? empty : found->second;
}

MovableRoom MovableRoomOf(const Backlogs& backlogs, const PoolBacklog& backlog,
                          double own_work) {
  double work = own_work;
  for (const BacklogEntry& entry : backlog.accepted) {
    work += entry.core_seconds;
  }
  const double total = backlogs.lack + work;
  const double part = total <= 0 ? 1.0 : (backlog.lack + work) / total;
  const double cores = backlogs.standby + backlogs.spare - backlog.spare;
  return {std::max(0.0, cores) * part, backlogs.moved_per_second * part};
}

/// Work of a pool as seen from a rank.
struct SplitWork {
  /// Placed first, by the slot in which it becomes expiring.
  std::array<double, PoolBacklog::kSlots> before{};
  std::array<double, PoolBacklog::kSlots> behind{};  ///< Placed later.
};

std::size_t SlotOfExpiry(const BacklogEntry& entry,
                         core::MonotonicTime measured) {
  return static_cast<std::size_t>(std::clamp<std::int64_t>(
      (entry.expiring_at - measured) / PoolBacklog::kSlot, 0,
      static_cast<std::int64_t>(PoolBacklog::kSlots) - 1));
}

SplitWork SplitByRank(const PoolBacklog& backlog, const Rank& rank,
                      core::MonotonicTime measured) {
  SplitWork split;
  for (std::size_t slot = 0; slot < PoolBacklog::kSlots; ++slot) {
    const std::vector<BacklogEntry>& entries = backlog.waiting[slot];
    if (entries.empty()) {
      continue;
    }
    const auto first_behind = std::partition_point(
        entries.begin(), entries.end(),
        [&](const BacklogEntry& entry) { return entry.rank <= rank; });
    const double before =
        first_behind == entries.begin() ? 0.0 : std::prev(first_behind)->total;
    split.before[slot] += before;
    split.behind[slot] = entries.back().total - before;
  }
  for (const BacklogEntry& entry : backlog.accepted) {
    if (entry.rank <= rank) {
      split.before[SlotOfExpiry(entry, measured)] += entry.core_seconds;
    }
  }
  return split;
}

/// Sums the work of jobs that a job must not displace once it is expiring.
double WorkOfSimilarSize(const PoolBacklog& backlog, Rank rank) {
  rank.core_seconds *= kDisplacedSize;
  double work = 0;
  for (const Urgency urgency :
       {Urgency::kExpiring, Urgency::kOnTime, Urgency::kLate}) {
    rank.urgency = urgency;
    const Rank first{rank.beyond_share, urgency, 0, false, 0, {}};
    const auto is_ahead = [&](const BacklogEntry& entry) {
      return first <= entry.rank && entry.rank <= rank;
    };
    for (const std::vector<BacklogEntry>& entries : backlog.waiting) {
      const auto begin = std::partition_point(
          entries.begin(), entries.end(),
          [&](const BacklogEntry& entry) { return entry.rank < first; });
      const auto end = std::partition_point(begin, entries.end(), is_ahead);
      if (begin != end) {
        work += std::prev(end)->total - begin->total + begin->core_seconds;
      }
    }
    for (const BacklogEntry& entry : backlog.accepted) {
      work += is_ahead(entry) ? entry.core_seconds : 0.0;
    }
  }
  return work;
}

/// Sums the work that is placed before a job which starts in a slot.
double WorkUntil(const SplitWork& split, std::size_t last) {
  double work = 0;
  for (std::size_t slot = 0; slot < PoolBacklog::kSlots; ++slot) {
    work += split.before[slot] + (slot <= last ? split.behind[slot] : 0.0);
  }
  return work;
}

/// As WorkUntil, without work that cannot start before it is overdue.
double PossibleWork(const SplitWork& split,
                    const std::array<double, PoolBacklog::kSlots>& limits,
                    std::size_t last) {
  double work = 0;
  for (std::size_t slot = 0; slot < PoolBacklog::kSlots; ++slot) {
    const double added =
        split.before[slot] + (slot <= last ? split.behind[slot] : 0.0);
    work = std::min(work + added, std::max(work, limits[slot]));
  }
  return work;
}

/// Sums the work of refused jobs that are placed before a job when they return.
/// @param until Only jobs that are to return by this time count.
double RefusedAhead(const Backlogs& backlogs, const core::JobId& id,
                    const Candidate& candidate, core::MonotonicTime now,
                    core::MonotonicTime until) {
  double work = 0;
  for (const auto& [other, refused] : backlogs.refused) {
    if (refused.pool == candidate.pool && other != id &&
        refused.rank < candidate.rank && refused.return_at <= until &&
        now < refused.return_at + kReturnGrace) {
      work += refused.core_seconds;
    }
  }
  return work;
}

/// Estimates when a run ends. One that takes longer than estimated is expected
/// to take another half of its present run time, up to its estimate.
core::Millis RemainingTime(const Run& run, core::MonotonicTime now) {
  if (run.phase == RunPhase::kStopping) {
    return kStopDuration;
  }
  const core::Millis elapsed = now - run.ordered;
  return std::min(run.estimate, std::max(run.estimate - elapsed, elapsed / 2));
}

bool IsRanked(const Job& job) {
  return !job.permanent && job.spec.occurrences == 0 &&
         !workload::IsFinal(job.state) && HasPolicy(job);
}

/// Returns whether the cap of a job's account keeps all its tasks from
/// starting.
bool IsAtCap(const State& state, const Job& job) {
  return std::all_of(job.spec.steps.begin(), job.spec.steps.end(),
                     [&](const workload::Step& step) {
                       return TasksWithinCap(state, job.spec.account,
                                             step.size) == 0;
                     });
}

/// Returns the core seconds of a job's tasks that are neither done nor have a
/// run, also of steps that are not ready.
double OpenWork(const Job& job) {
  double work = 0;
  std::size_t first = 0;
  for (const workload::Step& step : job.spec.steps) {
    const auto begin = job.tasks.begin() + static_cast<std::ptrdiff_t>(first);
    const auto open =
        std::count_if(begin, begin + step.count, [](const Task& task) {
          return !task.progress.done && task.runs.empty();
        });
    work += static_cast<double>(open) * ToCores(step.size.cores) *
            Seconds(step.estimate);
    first += step.count;
  }
  return work;
}

void MeasureWaiting(State& state, const std::set<const Job*>& beyond_share,
                    core::MonotonicTime now) {
  for (const auto& [id, job] : state.jobs) {
    if (!IsRanked(job) || job.rejected) {
      continue;
    }
    const double work = OpenWork(job);
    if (work <= 0 || IsAtCap(state, job)) {
      continue;
    }
    BacklogEntry entry{RankOf(job, now), work, ExpiringAt(job), 0};
    if (entry.rank.urgency == Urgency::kOverdue) {
      continue;  // Takes only room that no other job wants.
    }
    entry.rank.beyond_share = beyond_share.contains(&job);
    AddWaiting(state.backlogs.pools[job.policy.pool], entry, now);
  }
  for (auto& [pool, backlog] : state.backlogs.pools) {
    SortWaiting(backlog);
  }
}

void MeasureHosts(State& state, core::MonotonicTime now) {
  /// Capacity of a pool beyond what it needs, and what its idle hosts have.
  struct Spare {
    double capacity = 0;
    double reserved = 0;
    double permanent = 0;
    double idle = 0;
  };
  std::map<core::PoolName, Spare> spares;
  std::set<core::HostId> machine_hosts;
  for (const auto& [id, machine] : state.machines) {
    machine_hosts.insert(machine.listing.host);
  }
  std::map<core::PoolName, double> joined;
  for (const auto& [id, host] : state.hosts) {
    if (!host.listed || host.reserved || host.listing.draining) {
      continue;
    }
    Room& room = state.backlogs.pools[host.listing.pool].room;
    Spare& spare = spares[host.listing.pool];
    const double capacity = ToCores(host.listing.capacity.cores);
    spare.capacity += capacity;
    spare.reserved += ToCores(host.committed.cores);
    AddCores(room, core::Millis(0),
             std::max(0.0, capacity - ToCores(host.committed.cores)));
    for (const RunId run_id : host.runs) {
      const Run& run = state.runs.at(run_id);
      if (run.permanent) {
        spare.permanent += ToCores(run.reserved.cores);
      } else {
        AddCores(room, RemainingTime(run, now), ToCores(run.reserved.cores));
      }
    }
    if (!machine_hosts.contains(id)) {
      joined[host.listing.pool] += capacity;
    }
    spare.idle += host.runs.empty() ? capacity : 0.0;
  }
  double machines = 0;
  double machine_cores = 0;
  for (const auto& [id, machine] : state.machines) {
    const double cores = ToCores(machine.listing.capacity.cores);
    ++machines;
    machine_cores += cores;
    if (!machine.target.value.empty()) {
      // A host that has joined but is not linked to its machine counts once.
      double& present = joined[machine.target];
      const double counted = std::min(present, cores);
      present -= counted;
      AddCores(state.backlogs.pools[machine.target].room,
               std::max(core::Millis(0), machine.ordered + kMoveDuration - now),
               cores - counted);
    } else if (machine.listing.state == MachineState::kUp &&
               !machine.order_pending &&
               IsStandby(state, machine.listing.pool) &&
               !state.hosts.contains(machine.listing.host)) {
      state.backlogs.standby += cores;
    }
  }
  if (machines > 0) {
    state.backlogs.moved_per_second = machine_cores / machines * kMoveShare *
                                      state.settings.machine_orders_per_second;
  }
  for (const auto& [pool, spare] : spares) {
    const double needed = std::max(
        spare.reserved, spare.permanent + CurrentArrivalRate(state, pool, now));
    state.backlogs.pools[pool].spare =
        std::clamp(spare.capacity - needed, 0.0, spare.idle);
  }
}

}  // namespace internal

void AddCores(Room& room, core::Millis after, double cores) {
  const std::size_t slot = internal::SlotOf(after);
  if (slot + 1 == Room::kSlots) {
    room.cores[slot] += cores;
    return;
  }
  // The slot in which they become free counts in proportion.
  const core::Millis slot_start = Room::kSlot * static_cast<std::int64_t>(slot);
  const double part = 1.0 - internal::Seconds(after - slot_start) /
                                internal::Seconds(Room::kSlot);
  room.cores[slot] += cores * part;
  room.cores[slot + 1] += cores * (1.0 - part);
}

void SumRoom(Room& room) {
  double cores = 0;
  double core_seconds = 0;
  for (std::size_t i = 0; i < Room::kSlots; ++i) {
    cores += room.cores[i];
    room.cores[i] = cores;
    core_seconds += cores * internal::Seconds(Room::kSlot);
    room.core_seconds[i] = core_seconds;
  }
}

void AddWaiting(PoolBacklog& backlog, const BacklogEntry& entry,
                core::MonotonicTime measured) {
  backlog.waiting[internal::SlotOfExpiry(entry, measured)].push_back(entry);
}

void SortWaiting(PoolBacklog& backlog) {
  for (std::vector<BacklogEntry>& entries : backlog.waiting) {
    std::sort(entries.begin(), entries.end(),
              [](const BacklogEntry& a, const BacklogEntry& b) {
                return a.rank < b.rank;
              });
    double total = 0;
    for (BacklogEntry& entry : entries) {
      total += entry.core_seconds;
      entry.total = total;
    }
  }
}

std::optional<Wait> EstimateWait(const Backlogs& backlogs,
                                 const Candidate& candidate, double reserved) {
  const PoolBacklog& backlog = internal::BacklogOf(backlogs, candidate.pool);
  const internal::MovableRoom movable =
      internal::MovableRoomOf(backlogs, backlog, candidate.core_seconds);
  const auto cores_at = [&](core::Millis after) {
    return backlog.room.cores[internal::SlotOf(after)] +
           internal::CoresAt(movable, after);
  };
  const double most_cores = cores_at(internal::kMaxWait);
  if (most_cores <= 0) {
    return std::nullopt;
  }
  // A task that is larger than all of this waits for hosts that are not known.
  const double required = std::min(candidate.task_cores, most_cores);
  const auto has_room = [&](core::Millis after, double work) {
    return cores_at(after) >= required &&
           internal::CoreSecondsUntil(backlog.room, after) +
                   internal::CoreSecondsUntil(movable, after) >=
               work;
  };
  const internal::SplitWork split =
      internal::SplitByRank(backlog, candidate.rank,
                            backlogs.measured.value_or(core::MonotonicTime{}));
  // What can start by the end of each slot before it is overdue.
  std::array<double, PoolBacklog::kSlots> limits{};
  for (std::size_t slot = 0; slot < PoolBacklog::kSlots; ++slot) {
    const core::Millis last_start =
        PoolBacklog::kSlot * static_cast<std::int64_t>(slot + 1) +
        kExpiringMargin;
    limits[slot] = internal::CoreSecondsUntil(backlog.room, last_start) +
                   internal::CoreSecondsUntil(movable, last_start);
  }
  const auto search = [&](core::Millis start, core::Millis end, double work) {
    while (start < end) {
      const core::Millis middle = start + (end - start) / 2;
      if (has_room(middle, work)) {
        end = middle;
      } else {
        start = middle + core::Millis(1);
      }
    }
    return end;
  };
  Wait wait;
  core::Millis start{0};
  core::Millis end = internal::kMaxWait;
  for (std::size_t slot = 0; slot < PoolBacklog::kSlots; ++slot) {
    const core::Millis slot_end =
        PoolBacklog::kSlot * static_cast<std::int64_t>(slot + 1);
    // What becomes expiring in a slot is placed first from its beginning.
    const double total = internal::WorkUntil(split, slot);
    const double possible = internal::PossibleWork(split, limits, slot);
    // Room of work that will be overdue is left to one job, not to all.
    wait.work_ahead = reserved + possible +
                      std::min(total - possible, candidate.core_seconds);
    if (has_room(slot_end, wait.work_ahead)) {
      end = slot_end;
      break;
    }
    start = slot_end;
  }
  wait.start = search(start, end, wait.work_ahead);
  // Once it is expiring itself, it goes before larger jobs.
  const core::Millis expiring = std::max(
      core::Millis(0), candidate.expiring_at -
                           backlogs.measured.value_or(candidate.expiring_at));
  if (wait.start > expiring && !candidate.rank.beyond_share) {
    const double work =
        reserved + internal::WorkOfSimilarSize(backlog, candidate.rank);
    const core::Millis own = search(expiring, internal::kMaxWait, work);
    if (own < wait.start) {
      wait = {work, own};
    }
  }
  return wait;
}

Verdict Decide(const Backlogs& backlogs, const core::JobId& id,
               const Candidate& candidate, core::MonotonicTime now) {
  Candidate ranked = candidate;
  const auto known = backlogs.refused.find(id);
  if (known != backlogs.refused.end()) {
    ranked.rank.submitted = known->second.first_refused;
  }
  const core::Millis age = now - backlogs.measured.value_or(now);
  Verdict verdict;
  const auto wait = EstimateWait(
      backlogs, ranked, internal::RefusedAhead(backlogs, id, ranked, now, now));
  if (!wait) {
    return verdict;
  }
  verdict.work_ahead = wait->work_ahead;
  verdict.expected_wait = std::max(core::Millis(0), wait->start - age);
  if (verdict.expected_wait <= ranked.useful) {
    return verdict;
  }
  verdict.is_accepted = false;
  verdict.reason = ranked.rank.beyond_share ? RefusalReason::kShareInUse
                                            : RefusalReason::kNoTimeLeft;
  const auto with_refused =
      EstimateWait(backlogs, ranked,
                   internal::RefusedAhead(backlogs, id, ranked, now,
                                          now + internal::kMaxRetryAfter));
  const core::Millis start_after = with_refused.value_or(*wait).start;
  verdict.retry_after =
      std::clamp(start_after - age - std::max(core::Millis(0), ranked.useful),
                 internal::kMinRetryAfter, internal::kMaxRetryAfter);
  return verdict;
}

void RecordAccepted(Backlogs& backlogs, const core::JobId& id,
                    const Candidate& candidate) {
  backlogs.refused.erase(id);
  backlogs.pools[candidate.pool].accepted.push_back(
      {candidate.rank, candidate.core_seconds, candidate.expiring_at, 0});
}

void RecordRefused(Backlogs& backlogs, const core::JobId& id,
                   const Candidate& candidate, core::Millis retry_after,
                   core::MonotonicTime now) {
  const auto known = backlogs.refused.find(id);
  if (known != backlogs.refused.end()) {
    known->second.return_at = now + retry_after;
    return;
  }
  if (backlogs.refused.size() >= internal::kMaxRefused) {
    return;
  }
  backlogs.refused.emplace(
      id, RefusedJob{candidate.pool, candidate.rank, candidate.core_seconds,
                     now, now + retry_after});
}

void ForgetRefused(Backlogs& backlogs, core::MonotonicTime now) {
  std::erase_if(backlogs.refused, [&](const auto& entry) {
    return now >= entry.second.return_at + internal::kReturnGrace;
  });
}

Candidate CandidateOf(const Job& job, core::MonotonicTime now) {
  Candidate candidate;
  candidate.pool = job.policy.pool;
  candidate.rank = RankOf(job, now);
  candidate.core_seconds = job.core_seconds;
  for (const workload::Step& step : job.spec.steps) {
    if (step.after.empty()) {
      const double cores =
          step.best_effort ? 0.0 : internal::ToCores(step.size.cores);
      candidate.task_cores = std::max(candidate.task_cores,
                                      step.gang ? cores * step.count : cores);
    }
  }
  candidate.expiring_at = ExpiringAt(job);
  candidate.useful = job.policy.objective * kLateFactor - job.remaining_path;
  return candidate;
}

void MeasureBacklogs(State& state, const std::set<const Job*>& beyond_share,
                     core::MonotonicTime now) {
  Backlogs& backlogs = state.backlogs;
  ForgetRefused(backlogs, now);
  backlogs.measured = now;
  backlogs.pools.clear();
  backlogs.lack = 0;
  backlogs.spare = 0;
  backlogs.standby = 0;
  internal::MeasureWaiting(state, beyond_share, now);
  internal::MeasureHosts(state, now);
  for (auto& [pool, backlog] : backlogs.pools) {
    SumRoom(backlog.room);
    double waiting = 0;
    for (const std::vector<BacklogEntry>& entries : backlog.waiting) {
      waiting += entries.empty() ? 0.0 : entries.back().total;
    }
    backlog.lack =
        std::max(0.0, waiting - internal::CoreSecondsUntil(
                                    backlog.room, internal::kMoveDuration));
    if (backlog.lack > 0) {
      backlog.spare = 0;
    }
    backlogs.lack += backlog.lack;
    backlogs.spare += backlog.spare;
  }
}

Verdict DecideAdmission(State& state, const Job& job, core::MonotonicTime now) {
  if (job.policy.objective.count() == 0) {
    return {};
  }
  Backlogs& backlogs = state.backlogs;
  if (!backlogs.measured || now >= *backlogs.measured + internal::kMaxAge) {
    MeasureBacklogs(state, {}, now);
  }
  Candidate candidate = CandidateOf(job, now);
  candidate.rank.beyond_share = IsBeyondShare(state, job, now);
  const Verdict verdict = Decide(backlogs, job.spec.id, candidate, now);
  if (verdict.is_accepted) {
    RecordAccepted(backlogs, job.spec.id, candidate);
  } else {
    RecordRefused(backlogs, job.spec.id, candidate, verdict.retry_after, now);
  }
  return verdict;
}

}  // namespace camphormux::scheduler
