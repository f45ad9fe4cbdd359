#ifndef CAMPHORMUX_BENCH_PLACEMENT_REPLAY_HPP_
#define CAMPHORMUX_BENCH_PLACEMENT_REPLAY_HPP_

#include <cstdint>
#include <vector>

#include "camphormux/core/time.hpp"
#include "camphormux/placement/job.hpp"

namespace camphormux::placement {

/// @brief A job with what it really does.
struct SimulatedJob {
  JobSpec spec;
  core::MonotonicTime arrival;
  core::MonotonicTime cancel;  ///< The epoch: never.
  Resources usage;
  core::Millis run_time{0};
  bool never_fits = false;
  bool always_fails = false;
};

/// @brief Demand and faults of one replay.
struct Scenario {
  std::vector<WorkerSpec> workers;
  std::vector<bool> is_faulty;     ///< Fails every task, until it is probed.
  std::vector<SimulatedJob> jobs;  ///< By arrival.
  core::Millis length{0};
};

/// @brief What a replay measured.
struct ReplayMetrics {
  double load_share = 0.0;  ///< Of the workers' cores, over time.
  double urgent_p50_s = 0.0;
  double urgent_p99_s = 0.0;
  double urgent_late_share = 0.0;  ///< Above 3.1 s or never.
  double finished_share = 0.0;     ///< Of the jobs that can run.
  double preemptions = 0.0;
  double memory_exceeded = 0.0;  ///< Tasks ended for want of memory.
  double quarantines = 0.0;
  double undetected_faulty_workers =
      0.0;  ///< Bad workers that were never quarantined.
};

[[nodiscard]] Scenario MakeScenario(std::uint64_t seed);

/// @brief Runs the decisions of this module.
[[nodiscard]] ReplayMetrics ReplayPlacement(const Scenario& scenario,
                                            std::uint64_t seed);

/// @brief Runs naive first fit: declared sizes, in order of arrival, urgent
/// first, no correction, no preemption, no quarantine.
[[nodiscard]] ReplayMetrics ReplayNaive(const Scenario& scenario,
                                        std::uint64_t seed);

}  // namespace camphormux::placement

#endif  // CAMPHORMUX_BENCH_PLACEMENT_REPLAY_HPP_
