#include "camphormux/scheduler/urgency.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "camphormux/scheduler/shares.hpp"

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

/// Returns whether the work of a job and what its client account has open in
/// the pool is within the account's share of what the pool can do in a time.
/// @param open Open work of each account; that of the job is added.
/// @param capacity Core seconds.
bool IsWithinShare(const State& state, const Job& job, PoolShares open,
                   double capacity) {
  if (!state.catalog.needs_keys || job.spec.account.value.empty()) {
    return false;
  }
  const workload::AccountName& account = job.spec.account;
  open.accounts[account].waiting += job.core_seconds;
  for (auto& [name, share] : open.accounts) {
    const auto known = state.catalog.accounts.find(name);
    share.weight = known == state.catalog.accounts.end()
                       ? workload::Account{}.weight
                       : known->second.weight;
  }
  Divide(open, capacity);
  const AccountShare& own = open.accounts.at(account);
  return own.entitled >= own.waiting;
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
  return {false,
          UrgencyOf(job, now),
          job.policy.priority,
          job.state == workload::JobState::kQueued,
          job.core_seconds,
          job.submitted};
}

std::optional<core::Millis> RefusalRetryAfter(const State& state,
                                              const Job& job,
                                              core::MonotonicTime now) {
  if (job.policy.objective.count() == 0) {
    return std::nullopt;
  }
  double backlog = 0;
  PoolShares open;
  for (const auto& [id, other] : state.jobs) {
    if (other.policy.pool == job.policy.pool && !other.permanent &&
        !workload::IsFinal(other.state) && other.spec.occurrences == 0 &&
        now < other.submitted + other.policy.objective * kLateFactor) {
      const double work = internal::RemainingWork(other);
      backlog += work;
      open.accounts[other.spec.account].waiting += work;
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
  if (wait <= useful ||
      internal::IsWithinShare(
          state, job, std::move(open),
          cores * std::chrono::duration<double>(useful).count())) {
    return std::nullopt;
  }
  return std::clamp(wait - useful, internal::kMinRetryAfter,
                    internal::kMaxRetryAfter);
}

}  // namespace camphormux::scheduler
