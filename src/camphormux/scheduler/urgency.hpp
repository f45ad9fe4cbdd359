#ifndef CAMPHORMUX_SCHEDULER_URGENCY_HPP_
#define CAMPHORMUX_SCHEDULER_URGENCY_HPP_

#include <optional>
#include <tuple>

#include "camphormux/scheduler/state.hpp"

namespace camphormux::scheduler {

/// A job is worth a part of its value up to this multiple of its objective.
inline constexpr int kLateFactor = 3;

enum class Urgency {
  kPermanent,  ///< Earns with each second; takes little room.
  kExpiring,   ///< Is late and must start now for its result to count at all.
  kOnTime,     ///< Can still meet its objective.
  kLate,       ///< Can still end while its result is worth something.
  kOverdue,
};

/// @brief Tells what a job can still reach if its remaining steps start now.
[[nodiscard]] Urgency UrgencyOf(const Job& job, core::MonotonicTime now);

/// @brief Order in which jobs get room: urgency, priority, jobs that have
/// begun, least work first. Made for surges of some seconds that ask more than
/// the pool holds: small jobs gain most for a core second, work that has begun
/// is not left half done, and what had to wait is served before its result is
/// worthless, as the pool is nearly idle between the surges.
struct Rank {
  Urgency urgency = Urgency::kOverdue;
  std::uint32_t priority = 0;
  bool waiting = true;  ///< No task was started yet.
  double core_seconds = 0;
  core::MonotonicTime submitted;

  friend auto operator<=>(const Rank&, const Rank&) = default;
};

/// @brief Ranks a job; lower goes first.
[[nodiscard]] Rank RankOf(const Job& job, core::MonotonicTime now);

/// @brief Decides whether a new job must be refused: it is when the work ahead
/// of it keeps its pool busy until the job's result is worthless.
/// @param state The state.
/// @param job The job; not in the state yet.
/// @param now The time.
/// @return When the caller may come back, or nothing if the job is accepted.
[[nodiscard]] std::optional<core::Millis> RefusalRetryAfter(
    const State& state, const Job& job, core::MonotonicTime now);

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_URGENCY_HPP_
