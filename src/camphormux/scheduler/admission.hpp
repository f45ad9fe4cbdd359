#ifndef CAMPHORMUX_SCHEDULER_ADMISSION_HPP_
#define CAMPHORMUX_SCHEDULER_ADMISSION_HPP_

#include <optional>
#include <set>

#include "camphormux/scheduler/backlog.hpp"
#include "camphormux/scheduler/jobs.hpp"
#include "camphormux/scheduler/state.hpp"

namespace camphormux::scheduler {

/// @brief What a decision needs to know about a new job.
struct Candidate {
  core::PoolName pool;
  Rank rank;
  double core_seconds = 0;
  double task_cores = 0;  ///< Free cores that its first start requires.
  /// Time by which it must start to end while its result has value.
  core::Millis useful{0};
  core::MonotonicTime expiring_at;
};

/// @brief Decision about a new job.
struct Verdict {
  bool is_accepted = true;
  double work_ahead = 0;  ///< Core seconds placed before it.
  core::Millis expected_wait{0};
  core::Millis retry_after{0};  ///< Set if refused.
  RefusalReason reason = RefusalReason::kNone;
};

/// @brief Adds cores that become free at a time after the pass.
/// @param room The room; SumRoom must follow.
/// @param after Time from the pass.
/// @param cores Cores.
void AddCores(Room& room, core::Millis after, double cores);

/// @brief Updates the sums of a room once all cores are added.
void SumRoom(Room& room);

/// @brief Adds work that waits; SortWaiting must follow.
/// @param backlog Backlog of the job's pool.
/// @param entry The work.
/// @param measured When the backlog is measured.
void AddWaiting(PoolBacklog& backlog, const BacklogEntry& entry,
                core::MonotonicTime measured);

/// @brief Sorts the waiting work by rank and updates its running sums.
void SortWaiting(PoolBacklog& backlog);

/// @brief Work that is placed before a job, and when the pool has had room for
/// it.
struct Wait {
  double work_ahead = 0;  ///< Core seconds.
  core::Millis start{0};  ///< Time from the pass until the first start.
};

/// @brief Estimates how long a job waits in the order in which work is placed:
/// for the work of lower ranks, and for that which becomes expiring meanwhile.
/// Small and urgent jobs overtake a backlog, so that they are not refused for
/// it. The room is that on the pool's own hosts and on its part of those that
/// can be moved, which are divided by the work that lacks room: surges of
/// several pools do not each count the same hosts.
/// @param backlogs All pools.
/// @param candidate The job.
/// @param reserved Core seconds that are placed before it in addition.
/// @return The wait; nothing if the pool has no hosts at all.
[[nodiscard]] std::optional<Wait> EstimateWait(const Backlogs& backlogs,
                                               const Candidate& candidate,
                                               double reserved);

/// @brief Decides about a new job. A surge beyond the fleet's capacity is
/// refused at once, with times to return that follow the room there will be; a
/// job that finds room in time is accepted.
/// @param backlogs As of the last pass.
/// @param id The job's id. If it was refused before, it goes before new ones of
/// its rank.
/// @param candidate The job.
/// @param now The time.
[[nodiscard]] Verdict Decide(const Backlogs& backlogs, const core::JobId& id,
                             const Candidate& candidate,
                             core::MonotonicTime now);

/// @brief Counts an accepted job until the next pass.
void RecordAccepted(Backlogs& backlogs, const core::JobId& id,
                    const Candidate& candidate);

/// @brief Remembers a refused job for its return.
void RecordRefused(Backlogs& backlogs, const core::JobId& id,
                   const Candidate& candidate, core::Millis retry_after,
                   core::MonotonicTime now);

/// @brief Forgets refused jobs whose callers have not returned.
void ForgetRefused(Backlogs& backlogs, core::MonotonicTime now);

/// @brief Describes a new job for a decision.
[[nodiscard]] Candidate CandidateOf(const Job& job, core::MonotonicTime now);

/// @brief Measures the backlogs of all pools after a planning pass.
/// @param state The state.
/// @param beyond_share Jobs that exceed the share of their account.
/// @param now The time.
void MeasureBacklogs(State& state, const std::set<const Job*>& beyond_share,
                     core::MonotonicTime now);

/// @brief Decides about a new job, and records the decision.
/// @param state The state.
/// @param job The job; not in the state yet.
/// @param now The time.
[[nodiscard]] Verdict DecideAdmission(State& state, const Job& job,
                                      core::MonotonicTime now);

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_ADMISSION_HPP_
