// Measures placement at several fleet sizes: one second with jobs that end and
// arrive, one scheduling step, one urgent submission, 10,000 cancellations at
// once, and the memory of the state.

#include <string>
#include <utility>
#include <vector>

#include <benchmark/benchmark.h>
#include <malloc.h>

#include "camphormux/placement/decision.hpp"

namespace camphormux::placement {
namespace {

constexpr int kTeams = 97;
constexpr int kPools = 154;
constexpr int kKinds = 4;
constexpr int kTasksPerWorker = 8;
constexpr int kWaitingPerWorker = 4;
constexpr int kCancelledJobs = 10000;
constexpr core::Millis kSecond{1000};

/// Placement state of a simulated fleet, and its running tasks.
struct Fleet {
  State state;
  core::MonotonicTime now{core::Millis{1000000}};
  int workers = 0;
  std::uint64_t jobs = 0;  ///< Jobs created so far.
  std::vector<TaskRef> running;
  std::uint64_t next_end = 0;  ///< Selects the next task to end.
};

std::int64_t HeapBytes() {
  return static_cast<std::int64_t>(mallinfo2().uordblks);
}

JobSpec NextJob(Fleet& fleet) {
  const std::uint64_t number = fleet.jobs++;
  JobSpec job;
  job.id = {"job-" + std::to_string(number)};
  job.team = {"team-" + std::to_string(number % kTeams)};
  job.kind = "kind-" + std::to_string(number % kKinds);
  job.preemptible = number % 2 == 0;
  job.declared = {{static_cast<std::int64_t>(4000 + 500 * (number % 5))},
                  {static_cast<std::int64_t>(16000 + 2000 * (number % 5))},
                  {number % 7 == 0 ? 1 : 0}};
  job.pool = {"pool-" + std::to_string(number % kPools)};
  return job;
}

void OnEvent(Fleet& fleet, const Event& event) {
  for (const Effect& effect : Apply(fleet.state, event, fleet.now)) {
    const auto* start = std::get_if<StartTask>(&effect);
    if (start != nullptr) fleet.running.push_back(start->task);
  }
}

Fleet MakeWorkers(int workers) {
  Fleet fleet;
  fleet.workers = workers;
  for (int i = 0; i < kTeams; ++i) {
    OnEvent(fleet, QuotaSet{{"team-" + std::to_string(i)},
                            {{64000LL * workers / kTeams + 64000},
                             {256000LL * workers / kTeams + 256000},
                             {3LL * workers / (2 * kTeams) + 8}}});
  }
  for (int i = 0; i < workers; ++i) {
    // Every other worker has 3 accelerators: 7,500 on 5,000 workers.
    OnEvent(fleet, WorkerAdded{{{"host-" + std::to_string(i)},
                                {"zone"},
                                {"rack-" + std::to_string(i / 4)},
                                {"pool-" + std::to_string(i % kPools)},
                                {{64000}, {256000}, {i % 2 == 0 ? 3 : 0}}}});
  }
  return fleet;
}

Fleet MakeFleet(int workers) {
  Fleet fleet = MakeWorkers(workers);
  const int jobs = workers * (kTasksPerWorker + kWaitingPerWorker);
  for (int i = 0; i < jobs; ++i) OnEvent(fleet, JobSubmitted{NextJob(fleet)});
  for (int i = 0; i < 60; ++i) {
    fleet.now += kSecond;
    OnEvent(fleet, Tick{});
  }
  return fleet;
}

void Report(Fleet& fleet, int worker) {
  const Worker& record = fleet.state.workers[static_cast<std::size_t>(worker)];
  UsageReported report{record.id, kSecond, {}};
  for (const TaskIndex index : record.tasks) {
    const Task& task = fleet.state.tasks[index];
    report.tasks.push_back({{fleet.state.jobs[task.job].id, task.epoch},
                            task.reserved.cores,
                            task.reserved.memory});
  }
  OnEvent(fleet, report);
}

/// Simulates one second: each worker reports its usage every 5 s, tasks run for
/// 10 minutes, and as many jobs arrive as end.
void RunSecond(Fleet& fleet) {
  constexpr int kReportSeconds = 5;
  constexpr std::size_t kRunSeconds = 600;
  fleet.now += kSecond;
  const int phase = static_cast<int>(fleet.state.steps % kReportSeconds);
  for (int i = phase; i < fleet.workers; i += kReportSeconds) Report(fleet, i);
  const std::size_t ends = fleet.running.size() / kRunSeconds + 1;
  for (std::size_t i = 0; i < ends && !fleet.running.empty(); ++i) {
    const std::size_t at = fleet.next_end++ * 7919 % fleet.running.size();
    const TaskRef task = fleet.running[at];
    fleet.running[at] = fleet.running.back();
    fleet.running.pop_back();
    OnEvent(fleet, TaskEnded{task, TaskOutcome::kFinished});
    OnEvent(fleet, JobSubmitted{NextJob(fleet)});
  }
  OnEvent(fleet, Tick{});
}

/// Measures all placement work of one second: usage reports, ends of tasks,
/// submissions and the scheduling step.
void MeasureSecond(benchmark::State& run) {
  Fleet fleet = MakeFleet(static_cast<int>(run.range(0)));
  for (auto _ : run) RunSecond(fleet);
  run.counters["running"] = static_cast<double>(fleet.running.size());
  run.SetComplexityN(run.range(0));
}
BENCHMARK(MeasureSecond)
    ->Arg(50)
    ->Arg(500)
    ->Arg(5000)
    ->Unit(benchmark::kMillisecond)
    ->Complexity();

void MeasureTick(benchmark::State& run) {
  Fleet fleet = MakeFleet(static_cast<int>(run.range(0)));
  for (auto _ : run) {
    run.PauseTiming();
    RunSecond(fleet);
    fleet.now += kSecond;
    for (Pool& pool : fleet.state.pools) pool.dirty = true;
    run.ResumeTiming();
    OnEvent(fleet, Tick{});
  }
  run.SetComplexityN(run.range(0));
}
BENCHMARK(MeasureTick)
    ->Arg(50)
    ->Arg(500)
    ->Arg(5000)
    ->Iterations(200)
    ->Unit(benchmark::kMillisecond)
    ->Complexity();

void MeasureSubmitUrgent(benchmark::State& run) {
  Fleet fleet = MakeFleet(static_cast<int>(run.range(0)));
  for (auto _ : run) {
    JobSpec job = NextJob(fleet);
    job.priority = Priority::kUrgent;
    const core::JobId id = job.id;
    OnEvent(fleet, JobSubmitted{std::move(job)});
    run.PauseTiming();
    OnEvent(fleet, JobCancelled{id});
    run.ResumeTiming();
  }
  run.SetComplexityN(run.range(0));
}
BENCHMARK(MeasureSubmitUrgent)
    ->Arg(50)
    ->Arg(500)
    ->Arg(5000)
    ->Iterations(5000)
    ->Unit(benchmark::kMicrosecond)
    ->Complexity();

/// Measures 10,000 cancellations at once, half of them of queued and half of
/// running jobs.
void MeasureCancelWave(benchmark::State& run) {
  Fleet fleet = MakeFleet(static_cast<int>(run.range(0)));
  for (auto _ : run) {
    run.PauseTiming();
    std::vector<core::JobId> wave;
    for (std::size_t i = 0; i < kCancelledJobs / 2 && i < fleet.running.size();
         ++i) {
      wave.push_back(fleet.running[i].job);
    }
    while (wave.size() < kCancelledJobs) {
      JobSpec job = NextJob(fleet);
      wave.push_back(job.id);
      OnEvent(fleet, JobSubmitted{std::move(job)});
    }
    run.ResumeTiming();
    for (const core::JobId& id : wave) OnEvent(fleet, JobCancelled{id});
  }
  run.SetItemsProcessed(run.iterations() * kCancelledJobs);
  run.SetComplexityN(run.range(0));
}
BENCHMARK(MeasureCancelWave)
    ->Arg(50)
    ->Arg(500)
    ->Arg(5000)
    ->Iterations(5)
    ->Unit(benchmark::kMillisecond)
    ->Complexity();

void MeasureMemory(benchmark::State& run) {
  const auto workers = static_cast<int>(run.range(0));
  for (auto _ : run) {
    const std::int64_t before = HeapBytes();
    Fleet fleet = MakeWorkers(workers);
    const std::int64_t idle = HeapBytes();
    for (int i = 0; i < workers * kTasksPerWorker; ++i) {
      OnEvent(fleet, JobSubmitted{NextJob(fleet)});
    }
    const std::int64_t queued = HeapBytes();
    run.counters["bytes_per_worker"] =
        static_cast<double>(idle - before) / workers;
    run.counters["bytes_per_queued_job"] =
        static_cast<double>(queued - idle) / (workers * kTasksPerWorker);
    fleet.now += kSecond;
    const std::size_t starts_before = fleet.running.size();
    OnEvent(fleet, Tick{});
    run.counters["bytes_per_task"] =
        static_cast<double>(HeapBytes() - queued) /
        static_cast<double>(fleet.running.size() - starts_before);
  }
}
BENCHMARK(MeasureMemory)
    ->Arg(50)
    ->Arg(500)
    ->Arg(5000)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace camphormux::placement

BENCHMARK_MAIN();
