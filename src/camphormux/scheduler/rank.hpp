#ifndef CAMPHORMUX_SCHEDULER_RANK_HPP_
#define CAMPHORMUX_SCHEDULER_RANK_HPP_

#include <compare>
#include <cstdint>

#include "camphormux/core/time.hpp"

namespace camphormux::scheduler {

enum class Urgency {
  kPermanent,  ///< Yields value continuously and needs few resources.
  kExpiring,   ///< Late; must start now for its result to have any value.
  kOnTime,     ///< Can still meet its objective.
  kLate,       ///< Late, but can still end while its result has some value.
  kOverdue,
};

/// @brief Order in which jobs are placed: jobs within the share of their client
/// account, urgency, priority, jobs that have started, least work first. It is
/// made for surges of a few seconds whose demand exceeds the pool's capacity:
/// small jobs yield the most value per core second, started work is not left
/// half done, and late jobs are served before their results lose all value, as
/// the pool is nearly idle between surges.
struct Rank {
  /// The job exceeds the share of its client account.
  bool beyond_share = false;
  Urgency urgency = Urgency::kOverdue;
  std::uint32_t priority = 0;
  bool waiting = true;  ///< No task has started yet.
  double core_seconds = 0;
  core::MonotonicTime submitted;

  friend auto operator<=>(const Rank&, const Rank&) = default;
};

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_RANK_HPP_
