#include "camphormux/scheduler/urgency.hpp"

#include <algorithm>

namespace camphormux::scheduler {
namespace internal {

constexpr double kMilliCoresPerCore = 1000.0;
constexpr double kMillisPerSecond = 1000.0;
/// Limits of the retry time of a refused caller, which is otherwise the excess
/// of the backlog. The minimum is a second, the unit of the Retry-After header.
constexpr core::Millis kMaxRetryAfter{10'000};
constexpr core::Millis kMinRetryAfter{1'000};

/// A late job is placed before others when less than this is left beyond its
/// estimated run time, which is often wrong by half.
constexpr core::Millis kExpiringMargin{1500};

/// Returns the part of a job's work that is not done, in core seconds.
double RemainingWork(const Job& job) {
  return job.tasks.empty()
             ? 0.0
             : job.core_seconds * static_cast<double>(job.open_tasks) /
                   static_cast<double>(job.tasks.size());
}

}  // namespace internal

Urgency UrgencyOf(const Job& job, core::MonotonicTime now) {
  if (job.permanent || job.spec.occurrences > 0) {
    return Urgency::kPermanent;
  }
  const core::MonotonicTime end = now + job.remaining_path;
  if (end <= job.submitted + job.policy.objective) {
    return Urgency::kOnTime;
  }
  const core::MonotonicTime last =
      job.submitted + job.policy.objective * kLateFactor;
  if (end > last) {
    return Urgency::kOverdue;
  }
  return end + internal::kExpiringMargin > last ? Urgency::kExpiring
                                                : Urgency::kLate;
}

Rank RankOf(const Job& job, core::MonotonicTime now) {
  const double work = job.run_times.empty()
                          ? job.core_seconds
                          : workload::CoreSeconds(job.spec, job.run_times);
  return {false,
          UrgencyOf(job, now),
          job.policy.priority,
          job.state == workload::JobState::kQueued,
          work,
          job.submitted};
}

std::optional<core::Millis> RefusalRetryAfter(const State& state,
                                              const Job& job,
                                              core::MonotonicTime now) {
  if (job.policy.objective.count() == 0) {
    return std::nullopt;
  }
  double backlog = 0;
  for (const auto& [id, other] : state.jobs) {
    if (other.policy.pool == job.policy.pool && !other.permanent &&
        !workload::IsFinal(other.state) && other.spec.occurrences == 0 &&
        now < other.submitted + other.policy.objective * kLateFactor) {
      backlog += internal::RemainingWork(other);
    }
  }
  double cores = 0;
  for (const auto& [id, host] : state.hosts) {
    // Idle hosts of other pools can be moved to this pool.
    if (host.listed &&
        (host.listing.pool == job.policy.pool || host.runs.empty())) {
      cores += static_cast<double>(host.listing.capacity.cores.value) /
               internal::kMilliCoresPerCore;
    }
  }
  for (const auto& [id, machine] : state.machines) {
    const auto pool = state.catalog.pools.find(machine.listing.pool);
    if (pool != state.catalog.pools.end() && pool->second.standby &&
        !state.hosts.contains(machine.listing.host)) {
      cores += static_cast<double>(machine.listing.capacity.cores.value) /
               internal::kMilliCoresPerCore;
    }
  }
  if (cores <= 0) {
    return std::nullopt;
  }
  const auto wait = core::Millis(
      static_cast<std::int64_t>(backlog / cores * internal::kMillisPerSecond));
  const core::Millis useful =
      job.policy.objective * kLateFactor - workload::CriticalPath(job.spec, {});
  if (wait <= useful) {
    return std::nullopt;
  }
  return std::clamp(wait - useful, internal::kMinRetryAfter,
                    internal::kMaxRetryAfter);
}

}  // namespace camphormux::scheduler
