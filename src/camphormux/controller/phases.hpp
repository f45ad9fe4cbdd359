#ifndef CAMPHORMUX_CONTROLLER_PHASES_HPP_
#define CAMPHORMUX_CONTROLLER_PHASES_HPP_

#include "camphormux/controller/step.hpp"

namespace camphormux::controller {

/// @brief Tells whether a gateway may still send requests to a draining host.
/// @param input State, observations and time.
/// @param host The host.
/// @param memory The controller's step memory.
/// @param gateway The gateway.
/// @return False once the gateway has applied the drain or has been dead for
/// `kDeadGatewayTimeout`. Also false if the drain is older than
/// `kRemoteDrainTimeout` and the gateway is dead or in another zone, because a
/// gateway with an outdated view of the log uses no host of another zone.
[[nodiscard]] bool GatewayMaySend(const StepInput& input,
                                  const state::Host& host,
                                  const StepMemory& memory,
                                  const GatewayView& gateway);

/// @brief Moves a host to its next phase when the platform and the gateways
/// allow it, and repeats platform calls until they take effect.
/// @param input State, observations and time.
/// @param host A host of the controller's own zone.
/// @param memory The controller's step memory.
/// @param result Records and calls are added to it.
void AdvanceHost(const StepInput& input, const state::Host& host,
                 StepMemory& memory, StepResult& result);

/// @brief Tells whether a maintenance restart of a host was requested, or may
/// have been requested by an earlier lease holder.
/// @param host The host.
/// @param memory The controller's step memory.
/// @return Whether the host must stay out of its pool until the restart has
/// ended.
[[nodiscard]] bool MayBeRestarting(const state::Host& host,
                                   const StepMemory& memory);

/// @brief Makes the record that moves a host to a phase. The host keeps its
/// pool unless it is released, and gets a new generation only when it is
/// assigned.
/// @param host The host.
/// @param epoch Epoch of the held lease.
/// @param phase The new phase.
/// @return The record.
[[nodiscard]] state::Assign MakePhaseRecord(const state::Host& host,
                                            core::Epoch epoch,
                                            state::HostPhase phase);

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_PHASES_HPP_
