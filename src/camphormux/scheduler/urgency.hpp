#ifndef CAMPHORMUX_SCHEDULER_URGENCY_HPP_
#define CAMPHORMUX_SCHEDULER_URGENCY_HPP_

#include "camphormux/scheduler/rank.hpp"
#include "camphormux/scheduler/state.hpp"

namespace camphormux::scheduler {

/// A job's result has partial value up to this multiple of its objective.
inline constexpr int kLateFactor = 3;
/// A late job is placed before others when less than this is left beyond its
/// estimated run time, which is often wrong by half.
inline constexpr core::Millis kExpiringMargin{1500};

/// @brief Returns what a job can still achieve if its remaining steps start
/// now.
[[nodiscard]] Urgency UrgencyOf(const Job& job, core::MonotonicTime now);

/// @brief Returns when a job that has not started becomes expiring.
[[nodiscard]] core::MonotonicTime ExpiringAt(const Job& job);

/// @brief Ranks a job; lower ranks go first.
[[nodiscard]] Rank RankOf(const Job& job, core::MonotonicTime now);

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_URGENCY_HPP_
