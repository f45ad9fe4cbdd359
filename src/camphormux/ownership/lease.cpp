#include "camphormux/ownership/lease.hpp"

#include <utility>

namespace camphormux::ownership {
namespace internal {

// Records a claim, renewal or release that was not read before.
void Observe(Lease& lease, const LogView& view, core::MonotonicTime now) {
  const core::Epoch epoch =
      view.lease == nullptr ? core::Epoch{} : view.lease->epoch;
  const core::LogOffset renewal =
      view.lease == nullptr ? core::LogOffset{} : view.lease->last_renewal;
  const bool released = view.lease != nullptr && view.lease->released;
  if (lease.has_observed && epoch == lease.observed_epoch &&
      renewal == lease.observed_renewal &&
      released == lease.observed_released) {
    return;
  }
  lease.has_observed = true;
  lease.observed_epoch = epoch;
  lease.observed_renewal = renewal;
  lease.observed_released = released;
  lease.observed_at = now;
  lease.jitter =
      core::Jitter(lease.random, released ? lease.options.release_jitter
                                          : lease.options.max_jitter);
}

bool IsOwn(const Lease& lease, const LogView& view) {
  return view.lease != nullptr && view.lease->holder == lease.self &&
         view.lease->epoch == lease.epoch;
}

// Gives up the claim or lease after another holder or epoch was read.
void BecomeContender(Lease& lease) {
  lease.role = Role::kContender;
  lease.epoch = core::Epoch{};
  lease.confirmed_at.reset();
  lease.outstanding = false;
}

// Tells whether the log was read to its end at or after the time the lease
// expired, without finding a renewal. After a pause, a process must read again
// first, because an answer that arrived during the pause shows an old end of
// the log.
bool IsExpired(const Lease& lease, const LogView& view) {
  return view.complete_until &&
         *view.complete_until >=
             lease.observed_at + lease.options.duration + lease.jitter;
}

// Tells whether the lease was released and the random wait is over. The log
// need not be read again: no renewal can follow a release, and if another claim
// comes first, the own claim has no effect.
bool ReleaseWaitElapsed(const Lease& lease, const LogView& view,
                        core::MonotonicTime now) {
  return lease.observed_released && view.complete_until &&
         now >= lease.observed_at + lease.jitter;
}

LeaseStep Claim(Lease& lease, core::MonotonicTime now) {
  const core::Epoch next_epoch = core::Next(lease.observed_epoch);
  if (lease.role != Role::kClaiming || lease.epoch != next_epoch) {
    lease.claimed_at = now;
  }
  lease.role = Role::kClaiming;
  lease.epoch = next_epoch;
  lease.sent_at = now;
  lease.outstanding = true;
  lease.confirmed_at.reset();
  return {state::LeaseClaim{lease.zone, lease.self, lease.epoch}, {}};
}

LeaseStep AdvanceContender(Lease& lease, const LogView& view,
                           core::MonotonicTime now) {
  // The wait also applies to a zone without a lease, so that usually one of
  // several starting processes claims first.
  if (!ReleaseWaitElapsed(lease, view, now) && !IsExpired(lease, view)) {
    return {};
  }
  return Claim(lease, now);
}

LeaseStep AdvanceClaiming(Lease& lease, const LogView& view,
                          core::MonotonicTime now) {
  if (IsOwn(lease, view)) {
    lease.role = Role::kHolder;
    // If the claim was sent more than once, the copy on the log may be the
    // first one, so the decision window starts at the send time of the first.
    lease.confirmed_at = lease.claimed_at;
    lease.outstanding = false;
    return {};
  }
  if (lease.observed_epoch >= lease.epoch) {
    BecomeContender(lease);
    return {};
  }
  // The log was read past the claim's send time and does not contain it.
  // Sending it again is harmless, because a late copy has the same epoch and
  // holder.
  const bool missing =
      view.complete_until &&
      *view.complete_until >= lease.sent_at + lease.options.resend_after;
  return missing ? Claim(lease, now) : LeaseStep{};
}

LeaseStep AdvanceHolder(Lease& lease, const LogView& view,
                        core::MonotonicTime now) {
  if (!IsOwn(lease, view)) {
    BecomeContender(lease);
    return {};
  }
  const core::Millis wait = lease.outstanding ? lease.options.resend_after
                                              : lease.options.renew_period;
  // A holder that cannot read the log makes no decisions; its renewals would
  // keep the lease from a process that can read it.
  const bool log_view_is_old =
      !view.complete_until ||
      now - *view.complete_until >= lease.options.decision_window;
  if (log_view_is_old || now < lease.sent_at + wait) {
    return {};
  }
  lease.sent_at = now;
  lease.outstanding = true;
  return {{}, state::LeaseRenew{lease.zone, lease.self, lease.epoch}};
}

}  // namespace internal

Lease MakeLease(core::ZoneName zone, core::ProcessId self, LeaseOptions options,
                core::Random random) {
  Lease lease;
  lease.zone = std::move(zone);
  lease.self = std::move(self);
  lease.options = options;
  lease.random = random;
  return lease;
}

LeaseStep Advance(Lease& lease, const LogView& view, core::MonotonicTime now) {
  internal::Observe(lease, view, now);
  switch (lease.role) {
    case Role::kContender:
      return internal::AdvanceContender(lease, view, now);
    case Role::kClaiming:
      return internal::AdvanceClaiming(lease, view, now);
    case Role::kHolder:
      return internal::AdvanceHolder(lease, view, now);
    case Role::kReleased:
      break;
  }
  return {};
}

void OnAppended(Lease& lease, core::MonotonicTime sent_at) {
  // A claim counts only when the state shows that it came first.
  if (lease.role != Role::kHolder) {
    return;
  }
  if (sent_at == lease.sent_at) {
    lease.outstanding = false;
  }
  if (!lease.confirmed_at || *lease.confirmed_at < sent_at) {
    lease.confirmed_at = sent_at;
  }
}

std::optional<state::LeaseRelease> Release(Lease& lease) {
  if (lease.role != Role::kHolder) {
    return std::nullopt;
  }
  lease.role = Role::kReleased;
  return state::LeaseRelease{lease.zone, lease.self, lease.epoch};
}

std::optional<core::Epoch> HeldEpoch(const Lease& lease,
                                     core::MonotonicTime now) {
  if (lease.role != Role::kHolder || !lease.confirmed_at ||
      now > *lease.confirmed_at + lease.options.decision_window) {
    return std::nullopt;
  }
  return lease.epoch;
}

}  // namespace camphormux::ownership
