#include "camphormux/scheduler/hosts.hpp"

#include <algorithm>
#include <set>

#include "camphormux/scheduler/runs.hpp"

namespace camphormux::scheduler {
namespace internal {

/// Number of different jobs that must fail on a host before it is quarantined;
/// a single job may fail through its own fault.
constexpr std::size_t kQuarantineFailures = 3;
/// Duration of the first quarantine; doubles with each further one until a run
/// succeeds.
constexpr core::Millis kFirstQuarantine{3000};
constexpr std::uint32_t kMaxQuarantineDoublings = 3;

void RemoveRuns(State& state, Host& host, EndEvidence evidence) {
  const std::vector<RunId> runs = host.runs;
  for (const RunId run : runs) {
    RemoveRun(state, run, evidence);
  }
}

void AddHost(State& state, const HostListing& listing,
             core::MonotonicTime now) {
  Host host;
  host.listing = listing;
  host.idle_since = now;
  host.lease_end = now;
  state.hosts.insert_or_assign(listing.id, std::move(host));
}

}  // namespace internal

ListingChanges ApplyListings(State& state,
                             const std::vector<HostListing>& listings,
                             core::MonotonicTime now,
                             core::MonotonicTime trusted_from) {
  ListingChanges changes;
  std::set<core::HostId> seen;
  for (const HostListing& listing : listings) {
    seen.insert(listing.id);
    const auto ended = state.ended_incarnations.find(listing.id);
    if (ended != state.ended_incarnations.end() &&
        ended->second == listing.incarnation) {
      continue;
    }
    const auto found = state.hosts.find(listing.id);
    if (found != state.hosts.end() &&
        found->second.listing.incarnation != listing.incarnation) {
      changes.replaced.push_back(
          {listing.id, found->second.listing.incarnation, listing.incarnation});
      RemoveHost(state, listing.id, EndEvidence::kHostReplaced);
    }
    const auto known = state.hosts.find(listing.id);
    if (known == state.hosts.end()) {
      internal::AddHost(state, listing, now);
      changes.added.push_back(listing.id);
    } else {
      known->second.listing = listing;
      known->second.listed = true;
    }
  }
  std::erase_if(state.ended_incarnations,
                [&](const auto& ended) { return !seen.contains(ended.first); });
  for (auto& [id, host] : state.hosts) {
    if (host.listed && !seen.contains(id)) {
      host.listed = false;
      host.gone_at = std::max(now, trusted_from);
      changes.vanished.push_back(id);
    }
  }
  return changes;
}

void MarkUnresponsive(Host& host, core::MonotonicTime now) {
  if (!host.unresponsive_since) {
    host.unresponsive_since = now;
  }
}

void RemoveHost(State& state, const core::HostId& id, EndEvidence evidence) {
  const auto found = state.hosts.find(id);
  if (found == state.hosts.end()) {
    return;
  }
  state.ended_incarnations[id] = found->second.listing.incarnation;
  internal::RemoveRuns(state, found->second, evidence);
  state.hosts.erase(found);
}

void CheckHosts(State& state, core::MonotonicTime now) {
  std::vector<core::HostId> gone;
  for (auto& [id, host] : state.hosts) {
    const bool is_gone = !host.listed && now >= host.gone_at;
    if (is_gone) {
      for (const RunId run : host.runs) {
        RequestStop(state, state.runs.at(run));
      }
    }
    if ((is_gone || host.unresponsive_since) && now >= host.lease_end) {
      internal::RemoveRuns(state, host, EndEvidence::kLeaseExpired);
      if (is_gone) {
        gone.push_back(id);
      }
    }
    if (!host.runs.empty()) {
      host.idle_since = now;
    }
  }
  for (const core::HostId& id : gone) {
    state.hosts.erase(id);
  }
}

void RecordFailure(State& state, Host& host, const core::JobId& job,
                   core::MonotonicTime now) {
  host.failed_jobs.insert(job);
  if (host.failed_jobs.size() >= internal::kQuarantineFailures) {
    Quarantine(state, host, now);
  }
}

void RecordSuccess(Host& host) {
  host.failed_jobs.clear();
  host.quarantines = 0;
}

void Quarantine(State& state, Host& host, core::MonotonicTime now) {
  if (now < host.quarantined_until) {
    return;
  }
  const std::uint32_t doublings =
      std::min(host.quarantines, internal::kMaxQuarantineDoublings);
  host.quarantined_until = now + internal::kFirstQuarantine * (1 << doublings);
  ++host.quarantines;
  host.failed_jobs.clear();
  ++state.counters.quarantined;
}

bool IsUsable(const Host& host, core::MonotonicTime now) {
  return host.listed && host.synced && !host.reserved &&
         !host.listing.draining && !host.unresponsive_since &&
         now >= host.busy_until && now >= host.quarantined_until;
}

placement::Resources FreeResources(const Host& host) {
  return host.listing.capacity - host.committed;
}

}  // namespace camphormux::scheduler
