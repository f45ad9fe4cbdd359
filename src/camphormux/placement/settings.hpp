#ifndef CAMPHORMUX_PLACEMENT_SETTINGS_HPP_
#define CAMPHORMUX_PLACEMENT_SETTINGS_HPP_

#include <cstddef>
#include <cstdint>

#include "camphormux/core/time.hpp"

namespace camphormux::placement {

/// Target: an urgent job starts within this time of its submission (design,
/// section 1).
inline constexpr core::Millis kUrgentStartBound{3100};

/// Longest time for delivering the submission and deciding.
inline constexpr core::Millis kDecisionBound{100};
/// A throttle that is not confirmed within this time is followed by a
/// checkpoint.
inline constexpr core::Millis kThrottleTimeout{200};
/// A checkpoint that is not confirmed within this time is followed by a stop.
inline constexpr core::Millis kCheckpointTimeout{1500};
/// A stop that is not confirmed within this time is late; resources for the
/// waiting job are then freed on another worker.
inline constexpr core::Millis kStopTimeout{600};
/// Longest time from the start order until the task runs.
inline constexpr core::Millis kStartBound{500};

static_assert(kDecisionBound + kThrottleTimeout + kCheckpointTimeout +
                      kStopTimeout + kStartBound <
                  kUrgentStartBound,
              "preemption must leave urgent work enough time to start");

/// @brief Parameters of placement.
struct Settings {
  core::Millis task_lease{15000};
  /// Share of a pool that non-preemptible jobs of normal priority may hold. The
  /// rest is left to preemptible and urgent jobs, so that urgent jobs can
  /// start.
  double non_preemptible_share = 0.8;
  /// A throttled task keeps this share of its cores.
  double throttled_share = 0.1;
  /// Number of distinct workers on which a job fails before it is held back.
  std::uint32_t hold_back_after = 3;
  /// Number of distinct workers on which a job fails before it is given up.
  std::uint32_t give_up_after = 6;
  /// How often a job may run out of memory before it is given up. Its memory
  /// doubles each time, so five cover a declared size that is 32 times too
  /// small.
  std::uint32_t max_out_of_memory = 5;
  core::Millis initial_back_off{10000};
  core::Millis max_back_off{600000};
  /// Number of distinct jobs that fail on a worker, with no success in between,
  /// before it is quarantined without proof that the jobs run elsewhere.
  std::uint32_t quarantine_after = 4;
  /// The same for failed jobs that have since finished on another worker.
  std::uint32_t quarantine_after_proven = 2;
  /// Largest share of a pool's workers in quarantine at once. More failing
  /// workers point to a common cause, which quarantine does not fix.
  double quarantine_share = 0.2;
  core::Millis initial_probe_interval{30000};
  core::Millis max_probe_interval{1800000};
  /// Workers that are compared to choose one for a start or a preemption.
  std::size_t max_candidates = 8;
  /// Starts per step; further starts wait for the next step.
  std::size_t max_starts_per_step = 2000;
  /// A job within its team's quota waits this long for free resources before
  /// lent quota is reclaimed for it by preemption. At full load, waiting for
  /// tasks to end is cheaper than stopping tasks.
  core::Millis reclaim_after{30000};
  /// Interval between two reclaims in a pool, multiplied by its number of
  /// workers. Without it, when demand exceeds capacity, every other task was
  /// ended by a reclaim.
  core::Millis reclaim_interval_per_worker{100000};
  /// Reclaims of lent quota begun per step.
  std::size_t max_reclaims_per_step = 50;
  /// Each pool with queued jobs is checked once in this number of steps, even
  /// if no change was recorded for it.
  std::uint32_t steps_per_sweep = 8;
  /// Ended jobs that are kept for `explain`.
  std::size_t max_ended_jobs = 20000;
};

}  // namespace camphormux::placement

#endif  // CAMPHORMUX_PLACEMENT_SETTINGS_HPP_
