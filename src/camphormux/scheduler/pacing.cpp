#include "camphormux/scheduler/pacing.hpp"

#include <algorithm>

namespace camphormux::scheduler {
namespace internal {

/// Share of its target above which a serving task is protected, and below
/// which what fills beside it may speed up. The gap prevents oscillation.
constexpr double kSlowDownAbove = 0.9;
constexpr double kSpeedUpBelow = 0.7;
constexpr int kFullPace = 100;
/// A pace below this is rounded to a halt.
constexpr int kMinPace = 15;
constexpr int kPaceStep = 20;

/// Highest ratio of latency to target among the serving runs of a host.
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
    if (pace != run.pace) {
      run.pace = pace;
      state.orders.emplace_back(PaceRun{host.listing.id, run.name, pace});
    }
  }
}

}  // namespace camphormux::scheduler
