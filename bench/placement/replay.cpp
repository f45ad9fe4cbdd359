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

core::Millis RandomDelay(core::Random& random, int low, int high) {
  return core::Millis{low} + core::Jitter(random, core::Millis{high - low});
}

/// A task that was started on a worker of the simulated fleet.
struct SimulatedTask {
  TaskRef task;
  std::size_t worker = 0;
  const SimulatedJob* job = nullptr;
  Resources limits;
  bool started = false;
  double speed = 1.0;
  double remaining_ms = 0.0;
};

enum class ActionKind {
  kArrive,
  kCancel,
  kStart,
  kThrottle,
  kCheckpoint,
  kStop,
  kProbe
};

struct Action {
  core::MonotonicTime due;
  ActionKind kind = ActionKind::kArrive;
  std::size_t number = 0;  ///< Index of the job; of the worker for kProbe.
  std::uint64_t epoch = 0;
  std::int64_t cores = 0;

  friend bool operator>(const Action& a, const Action& b) {
    return a.due > b.due;
  }
};

/// Replays a scenario in steps of 100 ms against a placement algorithm.
class Simulation {
 public:
  Simulation(const Scenario& scenario, std::uint64_t seed,
             DecideFunction decide)
      : scenario_(scenario),
        decide_(std::move(decide)),
        random_(core::SeededRandom(seed)),
        faulty_(scenario.is_faulty),
        used_memory_(scenario.workers.size()) {}

  ReplayMetrics Run();

 private:
  static constexpr core::Millis kStep{100};

  void OnEvent(const Event& event);
  void ApplyEffect(const Effect& effect);
  void Schedule(core::Millis delay, Action action);
  void Execute(const Action& action);
  void StartSimulatedTask(std::uint64_t epoch);
  void EndTask(std::uint64_t epoch, TaskOutcome outcome);
  void AdvanceTasks();
  void CheckMemory();
  void ReportUsage(std::size_t worker);
  ReplayMetrics Summarize() const;
  /// Returns the run time, in ms, that a job still needs after its latest
  /// checkpoint.
  double RemainingMillis(std::size_t job) const;

  const Scenario& scenario_;
  DecideFunction decide_;
  core::Random random_;
  core::MonotonicTime now_ = kStartTime;
  std::vector<bool> faulty_;
  std::vector<std::int64_t> used_memory_;
  std::map<std::uint64_t, SimulatedTask> tasks_;
  std::map<core::HostId, std::size_t> worker_indexes_;
  std::unordered_map<core::JobId, std::size_t> job_indexes_;
  std::priority_queue<Action, std::vector<Action>, std::greater<>> actions_;
  std::unordered_map<std::size_t, core::MonotonicTime> urgent_started_at_;
  std::unordered_map<std::size_t, double> checkpointed_ms_;
  std::vector<bool> finished_;
  std::uint64_t memory_exceeded_ = 0;
  double used_core_ms_ = 0.0;
};

void Simulation::OnEvent(const Event& event) {
  for (const Effect& effect : decide_(event, now_)) ApplyEffect(effect);
}

void Simulation::Schedule(core::Millis delay, Action action) {
  action.due = now_ + delay;
  actions_.push(action);
}

void Simulation::ApplyEffect(const Effect& effect) {
  const bool is_delayed = core::UniformBelow(random_, 100) == 0;
  if (const auto* start = std::get_if<StartTask>(&effect)) {
    const SimulatedJob& job = scenario_.jobs[job_indexes_.at(start->task.job)];
    const std::uint64_t epoch = start->task.epoch.value;
    tasks_[epoch] = {start->task,
                     worker_indexes_.at(start->worker),
                     &job,
                     start->limits,
                     false,
                     1.0,
                     RemainingMillis(job_indexes_.at(start->task.job))};
    Schedule(RandomDelay(random_, 100, 400),
             {{}, ActionKind::kStart, 0, epoch, 0});
  } else if (const auto* slow = std::get_if<ThrottleTask>(&effect)) {
    Schedule(RandomDelay(random_, 20, 150), {{},
                                             ActionKind::kThrottle,
                                             0,
                                             slow->task.epoch.value,
                                             slow->cores.value});
  } else if (const auto* save = std::get_if<CheckpointTask>(&effect)) {
    Schedule(is_delayed ? core::Millis{5000} : RandomDelay(random_, 200, 1400),
             {{}, ActionKind::kCheckpoint, 0, save->task.epoch.value, 0});
  } else if (const auto* stop = std::get_if<StopTask>(&effect)) {
    Schedule(is_delayed ? core::Millis{2000} : RandomDelay(random_, 50, 500),
             {{}, ActionKind::kStop, 0, stop->task.epoch.value, 0});
  } else if (const auto* probe = std::get_if<ProbeWorker>(&effect)) {
    Schedule(kSecond,
             {{}, ActionKind::kProbe, worker_indexes_.at(probe->worker), 0, 0});
  }
}

