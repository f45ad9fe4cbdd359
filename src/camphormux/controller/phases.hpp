#ifndef CAMPHORMUX_CONTROLLER_PHASES_HPP_
#define CAMPHORMUX_CONTROLLER_PHASES_HPP_

#include "camphormux/controller/step.hpp"

namespace camphormux::controller {

/// @brief Tells whether a gateway may still send to a draining host.
/// @param input State, observations and time.
/// @param host The host.
/// @param memory The step's memory.
/// @param gateway The gateway.
/// @return False once it applied the drain, is dead for long, or is dead or of
/// another zone and the drain is so old that it uses no host of another zone.
[[nodiscard]] bool GatewayMaySend(const StepInput& input,
                                  const state::Host& host,
                                  const StepMemory& memory,
                                  const GatewayView& gateway);

/// @brief Takes a host to its next phase where the platform and the gateways
/// allow it, and repeats platform calls until they show effect.
/// @param input State, observations and time.
/// @param host A host of the own zone.
/// @param memory The step's memory.
/// @param result Receives records and calls.
void AdvanceHost(const StepInput& input, const state::Host& host,
                 StepMemory& memory, StepResult& result);

/// @brief Tells whether a host was told to restart for its maintenance, or may
/// have been told so by an earlier holder.
/// @param host The host.
/// @param memory The step's memory.
/// @return Whether it must not be given back before the restart ended.
[[nodiscard]] bool MayBeRestarting(const state::Host& host,
                                   const StepMemory& memory);

/// @brief Makes the record of a host's next phase in its present pool and
/// generation.
/// @param host The host.
/// @param epoch Epoch of the held lease.
/// @param phase The next phase.
/// @return The record.
[[nodiscard]] state::Assign MakePhaseRecord(const state::Host& host,
                                            core::Epoch epoch,
                                            state::HostPhase phase);

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_PHASES_HPP_
