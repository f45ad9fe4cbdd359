#ifndef CAMPHORMUX_CONTROLLER_PHASES_HPP_
#define CAMPHORMUX_CONTROLLER_PHASES_HPP_

#include "camphormux/controller/step.hpp"

namespace camphormux::controller {

/// @brief Tells whether every gateway that may still send has applied a
/// record. Gateways that are silent for `kGatewayDead` count as dead.
/// @param gateways What is known of the gateways.
/// @param offset Offset of the record.
/// @param watching_since Silence before this time does not count.
/// @param now The time.
/// @return Whether no live gateway is behind.
[[nodiscard]] bool Acknowledged(const std::vector<GatewayView>& gateways,
                                core::LogOffset offset,
                                core::MonotonicTime watching_since,
                                core::MonotonicTime now);

/// @brief Takes a host to its next phase where the platform and the gateways
/// allow it, and repeats platform calls until they show effect.
/// @param input State, observations and time.
/// @param host A host of the own zone.
/// @param memory The step's memory.
/// @param result Receives records and calls.
void AdvanceHost(const StepInput& input, const state::Host& host,
                 StepMemory& memory, StepResult& result);

/// @brief Makes the record of a host's next phase in its present pool and
/// generation.
/// @param host The host.
/// @param epoch Epoch of the held lease.
/// @param phase The next phase.
/// @return The record.
[[nodiscard]] state::Assign NextPhase(const state::Host& host,
                                      core::Epoch epoch,
                                      state::HostPhase phase);

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_PHASES_HPP_
