#ifndef CAMPHORMUX_OWNERSHIP_LEASE_HPP_
#define CAMPHORMUX_OWNERSHIP_LEASE_HPP_

#include <optional>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/random.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/state/fleet_state.hpp"
#include "camphormux/state/records.hpp"

namespace camphormux::ownership {

/// @brief Times of the controller lease (design section 7).
struct LeaseOptions {
  /// A contender claims when it has read no renewal for this time and jitter.
  core::Millis duration{6000};
  core::Millis max_jitter{1000};
  core::Millis renew_period{2000};
  /// A holder decides only so long after the send time of its last renewal
  /// that is known to be on the log. Below `duration`, so that a live holder
  /// stops before another one starts.
  core::Millis decision_window{4000};
  /// A contender claims a released lease after up to this time, so that one of
  /// several claims before the others.
  core::Millis release_jitter{100};
  /// A claim or renewal that was neither answered nor read is sent again.
  core::Millis resend_after{1000};
};

/// Who has released decides and claims nothing more in its life.
enum class Role { kContender, kClaiming, kHolder, kReleased };

/// @brief A process's own view of a zone's lease.
struct Lease {
  core::ZoneName zone;
  core::ProcessId self;
  LeaseOptions options;
  core::Random random;

  Role role = Role::kContender;
  core::Epoch epoch;  ///< Claimed or held.
  /// Last renewal or release seen on the log, and when it was first seen.
  core::Epoch observed_epoch;
  core::LogOffset observed_renewal;
  core::MonotonicTime observed_at;
  bool observed_released = false;
  bool has_observed = false;
  core::Millis jitter{0};
  /// Send time of the last claim or renewal, and of the last one that is known
  /// to be on the log.
  core::MonotonicTime sent_at;
  core::MonotonicTime claimed_at;  ///< Send time of the epoch's first claim.
  std::optional<core::MonotonicTime> confirmed_at;
  bool outstanding = false;  ///< The last one was neither answered nor read.
};

/// @brief What a process knows of the log.
struct LogView {
  /// The zone's lease in the state read so far; nullptr if it has none.
  const state::ZoneLease* lease = nullptr;
  /// All records that were on the log at this time are in the state.
  std::optional<core::MonotonicTime> complete_until;
};

/// @brief Records to append after a step.
struct LeaseStep {
  std::optional<state::LeaseClaim> claim;
  std::optional<state::LeaseRenew> renew;
};

/// @brief Makes a lease view.
/// @param zone The zone.
/// @param self This process.
/// @param options Times.
/// @param random Source of the jitter.
/// @return The view of a contender.
[[nodiscard]] Lease MakeLease(core::ZoneName zone, core::ProcessId self,
                              LeaseOptions options, core::Random random);

/// @brief Advances the lease; call after each read and at least every 500 ms.
/// @param lease The lease.
/// @param view What the process knows of the log.
/// @param now The process's monotonic time.
/// @return What to append.
[[nodiscard]] LeaseStep Advance(Lease& lease, const LogView& view,
                                core::MonotonicTime now);

/// @brief Takes the answer that a claim or renewal is on the log. An answer
/// that never comes is made up for by reading the record.
/// @param lease The lease.
/// @param sent_at When it was sent.
void OnAppended(Lease& lease, core::MonotonicTime sent_at);

/// @brief Gives the lease up, so that another process need not wait until it
/// expires. Call it when no record or effect of this process is on its way.
/// @param lease The lease; not advanced any more afterwards.
/// @return The record to append; nothing if the lease is not held.
[[nodiscard]] std::optional<state::LeaseRelease> Release(Lease& lease);

/// @brief Tells whether this process may decide for the zone. Ask anew before
/// each decision and before each effect on the platform.
/// @param lease The lease.
/// @param now The process's monotonic time.
/// @return The epoch that the decisions carry, or nothing.
[[nodiscard]] std::optional<core::Epoch> HeldEpoch(const Lease& lease,
                                                   core::MonotonicTime now);

}  // namespace camphormux::ownership

#endif  // CAMPHORMUX_OWNERSHIP_LEASE_HPP_
