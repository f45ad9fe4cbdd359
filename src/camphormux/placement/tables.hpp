#ifndef CAMPHORMUX_PLACEMENT_TABLES_HPP_
#define CAMPHORMUX_PLACEMENT_TABLES_HPP_

#include <optional>
#include <string>

#include "camphormux/placement/state.hpp"

namespace camphormux::placement::internal {

/// @brief Returns the position of a team; adds it without quota if it is new.
[[nodiscard]] TeamIndex InternTeam(State& state, const core::TeamName& name);

/// @brief Returns the position of a pool; adds it without workers if it is new.
[[nodiscard]] PoolIndex InternPool(State& state, const core::PoolName& name);

/// @brief Returns the position of a rack; adds it if it is new.
[[nodiscard]] RackIndex InternRack(State& state, const core::RackName& name);

/// @brief Returns the position of a team's kind of job; adds it if it is new.
/// The number of kinds per team is limited; further kinds share one entry.
[[nodiscard]] KindIndex InternKind(State& state, TeamIndex team,
                                   const std::string& name);

/// @brief Returns the position of a class; adds it if it is new.
[[nodiscard]] ClassIndex InternClass(State& state, const ClassKey& key);

/// @brief Changes the class of a job, and removes its former class if no job
/// refers to it any more.
/// @param job The job; must not be in a queue.
/// @param to Its new class; `kNone` if the job is being removed.
void ChangeClass(State& state, JobIndex job, ClassIndex to);

/// @brief Removes a class if no job refers to it.
void ForgetUnusedClass(State& state, ClassIndex index);

/// @brief Rounds a declared size up to five significant bits, so that similar
/// jobs share a class. The size grows by less than 1/16.
[[nodiscard]] Resources RoundUp(const Resources& declared);

/// @brief Adds a job record; reuses a free position if there is one.
[[nodiscard]] JobIndex AddJob(State& state, Job job);

/// @brief Adds a job to the list of ended jobs, and removes the oldest ones
/// above the limit.
void RecordEndedJob(State& state, JobIndex job);

/// @brief Finds a task by its reference.
/// @return The position, or kNone if it is not known.
[[nodiscard]] TaskIndex FindTask(const State& state, const TaskRef& ref);

/// @brief Finds a worker by its host id.
/// @return The position, or kNone if it is not known.
[[nodiscard]] WorkerIndex FindWorker(const State& state,
                                     const core::HostId& id);

/// @brief Adds a timer.
void AddTimer(State& state, const Timer& timer);

/// @brief Restores the heap order of the timers after some were removed.
void RebuildTimerHeap(State& state);

/// @brief Removes and returns the earliest timer if it is due.
[[nodiscard]] std::optional<Timer> TakeDueTimer(State& state,
                                                core::MonotonicTime now);

/// @brief Marks a pool to be checked for placements in the next step.
void MarkDirty(State& state, PoolIndex pool);

/// @brief Returns the reference of a task for events and effects.
[[nodiscard]] inline TaskRef RefOf(const State& state, const Task& task) {
  return {state.jobs[task.job].id, task.epoch};
}

/// @brief Returns the class of a job.
[[nodiscard]] inline JobClass& ClassOf(State& state, JobIndex job) {
  return state.classes[state.jobs[job].job_class];
}
[[nodiscard]] inline const JobClass& ClassOf(const State& state, JobIndex job) {
  return state.classes[state.jobs[job].job_class];
}

}  // namespace camphormux::placement::internal

#endif  // CAMPHORMUX_PLACEMENT_TABLES_HPP_
