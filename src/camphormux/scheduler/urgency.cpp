#include "camphormux/scheduler/urgency.hpp"

namespace camphormux::scheduler {
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
  return end + kExpiringMargin > last ? Urgency::kExpiring : Urgency::kLate;
}

core::MonotonicTime ExpiringAt(const Job& job) {
  return job.submitted + job.policy.objective * kLateFactor -
         job.remaining_path - kExpiringMargin;
}

Rank RankOf(const Job& job, core::MonotonicTime now) {
  return {false,
          UrgencyOf(job, now),
          job.policy.priority,
          job.state == workload::JobState::kQueued,
          job.core_seconds,
          job.submitted};
}

}  // namespace camphormux::scheduler
