#ifndef CAMPHORMUX_SCHEDULER_HOSTS_HPP_
#define CAMPHORMUX_SCHEDULER_HOSTS_HPP_

#include <vector>

#include "camphormux/scheduler/state.hpp"

namespace camphormux::scheduler {

/// @brief Takes the list of live hosts into account.
/// @param state The state.
/// @param listings All hosts.
/// @param now The time.
/// @param trusted_from Until then a missing entry may be due to an outage of
/// the list.
void ApplyListings(State& state, const std::vector<HostListing>& listings,
                   core::MonotonicTime now, core::MonotonicTime trusted_from);

/// @brief Records that a host does not answer.
void MarkUnresponsive(Host& host, core::MonotonicTime now);

/// @brief Ends a host's life: all that ran there has ended.
void RemoveHost(State& state, const core::HostId& id, core::MonotonicTime now);

/// @brief Gives up runs whose leases are over and hosts that are gone.
void CheckHosts(State& state, core::MonotonicTime now);

/// @brief Records a failed run; a host on which several jobs fail without a
/// success between them is quarantined.
void RecordFailure(State& state, Host& host, const core::JobId& job,
                   core::MonotonicTime now);

/// @brief Records a run that was done.
void RecordSuccess(Host& host);

/// @brief Keeps new runs away from a host for a while.
void Quarantine(State& state, Host& host, core::MonotonicTime now);

/// @brief Tells whether a host takes new runs.
[[nodiscard]] bool IsUsable(const Host& host, core::MonotonicTime now);

/// @return Room of a host.
[[nodiscard]] placement::Resources FreeResources(const Host& host);

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_HOSTS_HPP_
