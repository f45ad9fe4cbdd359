#ifndef CAMPHORMUX_SCHEDULER_HOSTS_HPP_
#define CAMPHORMUX_SCHEDULER_HOSTS_HPP_

#include <vector>

#include "camphormux/scheduler/state.hpp"

namespace camphormux::scheduler {

/// Hosts' clocks may run slower than this node's clock by this fraction.
inline constexpr double kMaxClockDrift = 0.02;

/// Time by which a call to a host has an answer or has failed, also one that
/// another node makes.
inline constexpr core::Millis kMaxCallDuration{3000};
/// A call without an answer is carried out at most this much later.
inline constexpr core::Millis kMaxCallDelay{12'000};

/// @brief A host that the list names with another incarnation than before.
struct ReplacedHost {
  core::HostId id;
  core::Incarnation before;
  core::Incarnation after;
};

/// @brief What a list of hosts has changed.
struct ListingChanges {
  std::vector<core::HostId> added;
  std::vector<core::HostId> vanished;
  std::vector<ReplacedHost> replaced;
};

/// @brief Applies the list of live hosts to the state.
/// @param state The state.
/// @param listings All live hosts.
/// @param now The time.
/// @param trusted_from Until this time a missing entry may be due to an outage
/// of the list.
/// @return What has changed.
ListingChanges ApplyListings(State& state,
                             const std::vector<HostListing>& listings,
                             core::MonotonicTime now,
                             core::MonotonicTime trusted_from);

/// @brief Records an entry of a host, unless another incarnation wrote it.
void OnHeartbeat(State& state, const Heartbeat& heartbeat,
                 core::MonotonicTime now);

/// @return A host that is not known yet, for calls with the present token.
[[nodiscard]] Host MakeHost(const State& state, const core::HostId& id);

/// @return Whether a host needs a higher fencing token.
[[nodiscard]] bool IsTokenNeeded(const State& state);

/// @brief Raises the fencing token of all hosts that need a higher one. Their
/// earlier calls have no effect any more once a later one has an answer.
/// @param state The state.
/// @param token The token; no holder has used it, and the next holders know.
void RaiseToken(State& state, core::Epoch token);

/// @brief Marks a host as unresponsive: it did not answer.
void MarkUnresponsive(Host& host, core::MonotonicTime now);

/// @brief Handles an answer of another host at a host's address. It does not
/// show that the host has ended: its runs are kept until its lease expires or
/// no machine has the host any more.
void OnAddressTaken(Host& host, core::MonotonicTime now);

/// @brief Removes a host that has ended, along with all its runs.
/// @param state The state.
/// @param id The host.
/// @param evidence What shows that its runs are over.
void RemoveHost(State& state, const core::HostId& id, EndEvidence evidence);

/// @brief Records that a host has another incarnation. Its listed runs have
/// ended. The other ones may have been accepted by the new incarnation, or may
/// still be: they are kept until it has reported. All calls that were meant for
/// an earlier incarnation can reach the new one until it has seen a higher
/// token.
/// @param state The state.
/// @param host The host; not usable until it is listed and has reported.
/// @param incarnation The new incarnation.
/// @param now The time.
void ReplaceIncarnation(State& state, Host& host, core::Incarnation incarnation,
                        core::MonotonicTime now);

/// @return Longest time that a lease can last by this node's clock, from when
/// it is granted.
[[nodiscard]] core::Millis MaxLeaseDuration(core::Millis lease);

/// @return Longest lease whose `MaxLeaseDuration` does not exceed the duration;
/// may be negative.
[[nodiscard]] core::Millis LongestLeaseWithin(core::Millis duration);

/// @return Time after a takeover by which the leases of previous holders have
/// expired. A previous holder that lost the store continues until hosts refuse
/// its orders, and the next incarnation of a host may have accepted a start for
/// the longest lease.
[[nodiscard]] core::Millis PreviousLeasesDuration(const Settings& settings);

/// @return Time after a takeover by which runs of previous holders on a silent
/// host have ended: their last calls may reach another incarnation of the host,
/// which takes them under the longest lease.
[[nodiscard]] core::Millis TakeoverWait(const Settings& settings);

/// @return Time by which the lease of a call has expired that an incarnation
/// took which the caller did not know of.
[[nodiscard]] core::Millis EarlierCallsDuration(const Settings& settings);

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

/// @brief Takes a host out of use while runs that are not known take room on
/// it, unless its pool is known to refuse what does not fit. Called after each
/// report of the host and each change of the catalog.
void UpdateUse(const State& state, Host& host);

/// @brief Returns the resources of a host that are not reserved.
[[nodiscard]] placement::Resources FreeResources(const Host& host);

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_HOSTS_HPP_
