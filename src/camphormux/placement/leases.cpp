#include "camphormux/placement/leases.hpp"

#include <algorithm>

#include "camphormux/placement/queue.hpp"
#include "camphormux/placement/quotas.hpp"
#include "camphormux/placement/tables.hpp"
#include "camphormux/placement/workers.hpp"

namespace camphormux::placement::internal {
namespace {

TaskIndex AllocateTask(State& state) {
  if (state.free_tasks.empty()) {
    state.tasks.emplace_back();
    return static_cast<TaskIndex>(state.tasks.size() - 1);
  }
  const TaskIndex index = state.free_tasks.back();
  state.free_tasks.pop_back();
  return index;
}

Task MakeTask(const State& state, JobIndex job, WorkerIndex worker,
              const Resources& limits, core::MonotonicTime now) {
  Task task;
  task.job = job;
  task.worker = worker;
  task.pool = state.workers[worker].pool;
  task.epoch = state.next_epoch;
  task.reserved = limits;
  task.committed = limits;
  task.started = now;
  task.lease_end = now + state.settings.task_lease;
  task.non_preemptible = ClassOf(state, job).non_preemptible;
  return task;
}

void UpdateRackCount(State& state, const Task& task, bool starts) {
  Kind& kind = state.kinds[ClassOf(state, task.job).key.kind];
  const RackIndex rack = state.workers[task.worker].rack;
  std::uint32_t& count = kind.per_rack[rack];
  starts ? ++count : --count;
  if (count == 0) kind.per_rack.erase(rack);
}

/// Adds a task to the tables and commits its resources on the worker.
TaskIndex AddTask(State& state, const Task& task) {
  const TaskIndex index = AllocateTask(state);
  state.tasks[index] = task;
  const Task& added = state.tasks[index];
  state.tasks_by_epoch[added.epoch] = index;
  state.workers[added.worker].tasks.push_back(index);
  ++state.jobs[added.job].open_tasks;
  UpdateRackCount(state, added, true);
  RefreshHeadroom(state, added.worker);
  return index;
}

}  // namespace

void CreateTask(State& state, JobIndex job, WorkerIndex worker,
                const Resources& limits, core::MonotonicTime now,
                Effects& effects) {
  const TaskIndex index =
      AddTask(state, MakeTask(state, job, worker, limits, now));
  state.next_epoch = core::Next(state.next_epoch);
  const Task& task = state.tasks[index];
  state.jobs[job].phase = JobPhase::kActive;
  state.jobs[job].task = index;
  state.jobs[job].reserved_worker = kNone;
  Charge(state, ClassOf(state, job), task.pool, task.reserved);
  AddTimer(state, {task.lease_end, TimerKind::kLease, index, task.epoch});
  ++state.counters.started;
  effects.push_back(StartTask{state.workers[worker].id, RefOf(state, task),
                              limits, state.settings.task_lease});
}

void AdoptTask(State& state, JobIndex job, WorkerIndex worker,
               core::Epoch epoch, const Resources& limits,
               core::MonotonicTime now, Effects& effects) {
  Task task = MakeTask(state, job, worker, limits, now);
  task.epoch = epoch;
  task.confirmed = true;
  task.abandoned = state.jobs[job].task != kNone ||
                   state.jobs[job].phase != JobPhase::kActive;
  const bool counts = !task.abandoned;
  const TaskIndex index = AddTask(state, task);
  state.next_epoch = std::max(state.next_epoch, core::Next(epoch));
  if (!counts) {
    effects.push_back(
        StopTask{state.workers[worker].id, RefOf(state, state.tasks[index])});
    return;
  }
  state.jobs[job].task = index;
  const Task& added = state.tasks[index];
  Charge(state, ClassOf(state, job), added.pool, added.reserved);
  AddTimer(state, {added.lease_end, TimerKind::kLease, index, epoch});
}

void RemoveTask(State& state, TaskIndex index) {
  Task& task = state.tasks[index];
  if (!task.abandoned)
    Release(state, ClassOf(state, task.job), task.pool, task.reserved);
  UpdateRackCount(state, task, false);
  Job& job = state.jobs[task.job];
  --job.open_tasks;
  if (job.task == index) job.task = kNone;
  Worker& worker = state.workers[task.worker];
  std::erase(worker.tasks, index);
  RefreshHeadroom(state, task.worker);
  if (worker.pool != kNone) MarkDirty(state, worker.pool);
  state.tasks_by_epoch.erase(task.epoch);
  task = Task{};
  state.free_tasks.push_back(index);
}

void AbandonTask(State& state, TaskIndex index) {
  Task& task = state.tasks[index];
  if (task.abandoned) return;
  Release(state, ClassOf(state, task.job), task.pool, task.reserved);
  task.abandoned = true;
  task.yield = YieldStep::kNone;
  RefreshHeadroom(state, task.worker);
  Job& job = state.jobs[task.job];
  if (job.phase != JobPhase::kActive) return;
  job.task = kNone;
  if (ClassOf(state, task.job).key.repeatable) {
    Enqueue(state, task.job, QueueEnd::kFront);
  } else {
    job.task = index;
    job.phase = JobPhase::kUnconfirmed;
  }
}

void ExtendLease(State& state, TaskIndex index, core::MonotonicTime reported) {
  Task& task = state.tasks[index];
  task.lease_end =
      std::max(task.lease_end, reported + state.settings.task_lease);
}

void CheckLease(State& state, const Timer& timer) {
  const Task& task = state.tasks[timer.number];
  if (task.epoch != timer.epoch || task.abandoned) return;
  if (task.lease_end > timer.due) {
    AddTimer(state, {task.lease_end, timer.kind, timer.number, timer.epoch});
    return;
  }
  AbandonTask(state, timer.number);
}

}  // namespace camphormux::placement::internal
