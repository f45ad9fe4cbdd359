#ifndef CAMPHORMUX_CONTROLLER_HOST_LIST_HPP_
#define CAMPHORMUX_CONTROLLER_HOST_LIST_HPP_

#include <vector>

#include "camphormux/controller/step.hpp"

namespace camphormux::controller {

/// @brief Lists the zone's hosts that are missing from the platform's host
/// list.
/// @param input State, observations and time; the list is known.
/// @return Their ids.
[[nodiscard]] std::vector<core::HostId> MissingHosts(const StepInput& input);

/// @brief Tells whether so many of the zone's hosts are missing that the host
/// list must not be acted on. Hosts that the platform reported as unknown when
/// asked for them do not count.
/// @param input State, observations and time; the list is known.
/// @param missing Hosts of the zone that are missing from the list.
/// @return Whether the list must not be acted on.
[[nodiscard]] bool IsListDoubtful(const StepInput& input,
                                  const std::vector<core::HostId>& missing);

/// @brief Makes the records that reconcile the zone's hosts in the shared state
/// with the platform's list. Adds new and changed hosts. Removes a host that is
/// missing from the list once the platform also reports it as unknown.
/// @param input State, observations and time; the list is known.
/// @param missing Hosts of the zone that are missing from the list.
/// @param result Receives the records.
void ReconcileHosts(const StepInput& input,
                    const std::vector<core::HostId>& missing,
                    StepResult& result);

/// @brief Tells whether a host is in the list and not about to leave the fleet.
/// @param input State, observations and time; the list is known.
/// @param host The host.
/// @return False if the host is missing or about to leave.
[[nodiscard]] bool IsListedAndStaying(const StepInput& input,
                                      const core::HostId& host);

/// @brief Tells whether the list marks a host as leaving the fleet.
/// @param input State, observations and time; the list is known.
/// @param host The host.
/// @return False if the host is not leaving or not in the list.
[[nodiscard]] bool IsLeaving(const StepInput& input, const core::HostId& host);

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_HOST_LIST_HPP_
