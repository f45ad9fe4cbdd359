#include "bench/placement/replay.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <unordered_map>
#include <utility>

#include "bench/placement/replay_setup.hpp"
#include "camphormux/core/random.hpp"
#include "camphormux/placement/decision.hpp"

namespace camphormux::placement {
namespace {

using namespace internal;  // NOLINT(google-build-using-namespace)

core::Millis Between(core::Random& random, int low, int high) {
  return core::Millis{low} + core::Jitter(random, core::Millis{high - low});
}

/// A task in the simulated fleet.
struct SimTask {
  TaskRef task;
  std::size_t worker = 0;
  const RealJob* job = nullptr;
  Resources limits;
  bool began = false;
  double speed = 1.0;
  double left_ms = 0.0;
};

enum class ActionKind {
  kArrive,
  kCancel,
  kBegin,
  kThrottle,
  kCheckpoint,
  kStop,
  kProbe
};

struct Action {
  core::MonotonicTime due;
  ActionKind kind = ActionKind::kArrive;
  std::size_t number = 0;  ///< Job, or worker of a probe.
  std::uint64_t epoch = 0;
  std::int64_t cores = 0;

  friend bool operator>(const Action& a, const Action& b) {
    return a.due > b.due;
  }
};

/// Runs a scenario in steps of 100 ms against one way of deciding.
class Simulation {
 public:
  Simulation(const Scenario& scenario, std::uint64_t seed, Decide decide)
      : scenario_(scenario),
        decide_(std::move(decide)),
        random_(core::SeededRandom(seed)),
        bad_(scenario.is_bad),
        used_memory_(scenario.workers.size()) {}

  Figures Run();

 private:
  static constexpr core::Millis kStep{100};

  void Feed(const Event& event);
  void Take(const Effect& effect);
  void Later(core::Millis delay, Action action);
  void Perform(const Action& action);
  void BeginTask(std::uint64_t epoch);
  void End(std::uint64_t epoch, TaskOutcome outcome);
  void Progress();
  void CheckMemory();
  void Report(std::size_t worker);
  Figures Sum() const;
  /// Run time that is left of a job since its latest checkpoint.
  double Left(std::size_t job) const;

