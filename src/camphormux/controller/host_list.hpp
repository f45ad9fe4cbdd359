#ifndef CAMPHORMUX_CONTROLLER_HOST_LIST_HPP_
#define CAMPHORMUX_CONTROLLER_HOST_LIST_HPP_

#include <vector>

#include "camphormux/controller/step.hpp"

namespace camphormux::controller {

/// @brief Lists the zone's hosts that the platform's list lacks.
/// @param input State, observations and time; the list is known.
/// @return Their ids.
[[nodiscard]] std::vector<core::HostId> MissingHosts(const StepInput& input);

/// @brief Tells whether the list lost so many hosts of the zone, without
/// direct evidence that they are gone, that it must not be acted on.
/// @param input State, observations and time; the list is known.
/// @param missing Hosts that the list lacks.
/// @return Whether the list is doubtful.
[[nodiscard]] bool IsListDoubtful(const StepInput& input,
                                  const std::vector<core::HostId>& missing);

/// @brief Makes the records that bring the zone's hosts of the state in line
/// with the platform's list: new or changed hosts, and hosts that the list
/// lacks and the platform denies when asked for them.
/// @param input State, observations and time; the list is known.
/// @param missing Hosts that the list lacks.
/// @param result Receives the records.
void ReconcileHosts(const StepInput& input,
                    const std::vector<core::HostId>& missing,
                    StepResult& result);

/// @brief Tells whether the list shows a host that stays.
/// @param input State, observations and time; the list is known.
/// @param host The host.
/// @return False if the host is missing or about to leave.
[[nodiscard]] bool IsListedAndStaying(const StepInput& input,
                                      const core::HostId& host);

/// @brief Tells whether the list announces that a host leaves the fleet.
/// @param input State, observations and time; the list is known.
/// @param host The host.
/// @return False if the host stays or is not listed.
[[nodiscard]] bool IsLeaving(const StepInput& input, const core::HostId& host);

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_HOST_LIST_HPP_
