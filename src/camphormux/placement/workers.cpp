#include "camphormux/placement/workers.hpp"

#include <algorithm>

#include "camphormux/placement/tables.hpp"

namespace camphormux::placement::internal {
namespace {

void CountShape(Pool& pool, const Resources& shape) {
  const auto known = std::find_if(
      pool.shapes.begin(), pool.shapes.end(),
      [&](const ShapeCount& count) { return count.shape == shape; });
  if (known == pool.shapes.end()) {
    pool.shapes.push_back({shape, 1});
  } else {
    ++known->workers;
  }
}

void UncountShape(Pool& pool, const Resources& shape) {
  const auto known = std::find_if(
      pool.shapes.begin(), pool.shapes.end(),
      [&](const ShapeCount& count) { return count.shape == shape; });
  if (known != pool.shapes.end() && --known->workers == 0) {
    pool.shapes.erase(known);
  }
}

std::uint32_t AllocateSlot(Pool& pool) {
  if (pool.free_slots.empty()) {
    pool.slots.push_back(kNone);
    return static_cast<std::uint32_t>(pool.slots.size() - 1);
  }
  const std::uint32_t slot = pool.free_slots.back();
  pool.free_slots.pop_back();
  return slot;
}

WorkerIndex AllocateWorker(State& state) {
  if (state.free_workers.empty()) {
    state.workers.emplace_back();
    return static_cast<WorkerIndex>(state.workers.size() - 1);
  }
  const WorkerIndex index = state.free_workers.back();
  state.free_workers.pop_back();
  return index;
}

}  // namespace

bool IsUsable(const Worker& worker) {
  return worker.pool != kNone && !worker.lost && !worker.draining &&
         !worker.health.quarantined;
}

Resources FreeResources(const Worker& worker) {
  return worker.shape - worker.committed - worker.reserved_total;
}

void RefreshHeadroom(State& state, WorkerIndex index) {
  Worker& worker = state.workers[index];
  Resources with_preemption;
  worker.committed = {};
  for (const TaskIndex number : worker.tasks) {
    const Task& task = state.tasks[number];
    worker.committed += task.committed;
    if (!task.non_preemptible && !task.abandoned)
      with_preemption += task.committed;
  }
  if (worker.pool == kNone) return;
  Headroom headroom = kNoHeadroom;
  if (IsUsable(worker)) {
    headroom.free = FreeResources(worker);
    headroom.with_preemption = headroom.free + with_preemption;
  }
  SetHeadroom(state.pools[worker.pool].headroom_tree, worker.slot, headroom);
}

WorkerIndex AddOrUpdateWorker(State& state, const WorkerSpec& spec) {
  const auto [entry, is_new] = state.workers_by_id.try_emplace(spec.id, kNone);
  if (is_new) {
    entry->second = AllocateWorker(state);
    state.workers[entry->second].id = spec.id;
  } else {
    LeavePool(state, entry->second);
  }
  const WorkerIndex index = entry->second;
  state.workers[index].shape = spec.shape;
  state.workers[index].rack = InternRack(state, spec.rack);
  JoinPool(state, index, InternPool(state, spec.pool));
  return index;
}

void ForgetWorker(State& state, WorkerIndex index) {
  LeavePool(state, index);
  // The position will be reused, so no reference to it may remain.
  for (Job& job : state.jobs) std::erase(job.failed_on, index);
  std::erase_if(state.timers, [index](const Timer& timer) {
    return timer.kind == TimerKind::kProbe && timer.number == index;
  });
  RebuildTimerHeap(state);
  state.workers_by_id.erase(state.workers[index].id);
  state.workers[index] = Worker{};
  state.free_workers.push_back(index);
}

void LeavePool(State& state, WorkerIndex index) {
  Worker& worker = state.workers[index];
  if (worker.pool == kNone) return;
  Pool& pool = state.pools[worker.pool];
  pool.slots[worker.slot] = kNone;
  pool.free_slots.push_back(worker.slot);
  SetHeadroom(pool.headroom_tree, worker.slot, kNoHeadroom);
  UncountShape(pool, worker.shape);
  pool.capacity -= worker.shape;
  --pool.workers;
  if (worker.health.quarantined) --pool.quarantined;
  worker.pool = kNone;
  worker.slot = kNone;
}

void JoinPool(State& state, WorkerIndex index, PoolIndex pool_index) {
  Worker& worker = state.workers[index];
  Pool& pool = state.pools[pool_index];
  worker.pool = pool_index;
  worker.slot = AllocateSlot(pool);
  pool.slots[worker.slot] = index;
  CountShape(pool, worker.shape);
  pool.capacity += worker.shape;
  ++pool.workers;
  if (worker.health.quarantined) ++pool.quarantined;
  RefreshHeadroom(state, index);
  MarkDirty(state, pool_index);
}

}  // namespace camphormux::placement::internal
