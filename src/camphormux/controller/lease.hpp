#ifndef CAMPHORMUX_CONTROLLER_LEASE_HPP_
#define CAMPHORMUX_CONTROLLER_LEASE_HPP_

#include <optional>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/random.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/state/fleet_state.hpp"
#include "camphormux/state/records.hpp"

namespace camphormux::controller {

/// Silence after which a zone's lease may be claimed, before jitter.
inline constexpr core::Millis kLeaseDuration = std::chrono::seconds(6);
/// Time between renewals.
inline constexpr core::Millis kRenewPeriod = std::chrono::seconds(2);
/// Age of the last proven renewal at which a holder stops deciding.
inline constexpr core::Millis kLeaseProof = std::chrono::seconds(4);

/// @brief An own lease record on its way to the log.
struct LeaseAppend {
  core::Epoch epoch;
  core::MonotonicTime sent;
  std::optional<core::LogOffset> offset;  ///< Once the log answered.
};

/// @brief What a controller knows of its zone's lease.
struct LeaseMemory {
  std::optional<state::ZoneLease> seen;
  core::MonotonicTime seen_at;  ///< When `seen` last changed.
  core::Millis jitter{0};
  std::optional<LeaseAppend> in_flight;
  core::Epoch own_epoch;       ///< Of the last own lease; 0 for none.
  core::MonotonicTime proven;  ///< Send time of the last own record read.
};

/// @brief Input of a lease step.
struct LeaseInput {
  const state::FleetState& state;
  core::ProcessId process;
  core::ZoneName zone;
  bool at_end = false;  ///< The state reaches the log's end as of now.
  core::MonotonicTime now;
};

/// @brief Decides whether to claim or renew. Pure.
/// @param input State and time.
/// @param memory Memory of the previous step; updated.
/// @param random Source of the claim's jitter.
/// @return The record to append, or nothing.
[[nodiscard]] std::optional<state::Record> LeaseStep(const LeaseInput& input,
                                                     LeaseMemory& memory,
                                                     core::Random& random);

/// @brief Tells which lease is provably held.
/// @param memory Memory after a step.
/// @param now The time.
/// @return The epoch, or nothing.
[[nodiscard]] std::optional<core::Epoch> ProvenLease(const LeaseMemory& memory,
                                                     core::MonotonicTime now);

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_LEASE_HPP_
