#ifndef CAMPHORMUX_PLACEMENT_TABLES_HPP_
#define CAMPHORMUX_PLACEMENT_TABLES_HPP_

#include <optional>
#include <string>

#include "camphormux/placement/state.hpp"

namespace camphormux::placement::internal {

/// @brief Returns a team's position and adds it without quota if it is new.
[[nodiscard]] TeamIndex InternTeam(State& state, const core::TeamName& name);

/// @brief Returns a pool's position and adds it without workers if it is new.
[[nodiscard]] PoolIndex InternPool(State& state, const core::PoolName& name);

/// @brief Returns a rack's position and adds it if it is new.
[[nodiscard]] RackIndex InternRack(State& state, const core::RackName& name);

/// @brief Returns the position of a team's kind of job. A team has a bounded
/// number of kinds; further ones share one entry.
[[nodiscard]] KindIndex InternKind(State& state, TeamIndex team,
                                   const std::string& name);

/// @brief Returns the position of a class and adds it if it is new.
[[nodiscard]] ClassIndex InternClass(State& state, const ClassKey& key);

/// @brief Gives a job a class and forgets its former one if no job is left in
/// it.
/// @param job The job; not queued.
/// @param to Its class from now on; `kNone` when the job is forgotten.
void ChangeClass(State& state, JobIndex job, ClassIndex to);

/// @brief Forgets a class if no job refers to it.
void ForgetUnusedClass(State& state, ClassIndex index);

/// @brief Rounds a declared size up in its fifth significant bit, so that
/// similar jobs share a class. The size grows by less than 1/16.
[[nodiscard]] Resources RoundUp(const Resources& declared);

/// @brief Adds a job record, at a free position if there is one.
[[nodiscard]] JobIndex AddJob(State& state, Job job);

/// @brief Notes that a job ended, and forgets the oldest ended jobs.
void RecordEndedJob(State& state, JobIndex job);

/// @brief Finds a task by its reference.
/// @return The position, or kNone for one that is not known.
[[nodiscard]] TaskIndex FindTask(const State& state, const TaskRef& ref);

/// @brief Finds a worker by name.
/// @return The position, or kNone.
[[nodiscard]] WorkerIndex FindWorker(const State& state,
                                     const core::HostId& id);

/// @brief Adds a deadline.
void AddTimer(State& state, const Timer& timer);

/// @brief Restores the order of the deadlines after some were taken out.
void RebuildTimerHeap(State& state);

/// @brief Takes the earliest deadline if it is due.
[[nodiscard]] std::optional<Timer> TakeDueTimer(State& state,
                                                core::MonotonicTime now);

/// @brief Marks a pool to be looked at in the next step.
void MarkDirty(State& state, PoolIndex pool);

/// @brief Names a task for events and effects.
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
