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
/// Allows for the transit time of a grant and the resolution of the clocks.
constexpr core::Millis kLeaseMargin{100};
/// Time for which an ended incarnation is remembered after the list no longer
/// names it. A record that it wrote before its end can be held up in the
/// network and then reach the list.
constexpr core::Millis kEndedRetention{60'000};

/// Previous holders grant leases for at most this multiple of a lease after a
/// takeover.
constexpr int kTakeoverLeases = 2;

bool HasEnded(const State& state, const HostListing& listing) {
  const auto ended = state.ended_incarnations.find(listing.id);
  return ended != state.ended_incarnations.end() &&
         ended->second.incarnations.contains(listing.incarnation);
}

void ForgetEndedIncarnations(State& state, const std::set<core::HostId>& listed,
                             core::MonotonicTime now) {
  for (auto it = state.ended_incarnations.begin();
       it != state.ended_incarnations.end();) {
    EndedIncarnations& ended = it->second;
    if (listed.contains(it->first)) {
      ended.unlisted_since.reset();
    } else if (!ended.unlisted_since) {
      ended.unlisted_since = now;
    }
    if (ended.unlisted_since &&
        now >= *ended.unlisted_since + kEndedRetention) {
      it = state.ended_incarnations.erase(it);
    } else {
      ++it;
    }
  }
}

/// Whether an incarnation of the host that is not known yet may run a run: no
/// report shows what became of a copy of its start.
bool IsStartUnsettled(const Run& run, const Host& host) {
  const bool is_on_its_way = run.is_sent && run.phase == RunPhase::kOrdered;
  return is_on_its_way ||
         (run.has_open_copy && host.last_report < run.last_open_copy +
                                                      kMaxCallDelay +
                                                      kMaxCallDuration);
}

/// Whether an entry shows that the known incarnation was alive when its last
/// lease expired. Until then, no other one can have taken a call.
bool HasOutlivedLeases(const Host& host) {
  return host.heartbeat_clock_ms && host.last_grant &&
         host.last_heartbeat > *host.last_grant &&
         *host.heartbeat_clock_ms > host.deadline_ms;
}

/// Removes the runs of a silent host whose leases have expired.
void RemoveExpiredRuns(State& state, Host& host, core::MonotonicTime now) {
  const bool is_certain =
      !host.last_grant ||
      now >= *host.last_grant + EarlierCallsDuration(state.settings) ||
      HasOutlivedLeases(host);
  const std::vector<RunId> runs = host.runs;
  for (const RunId run : runs) {
    if (is_certain || !IsStartUnsettled(state.runs.at(run), host)) {
      RemoveRun(state, run, EndEvidence::kLeaseExpired);
    }
  }
}

void RemoveRuns(State& state, Host& host, EndEvidence evidence) {
  const std::vector<RunId> runs = host.runs;
  for (const RunId run : runs) {
    RemoveRun(state, run, evidence);
  }
}

void AddHost(State& state, const HostListing& listing,
             core::MonotonicTime now) {
  Host host = MakeHost(state, listing.id);
  host.listing = listing;
  host.idle_since = now;
  // Previous lease holders may have granted leases until the takeover.
  host.lease_end =
      std::max(now, state.took_over + TakeoverWait(state.settings));
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
    if (internal::HasEnded(state, listing)) {
      continue;
    }
    const auto found = state.hosts.find(listing.id);
    if (found != state.hosts.end() &&
        listing.incarnation < found->second.listing.incarnation) {
      continue;  // A late record; a report of the host would correct it.
    }
    if (found != state.hosts.end() &&
        found->second.listing.incarnation != listing.incarnation) {
      changes.replaced.push_back(
          {listing.id, found->second.listing.incarnation, listing.incarnation});
      ReplaceIncarnation(state, found->second, listing.incarnation, now);
    }
    const auto known = state.hosts.find(listing.id);
    if (known == state.hosts.end()) {
      internal::AddHost(state, listing, now);
      changes.added.push_back(listing.id);
    } else {
      if (known->second.listing.address != listing.address) {
        known->second.address_taken = false;
      }
      known->second.listing = listing;
      known->second.listed = true;
    }
  }
  internal::ForgetEndedIncarnations(state, seen, now);
  for (auto& [id, host] : state.hosts) {
    if (host.listed && !seen.contains(id)) {
      host.listed = false;
      host.gone_at = std::max(now, trusted_from);
      changes.vanished.push_back(id);
    }
  }
  return changes;
}

void OnHeartbeat(State& state, const Heartbeat& heartbeat,
                 core::MonotonicTime now) {
  const auto found = state.hosts.find(heartbeat.host);
  if (found == state.hosts.end() ||
      found->second.listing.incarnation != heartbeat.incarnation) {
    return;
  }
  Host& host = found->second;
  host.heartbeat_clock_ms = std::max(
      host.heartbeat_clock_ms.value_or(heartbeat.clock_ms), heartbeat.clock_ms);
  host.last_heartbeat = now;
}

Host MakeHost(const State& state, const core::HostId& id) {
  Host host;
  host.listing.id = id;
  host.token = state.token;
  host.has_earlier_calls = state.ended_incarnations.contains(id);
  host.needs_token = state.is_token_used || host.has_earlier_calls;
  return host;
}

bool IsTokenNeeded(const State& state) {
  return std::any_of(
      state.hosts.begin(), state.hosts.end(),
      [](const auto& entry) { return entry.second.needs_token; });
}

