#include "camphormux/scheduler/pacing.hpp"

#include <algorithm>

namespace camphormux::scheduler {
namespace internal {

/// Ratio of a serving task's latency to its target above which best-effort runs
/// on its host slow down, and below which they speed up again. The gap prevents
/// oscillation.
constexpr double kSlowDownAbove = 0.9;
constexpr double kSpeedUpBelow = 0.7;
constexpr int kFullPace = 100;
/// A lower pace, in percent, is set to 0.
constexpr int kMinPace = 15;
constexpr int kPaceStep = 20;

/// Returns the highest ratio of latency to target among the serving runs of a
/// host.
double WorstLatency(const State& state, const Host& host) {
  double worst = 0;
  for (const RunId id : host.runs) {
    const Run& run = state.runs.at(id);
    if (run.latency_target.count() > 0 && !run.best_effort &&
        run.phase == RunPhase::kRunning) {
      worst =
          std::max(worst, static_cast<double>(run.load) /
                              static_cast<double>(run.latency_target.count()));
    }
  }
  return worst;
}

int NextPace(int pace, double worst) {
  if (worst > kSlowDownAbove) {
    const int lower = pace / 2;
    return lower < kMinPace ? 0 : lower;
  }
  return worst < kSpeedUpBelow ? std::min(kFullPace, pace + kPaceStep) : pace;
}

}  // namespace internal

void PaceBestEffortRuns(State& state, Host& host, core::MonotonicTime /*now*/) {
  if (host.best_effort_runs == 0) {
    return;
  }
  const double worst = internal::WorstLatency(state, host);
  for (const RunId id : host.runs) {
    Run& run = state.runs.at(id);
    if (!run.best_effort || run.phase != RunPhase::kRunning) {
      continue;
    }
    const int pace = internal::NextPace(run.pace, worst);
    if (pace != run.pace || run.is_pace_in_doubt) {
      run.pace = pace;
      run.is_pace_in_doubt = false;
      state.orders.emplace_back(PaceRun{host.listing.id, run.name, pace});
    }
  }
}

}  // namespace camphormux::scheduler
