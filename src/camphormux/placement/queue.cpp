#include "camphormux/placement/queue.hpp"

#include <algorithm>

#include "camphormux/placement/tables.hpp"

namespace camphormux::placement::internal {
namespace {

std::vector<ClassIndex>& ListOf(State& state, const JobClass& job_class) {
  Pool& pool = state.pools[job_class.key.pool];
  return job_class.key.priority == Priority::kUrgent ? pool.urgent
                                                     : pool.normal;
}

void ListClass(State& state, ClassIndex index) {
  JobClass& job_class = state.classes[index];
  std::vector<ClassIndex>& list = ListOf(state, job_class);
  job_class.position = static_cast<std::uint32_t>(list.size());
  list.push_back(index);
  MarkDirty(state, job_class.key.pool);
}

void UnlistClass(State& state, ClassIndex index) {
  JobClass& job_class = state.classes[index];
  std::vector<ClassIndex>& list = ListOf(state, job_class);
  list[job_class.position] = list.back();
  state.classes[list.back()].position = job_class.position;
  list.pop_back();
  job_class.position = kNone;
}

void LinkFirst(State& state, JobClass& job_class, JobIndex job) {
  state.jobs[job].next = job_class.first;
  if (job_class.first != kNone) state.jobs[job_class.first].previous = job;
  job_class.first = job;
  if (job_class.last == kNone) job_class.last = job;
}

void LinkLast(State& state, JobClass& job_class, JobIndex job) {
  state.jobs[job].previous = job_class.last;
  if (job_class.last != kNone) state.jobs[job_class.last].next = job;
  job_class.last = job;
  if (job_class.first == kNone) job_class.first = job;
}

/// Marks the queued jobs of a class as impossible and notifies their team, or
/// marks them as queued again if `reason` is null.
void UpdateQueuedJobs(State& state, const JobClass& job_class,
                      const Reason* reason, Effects& effects) {
  for (JobIndex job = job_class.first; job != kNone;
       job = state.jobs[job].next) {
    state.jobs[job].phase = reason ? JobPhase::kImpossible : JobPhase::kQueued;
    if (reason) effects.push_back(NotifyTeam{state.jobs[job].id, *reason});
  }
}

}  // namespace

void Enqueue(State& state, JobIndex job, QueueEnd end) {
  const ClassIndex index = state.jobs[job].job_class;
  JobClass& job_class = state.classes[index];
  state.jobs[job].previous = kNone;
  state.jobs[job].next = kNone;
  state.jobs[job].phase =
      job_class.impossible ? JobPhase::kImpossible : JobPhase::kQueued;
  if (end == QueueEnd::kFront) {
    LinkFirst(state, job_class, job);
  } else {
    LinkLast(state, job_class, job);
  }
  ++job_class.queued;
  if (!job_class.impossible && job_class.position == kNone) {
    ListClass(state, index);
  }
  if (!job_class.impossible) MarkDirty(state, job_class.key.pool);
}

void Dequeue(State& state, JobIndex index) {
  Job& job = state.jobs[index];
  JobClass& job_class = state.classes[job.job_class];
  (job.previous == kNone ? job_class.first : state.jobs[job.previous].next) =
      job.next;
  (job.next == kNone ? job_class.last : state.jobs[job.next].previous) =
      job.previous;
  job.previous = kNone;
  job.next = kNone;
  --job_class.queued;
  if (job_class.queued == 0 && job_class.position != kNone) {
    UnlistClass(state, job.job_class);
  }
}

std::optional<Reason> WhyImpossible(const State& state,
                                    const JobClass& job_class) {
  const Team& team = state.teams[job_class.team];
  const Resources& declared = job_class.key.declared;
  if (!team.quota) return UnknownTeam{team.name};
  if (!Fits(declared, *team.quota))
    return ExceedsTeamQuota{declared, *team.quota};
  const Pool& pool = state.pools[job_class.key.pool];
  if (pool.shapes.empty()) return std::nullopt;
  Resources largest;
  for (const ShapeCount& count : pool.shapes) {
    if (Fits(declared, count.shape)) return std::nullopt;
    largest = Largest(largest, count.shape);
  }
  return LargerThanAnyWorker{declared, largest, pool.name};
}

void RecheckClass(State& state, ClassIndex index, Effects& effects) {
  const std::optional<Reason> reason =
      WhyImpossible(state, state.classes[index]);
  JobClass& job_class = state.classes[index];
  if (job_class.impossible == reason.has_value()) return;
  job_class.impossible = reason.has_value();
  Kind& kind = state.kinds[job_class.key.kind];
  --(reason ? kind.classes : kind.impossible_classes);
  ++(reason ? kind.impossible_classes : kind.classes);
  UpdateQueuedJobs(state, job_class, reason ? &*reason : nullptr, effects);
  if (job_class.impossible && job_class.position != kNone) {
    UnlistClass(state, index);
  } else if (!job_class.impossible && job_class.queued > 0) {
    ListClass(state, index);
  }
}

void RecheckPool(State& state, PoolIndex pool, Effects& effects) {
  for (const ClassIndex index : state.pools[pool].classes) {
    RecheckClass(state, index, effects);
  }
}

void RecheckTeam(State& state, TeamIndex team, Effects& effects) {
  for (const ClassIndex index : state.teams[team].classes) {
    RecheckClass(state, index, effects);
  }
}

}  // namespace camphormux::placement::internal
