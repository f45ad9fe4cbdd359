#ifndef CAMPHORMUX_SCHEDULER_HOSTS_HPP_
#define CAMPHORMUX_SCHEDULER_HOSTS_HPP_

#include <vector>

#include "camphormux/scheduler/state.hpp"

namespace camphormux::scheduler {

/// @brief Applies the list of live hosts to the state.
/// @param state The state.
/// @param listings All live hosts.
/// @param now The time.
/// @param trusted_from Until this time a missing entry may be due to an outage
/// of the list.
void ApplyListings(State& state, const std::vector<HostListing>& listings,
                   core::MonotonicTime now, core::MonotonicTime trusted_from);

/// @brief Marks a host as unresponsive: it did not answer.
void MarkUnresponsive(Host& host, core::MonotonicTime now);

/// @brief Removes a host that has ended, along with all its runs.
void RemoveHost(State& state, const core::HostId& id, core::MonotonicTime now);

/// @brief Removes runs whose leases have expired and hosts that are gone.
void CheckHosts(State& state, core::MonotonicTime now);

/// @brief Records a failed run. A host on which several jobs fail without a
/// success in between is quarantined.
void RecordFailure(State& state, Host& host, const core::JobId& job,
                   core::MonotonicTime now);

/// @brief Records a successful run.
void RecordSuccess(Host& host);

/// @brief Quarantines a host: it gets no new runs for a while.
void Quarantine(State& state, Host& host, core::MonotonicTime now);

/// @brief Returns whether a host can take new runs.
[[nodiscard]] bool IsUsable(const Host& host, core::MonotonicTime now);

/// @brief Returns the resources of a host that are not reserved.
[[nodiscard]] placement::Resources FreeResources(const Host& host);

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_HOSTS_HPP_
