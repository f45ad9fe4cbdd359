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

bool MayStopTogether(const State& state, const std::vector<RunId>& runs) {
  return std::all_of(runs.begin(), runs.end(), [&](RunId id) {
    const Run& run = state.runs.at(id);
    const auto is_same_step = [&](RunId other_id) {
      const Run& other = state.runs.at(other_id);
      return other.name.job == run.name.job &&
             other.name.place.occurrence == run.name.place.occurrence &&
             other.name.place.step == run.name.place.step;
    };
    // Tasks among the runs that do not serve are counted once.
    const auto missing = static_cast<std::uint32_t>(
        std::count_if(runs.begin(), runs.end(), [&](RunId other_id) {
          const Run& other = state.runs.at(other_id);
          return is_same_step(other_id) &&
                 (other.task == run.task || IsServing(state, other));
        }));
    const workload::Step& step =
        state.jobs.at(run.name.job).spec.steps[run.name.place.step];
    // A run that does not serve yet may do so before it is stopped.
    const std::uint32_t uncertain = IsServing(state, run) ? 0U : 1U;
    return OtherUnavailableTasks(state, run) + uncertain + missing <=
           AvailabilityBudget(step);
  });
}

bool MayStopWithinBudget(const State& state, const Run& run) {
  const workload::Step& step =
      state.jobs.at(run.name.job).spec.steps[run.name.place.step];
  return !step.permanent ||
         OtherUnavailableTasks(state, run) < AvailabilityBudget(step);
}

}  // namespace camphormux::scheduler
