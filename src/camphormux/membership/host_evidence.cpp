#include "camphormux/membership/host_evidence.hpp"

#include <algorithm>

namespace camphormux::membership {
namespace internal {

bool AboveShare(std::size_t part, std::size_t whole, double share) {
  return static_cast<double>(part) > share * static_cast<double>(whole);
}

bool OwnEvidence(const HostEvidencePolicy& policy, const HostEvidence& host,
                 core::MonotonicTime now) {
  if (host.failures == 0) {
    return false;
  }
  const bool repeated = host.failures >= policy.dead_failures &&
                        now - host.first_failure >= policy.dead_span;
  return repeated || !host.listed;
}

bool OthersEvidence(const HostEvidencePolicy& policy, const HostEvidence& host,
                    core::MonotonicTime now) {
  return std::any_of(host.reporters.begin(), host.reporters.end(),
                     [&](const auto& report) {
                       return now - report.second < policy.report_lifetime;
                     });
}

}  // namespace internal

ListObservation ObserveList(HostEvidenceState& state,
                            const core::ZoneName& zone,
                            const std::set<core::HostId>& listed) {
  ListObservation observation;
  std::size_t believed = 0;
  for (const auto& [id, host] : state.hosts) {
    if (host.zone == zone && host.listed) {
      ++believed;
      if (!listed.contains(id)) {
        observation.dropped.push_back(id);
      }
    }
  }
  observation.doubtful = internal::AboveShare(
      observation.dropped.size(), believed, state.policy.doubt_share);
  state.doubtful_lists += observation.doubtful ? 1 : 0;
  if (!observation.doubtful) {
    for (const core::HostId& id : observation.dropped) {
      state.hosts.at(id).listed = false;
    }
  }
  for (const core::HostId& id : listed) {
    const auto [host, added] = state.hosts.try_emplace(id);
    host->second.zone = zone;
    host->second.listed = true;
    if (added) {
      observation.added.push_back(id);
    }
  }
  return observation;
}

void ObserveExchange(HostEvidenceState& state, const core::HostId& host,
                     bool answered, core::MonotonicTime now) {
  const auto found = state.hosts.find(host);
  if (found == state.hosts.end()) {
    return;
  }
  HostEvidence& evidence = found->second;
  if (answered) {
    evidence.failures = 0;
    evidence.reporters.clear();
    return;
  }
  if (evidence.failures++ == 0) {
    evidence.first_failure = now;
  }
}

void ObserveReport(HostEvidenceState& state, const core::HostId& host,
                   const core::ProcessId& reporter, core::MonotonicTime now) {
  const auto found = state.hosts.find(host);
  if (found != state.hosts.end()) {
    found->second.reporters[reporter] = now;
  }
}

std::map<core::HostId, HostVerdict> JudgeHosts(const HostEvidenceState& state,
                                               const core::ZoneName& zone,
                                               core::MonotonicTime now) {
  std::map<core::HostId, HostVerdict> verdicts;
  std::vector<core::HostId> own_only;
  std::size_t dead = 0;
  for (const auto& [id, host] : state.hosts) {
    if (host.zone != zone) {
      continue;
    }
    const bool own = internal::OwnEvidence(state.policy, host, now);
    const bool others = internal::OthersEvidence(state.policy, host, now);
    verdicts[id] = own ? HostVerdict::kDead
                   : host.failures > 0 || others || !host.listed
                       ? HostVerdict::kDoubtful
                       : HostVerdict::kLive;
    dead += own ? 1 : 0;
    if (own && !others) {
      own_only.push_back(id);
    }
  }
  if (internal::AboveShare(dead, verdicts.size(), state.policy.doubt_share)) {
    for (const core::HostId& id : own_only) {
      verdicts[id] = HostVerdict::kDoubtful;
    }
  }
  return verdicts;
}

}  // namespace camphormux::membership
