#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "bench/placement/replay_setup.hpp"
#include "camphormux/core/random.hpp"

namespace camphormux::placement {
namespace {

using namespace internal;  // NOLINT(google-build-using-namespace)

constexpr int kPools = 5;
constexpr int kKindsPerTeam = 4;
constexpr core::Millis kReplayLength{1800000};
/// Arriving work as a share of capacity. More than 1, so that jobs always wait
/// in the queue.
constexpr double kOfferedLoadShare = 1.1;
constexpr double kUrgentJobShare = 0.05;
constexpr double kPreemptibleJobShare = 0.6;
constexpr double kNeverFittingShare = 0.02;
constexpr double kFaultyWorkerShare = 0.01;
constexpr double kFailingJobShare = 0.005;

/// Returns the ratio of declared to actual size or run time, log-uniform from
/// 0.2 to 5.
double DeclarationError(core::Random& random) {
  return std::pow(5.0, 2.0 * core::UnitInterval(random) - 1.0);
}

/// Returns the factor on the mean arrival rate: 5 for 10 s of each minute, 0.2
/// otherwise.
double DemandFactor(core::MonotonicTime time) {
  const auto second = (time - kStartTime).count() / 1000 % 60;
  return second < 10 ? 5.0 : 0.2;
}

SimulatedJob MakeJob(core::Random& random, const std::vector<double>& errors,
                     std::size_t number) {
  SimulatedJob job;
  const auto team =
      static_cast<std::size_t>(core::UniformBelow(random, kTeams));
  const auto kind =
      static_cast<std::size_t>(core::UniformBelow(random, kKindsPerTeam));
  const double noise = 0.9 + 0.2 * core::UnitInterval(random);
  const double error = errors[team * kKindsPerTeam + kind];
  job.usage = {{static_cast<std::int64_t>(
                   (1000.0 + 1000.0 * static_cast<double>(kind)) * noise)},
               {static_cast<std::int64_t>(
                   (3000.0 + 4000.0 * static_cast<double>(kind)) * noise)},
               {0}};
  job.run_time = core::Millis{static_cast<core::Millis::rep>(
      -120000.0 * std::log(1.0 - core::UnitInterval(random)) + 1000.0)};
  JobSpec& spec = job.spec;
  spec.id = {"job-" + std::to_string(number)};
  spec.team = {"team-" + std::to_string(team)};
  spec.kind = "kind-" + std::to_string(kind);
  spec.priority = core::UnitInterval(random) < kUrgentJobShare
                      ? Priority::kUrgent
                      : Priority::kNormal;
  spec.preemptible = core::UnitInterval(random) < kPreemptibleJobShare;
  spec.repeatable = core::UnitInterval(random) < 0.9;
  spec.declared = {{static_cast<std::int64_t>(
                       (1000.0 + 1000.0 * static_cast<double>(kind)) * error)},
                   {static_cast<std::int64_t>(
                       (3000.0 + 4000.0 * static_cast<double>(kind)) * error)},
                   {0}};
  spec.declared_run_time = core::Millis{static_cast<core::Millis::rep>(
      static_cast<double>(job.run_time.count()) * DeclarationError(random))};
  spec.pool = {"pool-" + std::to_string(core::UniformBelow(random, kPools))};
  job.never_fits = core::UnitInterval(random) < kNeverFittingShare;
  if (job.never_fits) spec.declared.memory = kShape.memory + kShape.memory;
  job.always_fails = core::UnitInterval(random) < kFailingJobShare;
  return job;
}

/// Cancels, every five minutes, a random third of the jobs that arrived in the
/// 30 s before.
void AddCancellations(core::Random& random, Scenario& scenario) {
  constexpr core::Millis kWavePeriod{300000};
  constexpr core::Millis kWaveWindow{30000};
  for (SimulatedJob& job : scenario.jobs) {
    const core::Millis time_in_period =
        (job.arrival - kStartTime) % kWavePeriod;
    if (time_in_period < kWavePeriod - kWaveWindow) continue;
    if (core::UniformBelow(random, 3) == 0) {
      job.cancel = job.arrival + (kWavePeriod - time_in_period);
    }
  }
}

}  // namespace

Scenario MakeScenario(std::uint64_t seed) {
  core::Random random = core::SeededRandom(seed);
  Scenario scenario;
  scenario.length = kReplayLength;
  for (int i = 0; i < kWorkers; ++i) {
    scenario.workers.push_back({{"host-" + std::to_string(i)},
                                {"zone"},
                                {"rack-" + std::to_string(i / 4)},
                                {"pool-" + std::to_string(i % kPools)},
                                kShape});
  }
  // At least one worker is faulty: 1% of 50 workers would leave every second
  // run without one.
  scenario.is_faulty.resize(kWorkers);
  const int faulty_workers =
      std::max(1, static_cast<int>(kWorkers * kFaultyWorkerShare));
  for (int i = 0; i < faulty_workers; ++i) {
    scenario.is_faulty[core::UniformBelow(random, kWorkers)] = true;
  }
  std::vector<double> errors(kTeams * kKindsPerTeam);
  for (double& error : errors) error = DeclarationError(random);
  // The mean task uses 2.5 cores for 121 s.
  const double mean_core_s = 2.5 * 121.0;
  const double per_second = kOfferedLoadShare * 64.0 * kWorkers / mean_core_s;
  for (core::MonotonicTime time = kStartTime; time < kStartTime + kReplayLength;
       time += kSecond) {
    const double expected = per_second * DemandFactor(time);
    auto count = static_cast<int>(expected);
    if (core::UnitInterval(random) < expected - count) ++count;
    for (int i = 0; i < count; ++i) {
      SimulatedJob job = MakeJob(random, errors, scenario.jobs.size());
      job.arrival = time + core::Jitter(random, core::Millis{999});
      scenario.jobs.push_back(std::move(job));
    }
  }
  AddCancellations(random, scenario);
  return scenario;
}

}  // namespace camphormux::placement
