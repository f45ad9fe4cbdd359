#ifndef CAMPHORMUX_SCHEDULER_JOBS_HPP_
#define CAMPHORMUX_SCHEDULER_JOBS_HPP_

#include <cstddef>
#include <optional>
#include <vector>

#include "camphormux/scheduler/state.hpp"

namespace camphormux::scheduler {

enum class Admission {
  kAccepted,  ///< Stored; runs.
  kStoring,   ///< Taken, not yet stored; answer once it is saved.
  kNoQueue,
  kRefused,  ///< Cannot be served in useful time.
};

/// @brief Answer to a submission.
struct AdmissionResult {
  Admission admission = Admission::kRefused;
  core::Millis retry_after{0};  ///< If refused.
};

/// @brief Takes a submission. The same id again is the same job.
/// @param state The state; a new job is in it and not yet saved.
/// @param spec A valid job.
/// @param now Monotonic time.
/// @param wall Wall-clock time.
[[nodiscard]] AdmissionResult Submit(State& state, workload::JobSpec spec,
                                     core::MonotonicTime now,
                                     core::WallTime wall);

/// @brief Notes that a submission was turned away because nothing can be
/// stored: its pool looks idle, but its callers come back.
void RecordRejectedSubmission(State& state, const workload::QueueName& queue,
                              core::MonotonicTime now);

/// @brief Records that a job's submission lies in the store.
void ConfirmSubmission(State& state, const core::JobId& id);

/// @brief Forgets a job whose submission was certainly not stored.
void DropSubmission(State& state, const core::JobId& id);

/// @brief Cancels a job.
/// @return False if there is no such job.
bool Cancel(State& state, const core::JobId& id, core::WallTime wall);

/// @brief Adds a job that an earlier holder accepted.
/// @param state The state.
/// @param spec The job; none if only its final state is stored.
/// @param id Its name.
/// @param progress Its progress; none if it never had any.
/// @param now Monotonic time.
/// @param wall Wall-clock time.
void LoadJob(State& state, const core::JobId& id,
             std::optional<workload::JobSpec> spec,
             const std::optional<workload::Progress>& progress,
             core::MonotonicTime now, core::WallTime wall);

/// @brief Returns what callers are told; nothing if there is no such job.
/// A final state is told once it is stored.
[[nodiscard]] std::optional<workload::JobState> VisibleState(
    const State& state, const core::JobId& id);

/// @return Number of stored jobs of a queue of which no task has started.
[[nodiscard]] std::size_t PendingJobs(const State& state,
                                      const workload::QueueName& queue);

/// @return What is to be stored of a job.
[[nodiscard]] workload::Progress ProgressOf(const State& state, const Job& job);

/// @brief Records that a job's progress was stored.
/// @param state The state.
/// @param id The job.
/// @param stored State of the job in what was stored.
/// @param now Monotonic time.
void ConfirmProgress(State& state, const core::JobId& id,
                     workload::JobState stored, core::MonotonicTime now);

/// @brief Forgets final states that were told long enough.
/// @return The forgotten jobs.
[[nodiscard]] std::vector<core::JobId> ExpireClosedJobs(
    State& state, core::MonotonicTime now);

/// @brief Marks a task as done and, with the last one, its job as succeeded.
void CompleteTask(State& state, Job& job, std::uint32_t task,
                  core::WallTime wall);

/// @brief Gives a job a final state and stops what runs of it.
void EndJob(State& state, Job& job, workload::JobState final_state,
            core::WallTime wall);

/// @brief Tells whether tasks of a step may start.
[[nodiscard]] bool IsStepReady(const State& state, const Job& job,
                               std::uint32_t occurrence, std::uint32_t step,
                               core::WallTime wall);

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_JOBS_HPP_