double Simulation::RemainingMillis(std::size_t job) const {
  const auto saved = checkpointed_ms_.find(job);
  return saved == checkpointed_ms_.end()
             ? static_cast<double>(scenario_.jobs[job].run_time.count())
             : saved->second;
}

void Simulation::StartSimulatedTask(std::uint64_t epoch) {
  const auto found = tasks_.find(epoch);
  if (found == tasks_.end()) return;
  SimulatedTask& task = found->second;
  task.started = true;
  used_memory_[task.worker] += task.job->usage.memory.value;
  if (faulty_[task.worker] || task.job->always_fails) {
    task.remaining_ms = std::min(task.remaining_ms, 1000.0);
  } else if (task.job->spec.priority == Priority::kUrgent) {
    urgent_started_at_.try_emplace(job_indexes_.at(task.task.job), now_);
  }
  OnEvent(TaskStarted{task.task});
}

void Simulation::EndTask(std::uint64_t epoch, TaskOutcome outcome) {
  const auto found = tasks_.find(epoch);
  if (found == tasks_.end()) return;
  const SimulatedTask task = found->second;
  tasks_.erase(found);
  if (task.started) used_memory_[task.worker] -= task.job->usage.memory.value;
  if (outcome == TaskOutcome::kFinished) {
    finished_[job_indexes_.at(task.task.job)] = true;
  }
  OnEvent(TaskEnded{task.task, outcome});
}

void Simulation::Execute(const Action& action) {
  const auto found = tasks_.find(action.epoch);
  const bool has_task = found != tasks_.end();
  switch (action.kind) {
    case ActionKind::kArrive:
      return OnEvent(JobSubmitted{scenario_.jobs[action.number].spec});
    case ActionKind::kCancel:
      return OnEvent(JobCancelled{scenario_.jobs[action.number].spec.id});
    case ActionKind::kStart:
      return StartSimulatedTask(action.epoch);
    case ActionKind::kThrottle:
      if (!has_task) return;
      found->second.speed = std::min(
          1.0, static_cast<double>(action.cores) /
                   static_cast<double>(found->second.job->usage.cores.value));
      return OnEvent(TaskThrottled{found->second.task});
    case ActionKind::kCheckpoint:
      if (!has_task) return;
      checkpointed_ms_[job_indexes_.at(found->second.task.job)] =
          found->second.remaining_ms;
      return OnEvent(TaskCheckpointed{found->second.task});
    case ActionKind::kStop:
      if (!has_task) return;
      return EndTask(action.epoch, found->second.started
                                       ? TaskOutcome::kStopped
                                       : TaskOutcome::kNeverBegan);
    case ActionKind::kProbe:
      // A faulty worker fails its first probe and is repaired before the next.
      OnEvent(ProbeFinished{scenario_.workers[action.number].id,
                            !faulty_[action.number]});
      faulty_[action.number] = false;
      return;
  }
}

void Simulation::AdvanceTasks() {
  const auto step = static_cast<double>(kStep.count());
  std::vector<double> cores(scenario_.workers.size());
  for (const auto& [epoch, task] : tasks_) {
    if (!task.started) continue;
    cores[task.worker] +=
        static_cast<double>(task.job->usage.cores.value) * task.speed;
  }
  const auto capacity = static_cast<double>(kShape.cores.value);
  for (const double used : cores) {
    used_core_ms_ += std::min(used, capacity) * step;
  }
  std::vector<std::pair<std::uint64_t, TaskOutcome>> ends;
  for (auto& [epoch, task] : tasks_) {
    if (!task.started) continue;
    // Tasks slow down in proportion if they need more cores than the worker
    // has.
    const double share = std::min(1.0, capacity / cores[task.worker]);
    task.remaining_ms -= step * task.speed * share;
    if (task.remaining_ms > 0.0) continue;
    const bool fails = faulty_[task.worker] || task.job->always_fails;
    ends.emplace_back(epoch,
                      fails ? TaskOutcome::kFailed : TaskOutcome::kFinished);
  }
  for (const auto& [epoch, outcome] : ends) EndTask(epoch, outcome);
}

