#ifndef CAMPHORMUX_OWNERSHIP_LEASE_HPP_
#define CAMPHORMUX_OWNERSHIP_LEASE_HPP_

#include <optional>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/random.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/state/fleet_state.hpp"
#include "camphormux/state/records.hpp"

namespace camphormux::ownership {

/// @brief Timing of the controller lease (design section 7).
struct LeaseOptions {
  /// A contender claims the lease when it has read no renewal for this time
  /// plus jitter.
  core::Millis duration{6000};
  core::Millis max_jitter{1000};
  core::Millis renew_period{2000};
  /// A holder makes decisions only for this time after the send time of its
  /// last renewal that is known to be on the log. It is shorter than
  /// `duration`, so that a live holder stops before another process takes over.
  core::Millis decision_window{4000};
  /// A contender claims a released lease after a random time up to this limit,
  /// so that usually one of several contenders claims first.
  core::Millis release_jitter{100};
  /// A claim that was not read, or a renewal that was not answered, within this
  /// time is sent again.
  core::Millis resend_after{1000};
};

/// Role of a process for a zone's lease. A process that has released the lease
/// makes no more decisions or claims until it is restarted.
enum class Role { kContender, kClaiming, kHolder, kReleased };

/// @brief State of a zone's lease as one process knows it.
struct Lease {
  core::ZoneName zone;
  core::ProcessId self;
  LeaseOptions options;
  core::Random random;

  Role role = Role::kContender;
  core::Epoch epoch;  ///< Epoch that is claimed or held.
  /// Last renewal or release read from the log, and when it was first read.
  core::Epoch observed_epoch;
  core::LogOffset observed_renewal;
  core::MonotonicTime observed_at;
  bool observed_released = false;
  bool has_observed = false;
  core::Millis jitter{0};
  /// Send time of the last claim or renewal.
  core::MonotonicTime sent_at;
  /// Send time of the first claim of the epoch.
  core::MonotonicTime claimed_at;
  /// Send time of the last claim or renewal that is known to be on the log.
  std::optional<core::MonotonicTime> confirmed_at;
  /// The last claim was not read yet, or the last renewal was not answered.
  bool outstanding = false;
};

/// @brief What a process has read from the log.
struct LogView {
  /// The zone's lease in the state read so far; nullptr if it has none.
  const state::ZoneLease* lease = nullptr;
  /// The state contains all records that were on the log at this time.
  std::optional<core::MonotonicTime> complete_until;
};

/// @brief Records to append to the log.
struct LeaseStep {
  std::optional<state::LeaseClaim> claim;
  std::optional<state::LeaseRenew> renew;
};

/// @brief Makes the lease state of a contender.
/// @param zone The zone.
/// @param self This process.
/// @param options Timing.
/// @param random Random number generator for the jitter.
/// @return The lease state.
[[nodiscard]] Lease MakeLease(core::ZoneName zone, core::ProcessId self,
                              LeaseOptions options, core::Random random);

/// @brief Advances the lease. Call it after each read and at least every
/// 500 ms.
/// @param lease The lease.
/// @param view What the process has read from the log.
/// @param now The process's monotonic time.
/// @return Records to append.
[[nodiscard]] LeaseStep Advance(Lease& lease, const LogView& view,
                                core::MonotonicTime now);

/// @brief Records that a claim or renewal is on the log. If the answer is lost,
/// a claim takes effect once it is read, and a renewal is sent again.
/// @param lease The lease.
/// @param sent_at Send time of the record.
void OnAppended(Lease& lease, core::MonotonicTime sent_at);

/// @brief Releases the lease, so that another process does not have to wait
/// until it expires. Call it when no record or platform call of this process is
/// in flight.
/// @param lease The lease; it cannot be claimed again afterwards.
/// @return The record to append, or nothing if the lease is not held.
[[nodiscard]] std::optional<state::LeaseRelease> Release(Lease& lease);

/// @brief Returns the epoch of the lease while this process may make decisions
/// for the zone. Call it before each decision and before each platform call.
/// @param lease The lease.
/// @param now The process's monotonic time.
/// @return The epoch for the decisions, or nothing if the lease is not provably
/// held.
[[nodiscard]] std::optional<core::Epoch> HeldEpoch(const Lease& lease,
                                                   core::MonotonicTime now);

}  // namespace camphormux::ownership

#endif  // CAMPHORMUX_OWNERSHIP_LEASE_HPP_
