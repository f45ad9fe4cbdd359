#include "camphormux/scheduler/availability.hpp"

#include <algorithm>

namespace camphormux::scheduler {
namespace internal {

constexpr int kServingPercent = 100;

}  // namespace internal

bool IsServing(const State& state, const Run& run) {
  return run.phase == RunPhase::kRunning &&
         run.percent >= internal::kServingPercent &&
         !state.hosts.at(run.host).unresponsive_since;
}

std::uint32_t OtherUnavailableTasks(const State& state, const Run& run) {
  const Job& job = state.jobs.at(run.name.job);
  const workload::Step& step = job.spec.steps[run.name.place.step];
  const std::uint32_t first = run.task - run.name.place.index;
  std::uint32_t unavailable = 0;
  for (std::uint32_t i = first; i < first + step.count; ++i) {
    const auto& runs = job.tasks[i].runs;
    const bool is_available =
        i == run.task || std::any_of(runs.begin(), runs.end(), [&](RunId id) {
          return IsServing(state, state.runs.at(id));
        });
    unavailable += is_available ? 0U : 1U;
  }
  return unavailable;
}

std::uint32_t AvailabilityBudget(const workload::Step& step) {
  return std::max(1U, step.max_unavailable.value_or(1));
}

bool MayStopWithinBudget(const State& state, const Run& run) {
  const workload::Step& step =
      state.jobs.at(run.name.job).spec.steps[run.name.place.step];
  return !step.permanent ||
         OtherUnavailableTasks(state, run) < AvailabilityBudget(step);
}

}  // namespace camphormux::scheduler