/// Ends tasks on workers whose memory is exceeded: the newest task above its
/// own limit first, or else the newest task.
void Simulation::CheckMemory() {
  for (std::size_t i = 0; i < used_memory_.size(); ++i) {
    while (used_memory_[i] > kShape.memory.value) {
      std::uint64_t newest = 0;
      std::uint64_t newest_above = 0;
      for (const auto& [epoch, task] : tasks_) {
        if (task.worker != i || !task.started) continue;
        newest = epoch;
        if (task.job->usage.memory > task.limits.memory) newest_above = epoch;
      }
      ++memory_exceeded_;
      EndTask(newest_above != 0 ? newest_above : newest,
              TaskOutcome::kOutOfMemory);
    }
  }
}

void Simulation::ReportUsage(std::size_t worker) {
  UsageReported report;
  report.worker = scenario_.workers[worker].id;
  report.age = RandomDelay(random_, 500, 3000);
  for (const auto& [epoch, task] : tasks_) {
    if (task.worker != worker || !task.started) continue;
    report.tasks.push_back(
        {task.task, task.job->usage.cores, task.job->usage.memory});
  }
  OnEvent(report);
}

ReplayMetrics Simulation::Run() {
  constexpr int kReportSteps = 50;
  for (std::size_t i = 0; i < scenario_.workers.size(); ++i) {
    worker_indexes_[scenario_.workers[i].id] = i;
    OnEvent(WorkerAdded{scenario_.workers[i]});
  }
  for (int i = 0; i < kTeams; ++i) {
    OnEvent(QuotaSet{{"team-" + std::to_string(i)},
                     {{kShape.cores.value * kWorkers / kTeams},
                      {kShape.memory.value * kWorkers / kTeams},
                      {0}}});
  }
  finished_.resize(scenario_.jobs.size());
  for (std::size_t i = 0; i < scenario_.jobs.size(); ++i) {
    const SimulatedJob& job = scenario_.jobs[i];
    job_indexes_[job.spec.id] = i;
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
      Execute(action);
    }
    CheckMemory();
    AdvanceTasks();
    for (std::size_t i = step % kReportSteps; i < scenario_.workers.size();
         i += kReportSteps) {
      ReportUsage(i);
    }
    if (step % 10 == 0) OnEvent(Tick{});
  }
  return Summarize();
}

ReplayMetrics Simulation::Summarize() const {
  // The wait of an urgent job that never started lasts until the end of the
  // replay.
  std::vector<double> waits;
  double can_run = 0.0;
  double finished = 0.0;
  constexpr core::Millis kUnmeasuredTail{10000};
  for (std::size_t i = 0; i < scenario_.jobs.size(); ++i) {
    const SimulatedJob& job = scenario_.jobs[i];
    if (job.never_fits || job.always_fails) continue;
    if (job.cancel != core::MonotonicTime{}) continue;
    can_run += 1.0;
    finished += finished_[i] ? 1.0 : 0.0;
    if (job.spec.priority != Priority::kUrgent) continue;
    if (job.arrival + kUnmeasuredTail > now_) continue;
    const auto started = urgent_started_at_.find(i);
    const core::MonotonicTime end =
        started == urgent_started_at_.end() ? now_ : started->second;
    waits.push_back(static_cast<double>((end - job.arrival).count()) / 1000.0);
  }
  std::sort(waits.begin(), waits.end());
  ReplayMetrics metrics;
  metrics.load_share =
      used_core_ms_ / (static_cast<double>(kShape.cores.value) * kWorkers *
                       static_cast<double>(scenario_.length.count()));
  if (!waits.empty()) {
    metrics.urgent_p50_s = waits[waits.size() / 2];
    metrics.urgent_p99_s = waits[waits.size() * 99 / 100];
    const auto bound = static_cast<double>(kUrgentStartBound.count()) / 1000.0;
    metrics.urgent_late_share =
        static_cast<double>(
            std::count_if(waits.begin(), waits.end(),
                          [&](double wait) { return wait > bound; })) /
        static_cast<double>(waits.size());
  }
  metrics.finished_share = finished / can_run;
  metrics.memory_exceeded = static_cast<double>(memory_exceeded_);
  metrics.undetected_faulty_workers =
      static_cast<double>(std::count(faulty_.begin(), faulty_.end(), true));
  return metrics;
}

}  // namespace

ReplayMetrics internal::Simulate(const Scenario& scenario, std::uint64_t seed,
                                 DecideFunction decide) {
  return Simulation(scenario, seed, std::move(decide)).Run();
}

ReplayMetrics ReplayPlacement(const Scenario& scenario, std::uint64_t seed) {
  State state;
  ReplayMetrics metrics = Simulate(
      scenario, seed, [&state](const Event& event, core::MonotonicTime now) {
        return Apply(state, event, now);
      });
  metrics.preemptions = static_cast<double>(state.counters.preempted);
  metrics.quarantines = static_cast<double>(state.counters.quarantined);
  return metrics;
}

}  // namespace camphormux::placement
