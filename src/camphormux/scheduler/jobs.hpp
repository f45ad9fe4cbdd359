#ifndef CAMPHORMUX_SCHEDULER_JOBS_HPP_
#define CAMPHORMUX_SCHEDULER_JOBS_HPP_

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

#include "camphormux/scheduler/state.hpp"

namespace camphormux::scheduler {

/// @brief Why a job was refused.
enum class RefusalReason {
  kNone,
  kNoTimeLeft,  ///< Its result would have no value by the time it completes.
  kShareInUse,  ///< Its account has more work than its share of the pool.
  kAboveCap,    ///< It can never run within the cap of its account.
  kIdInUse,     ///< A job of another account has its id.
};

/// @brief Describes a reason for operators and callers.
[[nodiscard]] std::string_view Describe(RefusalReason reason) noexcept;

enum class Admission {
  kAccepted,  ///< The job is stored and may run.
  /// The job is accepted but not stored yet; answer the caller once it is.
  kStoring,
  kNoQueue,
  kRefused,
};

/// @brief Result of a submission.
struct AdmissionResult {
  Admission admission = Admission::kRefused;
  core::Millis retry_after{0};  ///< Set if refused.
  RefusalReason reason = RefusalReason::kNone;
};

/// @brief Handles a submission. Submissions with the same id are the same job.
/// A job that was cancelled before is accepted as cancelled.
/// @param state The state; a new job is added to it as not yet saved.
/// @param spec A valid job.
/// @param now Monotonic time.
/// @param wall Wall-clock time.
[[nodiscard]] AdmissionResult Submit(State& state, workload::JobSpec spec,
                                     core::MonotonicTime now,
                                     core::WallTime wall);

/// @brief Records that a submission was rejected because nothing can be stored.
/// The pool appears idle, but its callers will retry: the work counts as
/// arrived, so that the pool has hosts for it when jobs can be stored again.
void RecordRejectedSubmission(State& state, const workload::JobSpec& spec,
                              core::MonotonicTime now);

/// @brief Records that a job's submission was stored.
void ConfirmSubmission(State& state, const core::JobId& id);

/// @brief Removes a job whose submission was certainly not stored.
void DropSubmission(State& state, const core::JobId& id);

/// @brief Cancels a job.
/// @return False if there is no such job that the caller may access.
bool Cancel(State& state, const core::JobId& id, core::WallTime wall,
            const workload::Caller& caller = {});

enum class TombstoneStatus {
  kAdded,    ///< It is new and has to be stored.
  kStoring,  ///< It is being stored.
  kStored,
  kTooMany,  ///< Nothing was done.
};

/// @brief Returns whether there is a job, accepted or ended, that a caller may
/// not access.
[[nodiscard]] bool IsForeign(const State& state, const core::JobId& id,
                             const workload::Caller& caller);

/// @brief Adds the tombstone of a job that is not known.
/// @return Status of the tombstone; the cancellation may be acknowledged once
/// it is stored.
[[nodiscard]] TombstoneStatus AddTombstone(State& state, const core::JobId& id,
                                           const workload::Caller& caller = {});

/// @brief Records that a tombstone was stored.
void ConfirmTombstone(State& state, const core::JobId& id,
                      core::MonotonicTime now);

/// @brief Removes a tombstone that was not stored.
void DropTombstone(State& state, const core::JobId& id);

/// @brief Returns whether the policy of a job is known. Without one, none of
/// its tasks starts.
[[nodiscard]] bool HasPolicy(const Job& job);

/// @brief Counts the jobs whose policy is not known.
[[nodiscard]] std::size_t CountJobsWithoutPolicy(const State& state);

/// @brief Replaces the catalog. Jobs keep the policy with which they were
/// accepted; those without one take that of their queue.
void ApplyCatalog(State& state, workload::Catalog catalog, core::WallTime wall);

/// @brief Adds a job that a previous lease holder accepted.
/// @param state The state.
/// @param id The job's id.
/// @param stored The job; nothing if only its final state is stored. A job that
/// has ended is kept as long as it has runs.
/// @param progress The job's progress; nothing if none was stored.
/// @param now Monotonic time.
/// @param wall Wall-clock time.
void LoadJob(State& state, const core::JobId& id,
             std::optional<workload::StoredJob> stored,
             const std::optional<workload::Progress>& progress,
             core::MonotonicTime now, core::WallTime wall);

/// @brief Returns the job state that is reported to a caller, or nothing if
/// there is no such job that it may access. A final state is reported only once
/// it is stored.
[[nodiscard]] std::optional<workload::JobState> VisibleState(
    const State& state, const core::JobId& id,
    const workload::Caller& caller = {});

/// @brief Counts the stored jobs of a queue of which no task has started.
[[nodiscard]] std::size_t PendingJobs(const State& state,
                                      const workload::QueueName& queue);

/// @brief Returns the progress of a job to be stored; for a job that has ended,
/// only its runs, if it has any.
[[nodiscard]] workload::Progress ProgressOf(const State& state, const Job& job);

/// @brief Records that a job's progress was stored.
/// @param state The state.
/// @param id The job's id.
/// @param stored State of the job in the stored progress.
/// @param now Monotonic time.
void ConfirmProgress(State& state, const core::JobId& id,
                     workload::JobState stored, core::MonotonicTime now);

/// @brief Removes a job whose final state is stored once it has no runs. If the
/// stored state lists runs, it is stored again first.
void RemoveIfEnded(State& state, const core::JobId& id);

/// @brief Removes final states and tombstones whose retention time has passed.
/// @return The removed jobs.
[[nodiscard]] std::vector<core::JobId> ExpireClosedJobs(
    State& state, core::MonotonicTime now);

/// @brief Marks a task as done; the job succeeds with its last task.
void CompleteTask(State& state, Job& job, std::uint32_t task,
                  core::WallTime wall);

/// @brief Sets a job's final state and stops its runs.
void EndJob(State& state, Job& job, workload::JobState final_state,
            core::WallTime wall);

/// @brief Returns whether tasks of a step may start.
[[nodiscard]] bool IsStepReady(const State& state, const Job& job,
                               std::uint32_t occurrence, std::uint32_t step,
                               core::WallTime wall);

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_JOBS_HPP_