  const Scenario& scenario_;
  Decide decide_;
  core::Random random_;
  core::MonotonicTime now_ = kBegin;
  std::vector<bool> bad_;
  std::vector<std::int64_t> used_memory_;
  std::map<std::uint64_t, SimTask> tasks_;
  std::map<core::HostId, std::size_t> worker_names_;
  std::unordered_map<core::JobId, std::size_t> job_names_;
  std::priority_queue<Action, std::vector<Action>, std::greater<>> actions_;
  std::unordered_map<std::size_t, core::MonotonicTime> urgent_began_;
  std::unordered_map<std::size_t, double> saved_;
  std::vector<bool> finished_;
  std::uint64_t memory_exceeded_ = 0;
  double used_core_ms_ = 0.0;
};

void Simulation::Feed(const Event& event) {
  for (const Effect& effect : decide_(event, now_)) Take(effect);
}

void Simulation::Later(core::Millis delay, Action action) {
  action.due = now_ + delay;
  actions_.push(action);
}

void Simulation::Take(const Effect& effect) {
  const bool is_slow = core::UniformBelow(random_, 100) == 0;
  if (const auto* start = std::get_if<StartTask>(&effect)) {
    const RealJob& job = scenario_.jobs[job_names_.at(start->task.job)];
    const std::uint64_t epoch = start->task.epoch.value;
    tasks_[epoch] = {start->task,
                     worker_names_.at(start->worker),
                     &job,
                     start->limits,
                     false,
                     1.0,
                     Left(job_names_.at(start->task.job))};
    Later(Between(random_, 100, 400), {{}, ActionKind::kBegin, 0, epoch, 0});
  } else if (const auto* slow = std::get_if<ThrottleTask>(&effect)) {
    Later(Between(random_, 20, 150), {{},
                                      ActionKind::kThrottle,
                                      0,
                                      slow->task.epoch.value,
                                      slow->cores.value});
  } else if (const auto* save = std::get_if<CheckpointTask>(&effect)) {
    Later(is_slow ? core::Millis{5000} : Between(random_, 200, 1400),
          {{}, ActionKind::kCheckpoint, 0, save->task.epoch.value, 0});
  } else if (const auto* stop = std::get_if<StopTask>(&effect)) {
    Later(is_slow ? core::Millis{2000} : Between(random_, 50, 500),
          {{}, ActionKind::kStop, 0, stop->task.epoch.value, 0});
  } else if (const auto* probe = std::get_if<ProbeWorker>(&effect)) {
    Later(kSecond,
          {{}, ActionKind::kProbe, worker_names_.at(probe->worker), 0, 0});
  }
}

double Simulation::Left(std::size_t job) const {
  const auto saved = saved_.find(job);
  return saved == saved_.end()
             ? static_cast<double>(scenario_.jobs[job].run_time.count())
             : saved->second;
}

void Simulation::BeginTask(std::uint64_t epoch) {
  const auto found = tasks_.find(epoch);
  if (found == tasks_.end()) return;
  SimTask& task = found->second;
  task.began = true;
  used_memory_[task.worker] += task.job->used.memory.value;
  if (bad_[task.worker] || task.job->always_fails) {
    task.left_ms = std::min(task.left_ms, 1000.0);
  } else if (task.job->spec.priority == Priority::kUrgent) {
    urgent_began_.try_emplace(job_names_.at(task.task.job), now_);
  }
  Feed(TaskStarted{task.task});
}

void Simulation::End(std::uint64_t epoch, TaskOutcome outcome) {
  const auto found = tasks_.find(epoch);
  if (found == tasks_.end()) return;
  const SimTask task = found->second;
  tasks_.erase(found);
  if (task.began) used_memory_[task.worker] -= task.job->used.memory.value;
  if (outcome == TaskOutcome::kFinished) {
    finished_[job_names_.at(task.task.job)] = true;
  }
  Feed(TaskEnded{task.task, outcome});
}

void Simulation::Perform(const Action& action) {
  const auto found = tasks_.find(action.epoch);
  const bool has_task = found != tasks_.end();
  switch (action.kind) {
    case ActionKind::kArrive:
      return Feed(JobSubmitted{scenario_.jobs[action.number].spec});
    case ActionKind::kCancel:
      return Feed(JobCancelled{scenario_.jobs[action.number].spec.id});
    case ActionKind::kBegin:
      return BeginTask(action.epoch);
    case ActionKind::kThrottle:
      if (!has_task) return;
      found->second.speed = std::min(
          1.0, static_cast<double>(action.cores) /
                   static_cast<double>(found->second.job->used.cores.value));
      return Feed(TaskThrottled{found->second.task});
    case ActionKind::kCheckpoint:
      if (!has_task) return;
      saved_[job_names_.at(found->second.task.job)] = found->second.left_ms;
      return Feed(TaskCheckpointed{found->second.task});
    case ActionKind::kStop:
      if (!has_task) return;
      return End(action.epoch, found->second.began ? TaskOutcome::kStopped
                                                   : TaskOutcome::kNeverBegan);
    case ActionKind::kProbe:
      // A bad worker is repaired between two probes.
      Feed(ProbeFinished{scenario_.workers[action.number].id,
                         !bad_[action.number]});
      bad_[action.number] = false;
      return;
  }
}

void Simulation::Progress() {
  const auto step = static_cast<double>(kStep.count());
  std::vector<double> cores(scenario_.workers.size());
  for (const auto& [epoch, task] : tasks_) {
    if (!task.began) continue;
    cores[task.worker] +=
        static_cast<double>(task.job->used.cores.value) * task.speed;
  }
  const auto capacity = static_cast<double>(kShape.cores.value);
  for (const double used : cores) {
    used_core_ms_ += std::min(used, capacity) * step;
  }
  std::vector<std::pair<std::uint64_t, TaskOutcome>> ends;
  for (auto& [epoch, task] : tasks_) {
    if (!task.began) continue;
    // Tasks of a worker whose cores are all in use run slower.
    const double share = std::min(1.0, capacity / cores[task.worker]);
    task.left_ms -= step * task.speed * share;
    if (task.left_ms > 0.0) continue;
    const bool fails = bad_[task.worker] || task.job->always_fails;
    ends.emplace_back(epoch,
                      fails ? TaskOutcome::kFailed : TaskOutcome::kFinished);
  }
  for (const auto& [epoch, outcome] : ends) End(epoch, outcome);
}

/// A worker whose memory is used up ends the newest task above its limit, or
/// else the newest.
void Simulation::CheckMemory() {
  for (std::size_t i = 0; i < used_memory_.size(); ++i) {
    while (used_memory_[i] > kShape.memory.value) {
      std::uint64_t newest = 0;
      std::uint64_t newest_above = 0;
      for (const auto& [epoch, task] : tasks_) {
        if (task.worker != i || !task.began) continue;
        newest = epoch;
        if (task.job->used.memory > task.limits.memory) newest_above = epoch;
      }
      ++memory_exceeded_;
      End(newest_above != 0 ? newest_above : newest, TaskOutcome::kOutOfMemory);
    }
  }
}

void Simulation::Report(std::size_t worker) {
  UsageReported report;
  report.worker = scenario_.workers[worker].id;
  report.age = Between(random_, 500, 3000);
  for (const auto& [epoch, task] : tasks_) {
    if (task.worker != worker || !task.began) continue;
    report.tasks.push_back(
        {task.task, task.job->used.cores, task.job->used.memory});
  }
  Feed(report);
}

Figures Simulation::Run() {
  constexpr int kReportSteps = 50;
  for (std::size_t i = 0; i < scenario_.workers.size(); ++i) {
    worker_names_[scenario_.workers[i].id] = i;
    Feed(WorkerAdded{scenario_.workers[i]});
  }
  for (int i = 0; i < kTeams; ++i) {
    Feed(QuotaSet{{"team-" + std::to_string(i)},
                  {{kShape.cores.value * kWorkers / kTeams},
                   {kShape.memory.value * kWorkers / kTeams},
                   {0}}});
  }
  finished_.resize(scenario_.jobs.size());
  for (std::size_t i = 0; i < scenario_.jobs.size(); ++i) {
    const RealJob& job = scenario_.jobs[i];
    job_names_[job.spec.id] = i;
    actions_.push({job.arrival, ActionKind::kArrive, i, 0, 0});
    if (job.cancel != core::MonotonicTime{}) {
      actions_.push({job.cancel, ActionKind::kCancel, i, 0, 0});
    }
  }
  const auto steps = static_cast<std::size_t>(scenario_.length / kStep);
  for (std::size_t step = 0; step < steps; ++step) {
    now_ += kStep;
    while (!actions_.empty() && actions_.top().due <= now_) {
      const Action action = actions_.top();
      actions_.pop();
      Perform(action);
    }
    CheckMemory();
    Progress();
    for (std::size_t i = step % kReportSteps; i < scenario_.workers.size();
         i += kReportSteps) {
      Report(i);
    }
    if (step % 10 == 0) Feed(Tick{});
  }
  return Sum();
}

Figures Simulation::Sum() const {
  // An urgent job that never began counts as late as the replay is long.
  std::vector<double> waits;
  double can_run = 0.0;
  double finished = 0.0;
  constexpr core::Millis kMargin{10000};
  for (std::size_t i = 0; i < scenario_.jobs.size(); ++i) {
    const RealJob& job = scenario_.jobs[i];
    if (job.never_fits || job.always_fails) continue;
    if (job.cancel != core::MonotonicTime{}) continue;
    can_run += 1.0;
    finished += finished_[i] ? 1.0 : 0.0;
    if (job.spec.priority != Priority::kUrgent) continue;
    if (job.arrival + kMargin > now_) continue;
    const auto began = urgent_began_.find(i);
    const core::MonotonicTime end =
        began == urgent_began_.end() ? now_ : began->second;
    waits.push_back(static_cast<double>((end - job.arrival).count()) / 1000.0);
  }
  std::sort(waits.begin(), waits.end());
  Figures figures;
  figures.load_share =
      used_core_ms_ / (static_cast<double>(kShape.cores.value) * kWorkers *
                       static_cast<double>(scenario_.length.count()));
  if (!waits.empty()) {
    figures.urgent_p50_s = waits[waits.size() / 2];
    figures.urgent_p99_s = waits[waits.size() * 99 / 100];
    const auto bound = static_cast<double>(kUrgentStartBound.count()) / 1000.0;
    figures.urgent_late_share =
        static_cast<double>(
            std::count_if(waits.begin(), waits.end(),
                          [&](double wait) { return wait > bound; })) /
        static_cast<double>(waits.size());
  }
  figures.finished_share = finished / can_run;
  figures.memory_exceeded = static_cast<double>(memory_exceeded_);
  figures.bad_left =
      static_cast<double>(std::count(bad_.begin(), bad_.end(), true));
  return figures;
}

}  // namespace

Figures internal::Simulate(const Scenario& scenario, std::uint64_t seed,
                           Decide decide) {
  return Simulation(scenario, seed, std::move(decide)).Run();
}

Figures ReplayPlacement(const Scenario& scenario, std::uint64_t seed) {
  State state;
  Figures figures = Simulate(
      scenario, seed, [&state](const Event& event, core::MonotonicTime now) {
        return Apply(state, event, now);
      });
  figures.preemptions = static_cast<double>(state.counters.preempted);
  figures.quarantines = static_cast<double>(state.counters.quarantined);
  return figures;
}

}  // namespace camphormux::placement
