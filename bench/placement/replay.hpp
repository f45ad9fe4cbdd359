#ifndef CAMPHORMUX_BENCH_PLACEMENT_REPLAY_HPP_
#define CAMPHORMUX_BENCH_PLACEMENT_REPLAY_HPP_

#include <cstdint>
#include <vector>

#include "camphormux/core/time.hpp"
#include "camphormux/placement/job.hpp"

namespace camphormux::placement {

/// @brief A job with its declared and its actual resources and run time.
struct SimulatedJob {
  JobSpec spec;
  core::MonotonicTime arrival;
  core::MonotonicTime cancel;  ///< The clock's epoch means never.
  Resources usage;
  core::Millis run_time{0};
  bool never_fits = false;    ///< Declares more memory than a worker has.
  bool always_fails = false;  ///< Fails on every worker.
};

/// @brief Workers, jobs and faults of one replay.
struct Scenario {
  std::vector<WorkerSpec> workers;
  std::vector<bool> is_faulty;  ///< By worker: fails every task until probed.
  std::vector<SimulatedJob> jobs;  ///< In order of arrival.
  core::Millis length{0};
};

/// @brief Results of one replay.
struct ReplayMetrics {
  double load_share = 0.0;  ///< Mean share of the workers' cores in use.
  double urgent_p50_s = 0.0;
  double urgent_p99_s = 0.0;
  double urgent_late_share = 0.0;  ///< Started after 3.1 s or never.
  double finished_share = 0.0;     ///< Of the jobs that can finish.
  double preemptions = 0.0;
  double memory_exceeded = 0.0;  ///< Tasks ended when out of memory.
  double quarantines = 0.0;
  /// Faulty workers that were never quarantined.
  double undetected_faulty_workers = 0.0;
};

/// @brief Generates the workers, jobs and faults of a replay of 30 minutes.
/// @param seed Seed; the same seed gives the same scenario.
/// @return The scenario.
[[nodiscard]] Scenario MakeScenario(std::uint64_t seed);

/// @brief Replays a scenario with the `placement` module.
/// @param scenario Workers, jobs and faults.
/// @param seed Seed of the delays of the simulated workers.
/// @return Metrics of the replay.
[[nodiscard]] ReplayMetrics ReplayPlacement(const Scenario& scenario,
                                            std::uint64_t seed);

/// @brief Replays a scenario with first fit as the baseline. It places jobs by
/// their declared sizes in order of arrival, urgent ones first, without
/// correction of declared sizes, preemption or quarantine.
/// @param scenario Workers, jobs and faults.
/// @param seed Seed of the delays of the simulated workers.
/// @return Metrics of the replay.
[[nodiscard]] ReplayMetrics ReplayNaive(const Scenario& scenario,
                                        std::uint64_t seed);

}  // namespace camphormux::placement

#endif  // CAMPHORMUX_BENCH_PLACEMENT_REPLAY_HPP_
