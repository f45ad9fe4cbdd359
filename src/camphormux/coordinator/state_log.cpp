#include "camphormux/coordinator/state_log.hpp"

#include <cmath>
#include <string>
#include <utility>

#include "camphormux/scheduler/jobs.hpp"
#include "camphormux/scheduler/load.hpp"
#include "camphormux/telemetry/log.hpp"

namespace camphormux::coordinator {
namespace internal {

constexpr std::size_t kMaxLoggedKinds = 8;
constexpr double kPercent = 100;

std::string RoundedText(double value) {
  return std::to_string(std::lround(value));
}

}  // namespace internal

void LogPoolLoads(scheduler::State& state, core::MonotonicTime now) {
  auto work = std::exchange(state.work, {});
  for (const auto& [pool, load] : scheduler::MeasureLoads(state, now)) {
    const scheduler::PoolWork& done = work[pool];
    telemetry::Log(
        telemetry::LogRateClass::kPeriodic, telemetry::Level::kInfo,
        "pool load",
        {{"pool", pool.value},
         {"hosts", std::to_string(load.hosts)},
         {"idle_hosts", std::to_string(load.idle_hosts)},
         {"millicores", std::to_string(load.capacity.value)},
         {"permanent", std::to_string(load.permanent.value)},
         {"urgent", std::to_string(load.urgent.value)},
         {"waiting", std::to_string(load.waiting.value)},
         {"open_jobs", std::to_string(load.open_jobs)},
         {"late_jobs", std::to_string(load.late_jobs)},
         {"inflow", std::to_string(std::lround(load.arrival_rate))},
         {"started_in_time", std::to_string(done.started_in_time)},
         {"started_late", std::to_string(done.started_late)},
         {"done_in_time", internal::RoundedText(done.done_in_time)},
         {"done_late", internal::RoundedText(done.done_late)},
         {"done_worthless", internal::RoundedText(done.done_worthless)}});
  }
}

void LogRunTimes(const scheduler::State& state) {
  for (const scheduler::RunTimeError& error :
       scheduler::RunTimeErrors(state.run_times, internal::kMaxLoggedKinds)) {
    telemetry::Log(
        telemetry::LogRateClass::kPeriodic, telemetry::Level::kInfo,
        "run times",
        {{"queue", error.kind.queue.value},
         {"image", error.kind.image},
         {"runs", internal::RoundedText(error.runs)},
         {"estimate_error_percent",
          internal::RoundedText(internal::kPercent * error.estimate)},
         {"expected_error_percent",
          internal::RoundedText(internal::kPercent * error.expected)}});
  }
}

void LogWaveProgress(const scheduler::State& state, core::MonotonicTime now) {
  for (const auto& [id, wave] : state.waves) {
    if (wave.complete || wave.request.machines.empty()) {
      continue;
    }
    const scheduler::WaveBacklog& backlog = wave.backlog;
    telemetry::Log(
        telemetry::LogRateClass::kPeriodic, telemetry::Level::kInfo,
        "wave progress",
        {{"wave", std::to_string(id.value)},
         {"machines", std::to_string(wave.request.machines.size())},
         {"begun", std::to_string(wave.begun.size())},
         {"left_ms",
          std::to_string((wave.seen + wave.request.deadline - now).count())},
         {"ordered", std::to_string(backlog.ordered)},
         {"draining", std::to_string(backlog.draining)},
         {"queued", std::to_string(backlog.queued)},
         {"pool_in_service", std::to_string(backlog.pool_in_service)},
         {"needed_by_task", std::to_string(backlog.needed_by_task)},
         {"tasks_must_run", std::to_string(backlog.tasks_must_run)},
         {"unavailable", std::to_string(backlog.unavailable)}});
  }
}

void LogJobsWithoutPolicy(const scheduler::State& state, core::Epoch token) {
  for (const auto& [id, job] : state.jobs) {
    if (!scheduler::HasPolicy(job)) {
      telemetry::Log(telemetry::Level::kWarning,
                     "job waits until its queue is configured again",
                     {{"job", id.value},
                      {"queue", job.spec.queue.value},
                      {"token", std::to_string(token.value)}});
    }
  }
}

}  // namespace camphormux::coordinator
