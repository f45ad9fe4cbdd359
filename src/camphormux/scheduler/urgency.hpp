#ifndef CAMPHORMUX_SCHEDULER_URGENCY_HPP_
#define CAMPHORMUX_SCHEDULER_URGENCY_HPP_

#include <optional>
#include <tuple>

#include "camphormux/scheduler/state.hpp"

namespace camphormux::scheduler {

/// A job's result has partial value up to this multiple of its objective.
inline constexpr int kLateFactor = 3;

enum class Urgency {
  kPermanent,  ///< Yields value continuously and needs few resources.
  kExpiring,   ///< Late; must start now for its result to have any value.
  kOnTime,     ///< Can still meet its objective.
  kLate,       ///< Late, but can still end while its result has some value.
  kOverdue,
};

/// @brief Returns what a job can still achieve if its remaining steps start
/// now.
[[nodiscard]] Urgency UrgencyOf(const Job& job, core::MonotonicTime now);

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

/// @brief Ranks a job; lower ranks go first.
[[nodiscard]] Rank RankOf(const Job& job, core::MonotonicTime now);

/// @brief Decides whether a new job must be refused: the work ahead of it would
/// keep its pool busy until the job's result has no value. The work of other
/// client accounts is ahead of it only up to their shares, as what exceeds them
/// is placed last: the backlog of one account does not refuse the others.
/// @param state The state.
/// @param job The job; not in the state yet.
/// @param now The time.
/// @return The time after which the caller may retry, or nothing if the job is
/// accepted.
[[nodiscard]] std::optional<core::Millis> RefusalRetryAfter(
    const State& state, const Job& job, core::MonotonicTime now);

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_URGENCY_HPP_