void RaiseToken(State& state, core::Epoch token) {
  state.token = token;
  state.is_token_used = false;
  for (auto& [id, host] : state.hosts) {
    if (host.needs_token) {
      host.token = token;
      host.needs_token = false;
    }
  }
}

void MarkUnresponsive(Host& host, core::MonotonicTime now) {
  if (!host.unresponsive_since) {
    host.unresponsive_since = now;
  }
}

void OnAddressTaken(Host& host, core::MonotonicTime now) {
  MarkUnresponsive(host, now);
  host.address_taken = true;
}

void RemoveHost(State& state, const core::HostId& id, EndEvidence evidence) {
  const auto found = state.hosts.find(id);
  if (found == state.hosts.end()) {
    return;
  }
  state.ended_incarnations[id].incarnations.insert(
      found->second.listing.incarnation);
  internal::RemoveRuns(state, found->second, evidence);
  state.hosts.erase(found);
}

core::Millis MaxLeaseDuration(core::Millis lease) {
  return core::Millis(static_cast<std::int64_t>(
             static_cast<double>(lease.count()) / (1.0 - kMaxClockDrift))) +
         internal::kLeaseMargin;
}

core::Millis LongestLeaseWithin(core::Millis duration) {
  return core::Millis(static_cast<std::int64_t>(
      static_cast<double>((duration - internal::kLeaseMargin).count()) *
      (1.0 - kMaxClockDrift)));
}

core::Millis PreviousLeasesDuration(const Settings& settings) {
  return std::max(settings.lease * internal::kTakeoverLeases,
                  MaxLeaseDuration(settings.longest_lease));
}

core::Millis TakeoverWait(const Settings& settings) {
  return PreviousLeasesDuration(settings) + kMaxCallDuration;
}

core::Millis EarlierCallsDuration(const Settings& settings) {
  return kMaxCallDuration + kMaxCallDelay +
         MaxLeaseDuration(settings.longest_lease);
}

void ReplaceIncarnation(State& state, Host& host, core::Incarnation incarnation,
                        core::MonotonicTime now) {
  std::set<core::Incarnation>& ended =
      state.ended_incarnations[host.listing.id].incarnations;
  ended.insert(host.listing.incarnation);
  // A report can show that an incarnation lives which seemed to have ended.
  ended.erase(incarnation);
  const std::vector<RunId> runs = host.runs;
  for (const RunId id : runs) {
    Run& run = state.runs.at(id);
    if (!run.is_sent) {
      RemoveRun(state, id, EndEvidence::kNotSent);
      continue;
    }
    if (run.was_listed && !run.has_open_copy) {
      RemoveRun(state, id, EndEvidence::kHostReplaced);
      continue;
    }
    // A start whose answer is still to come has no other copy.
    run.has_open_copy |= run.phase != RunPhase::kOrdered;
    run.last_open_copy = now;
    run.was_listed = false;
    run.repetition_refused = false;
    run.is_superseded = false;
    if (run.phase != RunPhase::kStopping) {
      run.phase = RunPhase::kUnanswered;
    }
    run.confirmed = now;
    run.stop_confirmed = false;
  }
  host.listing.incarnation = incarnation;
  host.listing.draining = false;
  host.listed = false;
  host.gone_at = now + state.settings.listing_grace;
  host.missed_machine_lists = 0;
  host.restarted |= host.synced;
  host.synced = false;
  host.has_earlier_calls = true;
  host.needs_token = true;
  host.lists_unknown_runs = false;
  host.stops_unknown_runs = false;
  host.ended = {};
  host.deadline_ms = 0;
  host.heartbeat_clock_ms.reset();
  host.last_heartbeat = {};
  host.unresponsive_since.reset();
  host.failed_jobs.clear();
  // The end of a lease is a time on the clock of the incarnation for which it
  // was meant; on another clock it can be any time.
  host.lease_end =
      std::max(host.lease_end, now + EarlierCallsDuration(state.settings));
}

void CheckHosts(State& state, core::MonotonicTime now) {
  std::vector<core::HostId> gone;
  for (auto& [id, host] : state.hosts) {
    const bool is_gone = !host.listed && now >= host.gone_at;
    if ((is_gone || host.unresponsive_since) && now >= host.lease_end) {
      internal::RemoveExpiredRuns(state, host, now);
      // A host with open copies may be listed again.
      if (is_gone && host.runs.empty() && host.open_copies.empty()) {
        gone.push_back(id);
      }
    }
    if (!host.runs.empty()) {
      host.idle_since = now;
    }
  }
  for (const core::HostId& id : gone) {
    state.ended_incarnations.try_emplace(id);
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

void UpdateUse(const State& state, Host& host) {
  const auto pool = state.catalog.pools.find(host.listing.pool);
  const bool enforces_capacity =
      pool != state.catalog.pools.end() && pool->second.enforces_capacity;
  host.stops_unknown_runs = host.lists_unknown_runs && !enforces_capacity;
}

bool IsUsable(const Host& host, core::MonotonicTime now) {
  // With a lease, the host might carry out a start that was given up.
  const bool refuses_open_copies =
      std::all_of(host.open_copies.begin(), host.open_copies.end(),
                  [&](const OpenCopy& copy) {
                    return copy.refused_by == host.listing.incarnation;
                  });
  return host.listed && host.synced && !host.needs_token && !host.reserved &&
         !host.stops_unknown_runs && !host.listing.draining &&
         !host.unresponsive_since && now >= host.busy_until &&
         now >= host.quarantined_until && refuses_open_copies;
}

placement::Resources FreeResources(const Host& host) {
  return host.listing.capacity - host.committed;
}

}  // namespace camphormux::scheduler
