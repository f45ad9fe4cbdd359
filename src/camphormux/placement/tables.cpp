#include "camphormux/placement/tables.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace camphormux::placement {

std::size_t ClassKeyHash::operator()(const ClassKey& key) const noexcept {
  constexpr std::uint64_t kMultiplier = 0x9e3779b97f4a7c15;
  std::uint64_t hash = 0;
  const auto mix = [&hash](std::uint64_t value) {
    hash = (hash ^ value) * kMultiplier;
    hash ^= hash >> 32;
  };
  mix(key.pool);
  mix(key.kind);
  mix(static_cast<std::uint64_t>(key.priority) * 4 +
      (key.preemptible ? 2U : 0U) + (key.repeatable ? 1U : 0U));
  mix(key.memory_doublings);
  mix(static_cast<std::uint64_t>(key.declared.cores.value));
  mix(static_cast<std::uint64_t>(key.declared.memory.value));
  mix(static_cast<std::uint64_t>(key.declared.accelerators.value));
  return hash;
}

namespace internal {
namespace {

/// Kinds of job that are tracked separately per team.
constexpr std::uint32_t kMaxKindsPerTeam = 64;
const char* const kOtherKinds = "(other)";

template <typename Name, typename Record>
std::uint32_t Intern(std::unordered_map<Name, std::uint32_t>& names,
                     std::vector<Record>& records, const Name& name,
                     Record record) {
  const auto [entry, is_new] =
      names.try_emplace(name, static_cast<std::uint32_t>(records.size()));
  if (is_new) records.push_back(std::move(record));
  return entry->second;
}

std::int64_t RoundUpTo16th(std::int64_t value) {
  constexpr int kKeptBits = 5;
  if (value <= 0) return 0;
  const auto bits =
      static_cast<int>(std::bit_width(static_cast<std::uint64_t>(value)));
  if (bits <= kKeptBits) return value;
  const std::int64_t unit = std::int64_t{1} << (bits - kKeptBits);
  return (value + unit - 1) / unit * unit;
}

bool IsLater(const Timer& a, const Timer& b) { return a.due > b.due; }

void ForgetJob(State& state, JobIndex job) {
  for (const WorkerIndex worker : state.jobs[job].failed_on) {
    std::erase(state.workers[worker].health.failed_jobs, job);
  }
  state.jobs_by_id.erase(state.jobs[job].id);
  ChangeClass(state, job, kNone);
  state.jobs[job] = Job{};
  state.free_jobs.push_back(job);
}

}  // namespace

TeamIndex InternTeam(State& state, const core::TeamName& name) {
  Team team;
  team.name = name;
  return Intern(state.teams_by_name, state.teams, name, std::move(team));
}

PoolIndex InternPool(State& state, const core::PoolName& name) {
  Pool pool;
  pool.name = name;
  return Intern(state.pools_by_name, state.pools, name, std::move(pool));
}

RackIndex InternRack(State& state, const core::RackName& name) {
  return Intern(state.racks_by_name, state.racks, name, name);
}

KindIndex InternKind(State& state, TeamIndex team, const std::string& name) {
  std::vector<KindIndex>& kinds = state.teams[team].kinds;
  const auto find = [&](const std::string& wanted) {
    const auto found = std::find_if(
        kinds.begin(), kinds.end(),
        [&](KindIndex kind) { return state.kinds[kind].name == wanted; });
    return found == kinds.end() ? kNone : *found;
  };
  if (const KindIndex known = find(name); known != kNone) return known;
  const bool is_full = kinds.size() >= kMaxKindsPerTeam;
  if (is_full) {
    if (const KindIndex other = find(kOtherKinds); other != kNone) return other;
  }
  const auto index = static_cast<KindIndex>(state.kinds.size());
  Kind kind;
  kind.team = team;
  kind.name = is_full ? kOtherKinds : name;
  state.kinds.push_back(std::move(kind));
  kinds.push_back(index);
  return index;
}

ClassIndex InternClass(State& state, const ClassKey& key) {
  JobClass job_class;
  job_class.key = key;
  job_class.team = state.kinds[key.kind].team;
  // A stop would lose the only run of a non-repeatable job, so such a job is
  // never preempted.
  job_class.non_preemptible =
      key.priority == Priority::kUrgent || !key.preemptible || !key.repeatable;
  const auto [entry, is_new] = state.classes_by_key.try_emplace(key, kNone);
  if (!is_new) return entry->second;
  if (state.free_classes.empty()) {
    entry->second = static_cast<ClassIndex>(state.classes.size());
    state.classes.emplace_back();
  } else {
    entry->second = state.free_classes.back();
    state.free_classes.pop_back();
  }
  state.classes[entry->second] = job_class;
  state.teams[job_class.team].classes.push_back(entry->second);
  state.pools[key.pool].classes.push_back(entry->second);
  ++state.kinds[key.kind].classes;
  return entry->second;
}

void ForgetUnusedClass(State& state, ClassIndex index) {
  const JobClass& unused = state.classes[index];
  if (unused.jobs > 0) return;
  std::erase(state.teams[unused.team].classes, index);
  std::erase(state.pools[unused.key.pool].classes, index);
  Kind& kind = state.kinds[unused.key.kind];
  --(unused.impossible ? kind.impossible_classes : kind.classes);
  state.classes_by_key.erase(unused.key);
  state.classes[index] = JobClass{};
  state.free_classes.push_back(index);
}

void ChangeClass(State& state, JobIndex job, ClassIndex to) {
  const ClassIndex from = state.jobs[job].job_class;
  if (from == to) return;
  state.jobs[job].job_class = to;
  if (to != kNone) ++state.classes[to].jobs;
  if (from == kNone) return;
  --state.classes[from].jobs;
  ForgetUnusedClass(state, from);
}

Resources RoundUp(const Resources& declared) {
  return {{RoundUpTo16th(declared.cores.value)},
          {RoundUpTo16th(declared.memory.value)},
          {std::max<std::int64_t>(0, declared.accelerators.value)}};
}

JobIndex AddJob(State& state, Job job) {
  JobIndex index = 0;
  if (state.free_jobs.empty()) {
    index = static_cast<JobIndex>(state.jobs.size());
    state.jobs.emplace_back();
  } else {
    index = state.free_jobs.back();
    state.free_jobs.pop_back();
  }
  state.jobs_by_id[job.id] = index;
  state.jobs[index] = std::move(job);
  return index;
}

void RecordEndedJob(State& state, JobIndex job) {
  state.ended_jobs.push_back(job);
  // Checks a limited number of entries per job that ends. A job with an open
  // task goes to the back of the list.
  constexpr int kMaxChecksPerEnd = 2;
  for (int i = 0; i < kMaxChecksPerEnd; ++i) {
    if (state.ended_jobs.size() <= state.settings.max_ended_jobs) return;
    const JobIndex oldest = state.ended_jobs.front();
    state.ended_jobs.pop_front();
    if (state.jobs[oldest].open_tasks > 0) {
      state.ended_jobs.push_back(oldest);
    } else {
      ForgetJob(state, oldest);
    }
  }
}

TaskIndex FindTask(const State& state, const TaskRef& ref) {
  const auto found = state.tasks_by_epoch.find(ref.epoch);
  if (found == state.tasks_by_epoch.end()) return kNone;
  const Task& task = state.tasks[found->second];
  return state.jobs[task.job].id == ref.job ? found->second : kNone;
}

WorkerIndex FindWorker(const State& state, const core::HostId& id) {
  const auto found = state.workers_by_id.find(id);
  return found == state.workers_by_id.end() ? kNone : found->second;
}

void AddTimer(State& state, const Timer& timer) {
  state.timers.push_back(timer);
  std::push_heap(state.timers.begin(), state.timers.end(), IsLater);
}

void RebuildTimerHeap(State& state) {
  std::make_heap(state.timers.begin(), state.timers.end(), IsLater);
}

std::optional<Timer> TakeDueTimer(State& state, core::MonotonicTime now) {
  if (state.timers.empty() || state.timers.front().due > now) return {};
  std::pop_heap(state.timers.begin(), state.timers.end(), IsLater);
  const Timer timer = state.timers.back();
  state.timers.pop_back();
  return timer;
}

void MarkDirty(State& state, PoolIndex pool) { state.pools[pool].dirty = true; }

}  // namespace internal
}  // namespace camphormux::placement
