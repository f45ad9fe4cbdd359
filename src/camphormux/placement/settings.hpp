#ifndef CAMPHORMUX_PLACEMENT_SETTINGS_HPP_
#define CAMPHORMUX_PLACEMENT_SETTINGS_HPP_

#include <cstddef>
#include <cstdint>

#include "camphormux/core/time.hpp"

namespace camphormux::placement {

/// Urgent work starts within this time of its submission (design, section 1).
inline constexpr core::Millis kUrgentStartBound{3100};

/// Delivery of the submission and the decision.
inline constexpr core::Millis kDecisionBound{100};
/// A throttle that is not confirmed within this time is followed by a
/// checkpoint.
inline constexpr core::Millis kThrottleTimeout{200};
/// A checkpoint that is not confirmed within this time is followed by a stop.
inline constexpr core::Millis kCheckpointTimeout{1500};
/// A stop is expected to be confirmed within this time; otherwise room is made
/// on another worker.
inline constexpr core::Millis kStopTimeout{600};
/// From the order to start until the task runs.
inline constexpr core::Millis kStartBound{500};

static_assert(kDecisionBound + kThrottleTimeout + kCheckpointTimeout +
                      kStopTimeout + kStartBound <
                  kUrgentStartBound,
              "preemption must leave urgent work enough time to start");

/// @brief Parameters of the decisions.
struct Settings {
  core::Millis task_lease{15000};
  /// Share of a pool that normal work which does not yield may hold; the rest
  /// is left to preemptible and urgent work, so that urgent work finds room.
  double non_preemptible_share = 0.8;
  /// A throttled task keeps this share of its cores.
  double throttled_share = 0.1;
  /// Distinct workers on which a job fails before it is held back.
  std::uint32_t hold_back_after = 3;
  /// Distinct workers on which a job fails before it is given up.
  std::uint32_t give_up_after = 6;
  /// Times a job may run out of memory before it is given up; its size doubles
  /// each time, so that five cover a declared size that is 32 times too small.
  std::uint32_t max_out_of_memory = 5;
  core::Millis initial_back_off{10000};
  core::Millis max_back_off{600000};
  /// Distinct jobs that fail on a worker, with no success between, before it
  /// is quarantined without proof that the jobs run elsewhere.
  std::uint32_t quarantine_after = 4;
  /// The same for jobs that have finished on another worker since.
  std::uint32_t quarantine_after_proven = 2;
  /// Largest share of a pool's workers in quarantine at once. More are a sign
  /// of a common cause that taking workers out does not mend.
  double quarantine_share = 0.2;
  core::Millis initial_probe_interval{30000};
  core::Millis max_probe_interval{1800000};
  /// Workers that are compared for one start.
  std::size_t max_candidates = 8;
  /// Starts in one step; the rest waits for the next step.
  std::size_t max_starts_per_step = 2000;
  /// A job within its team's quota waits this long for room that becomes free
  /// before lent quota is reclaimed for it: at full load, tasks that end free
  /// room more cheaply than tasks that are stopped.
  core::Millis reclaim_after{30000};
  /// Pause between two reclaims in a pool, times its workers. Without it, at a
  /// demand above the capacity, every other task ended by a reclaim.
  core::Millis reclaim_interval_per_worker{100000};
  /// Reclaims of lent quota that one step begins.
  std::size_t max_reclaims_per_step = 50;
  /// Each pool with waiting jobs is looked at once in so many steps, even when
  /// nothing is known to have changed for it.
  std::uint32_t steps_per_sweep = 8;
  /// Ended jobs that `explain` still knows.
  std::size_t max_ended_jobs = 20000;
};

}  // namespace camphormux::placement

#endif  // CAMPHORMUX_PLACEMENT_SETTINGS_HPP_
