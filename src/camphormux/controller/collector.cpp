#include "camphormux/controller/collector.hpp"

#include <utility>

namespace camphormux::controller {
namespace internal {

/// Period of host list requests. The list lags, so a shorter period gains
/// nothing.
constexpr core::Millis kListPeriod = std::chrono::seconds(1);
/// Period of report requests for hosts in a stable phase. These reports only
/// serve to find earlier calls whose effect was lost.
constexpr core::Millis kStableReportPeriod = std::chrono::seconds(10);
/// Period of report requests for stable hosts whose last report matched the
/// state. With the 10 s above, a zone of 500 hosts would cost about 25 kB/s;
/// all control traffic of a node may use 10 kB/s.
constexpr core::Millis kMatchingReportPeriod = std::chrono::minutes(1);
/// Period of report requests for hosts in a transitional phase; each phase
/// waits for a report.
constexpr core::Millis kTransitionReportPeriod{100};
/// Limits the load on the platform when all hosts of a zone move.
constexpr std::size_t kMaxPendingReports = 32;

bool IsStable(const state::Host& host) {
  return host.phase == state::HostPhase::kAdmitted ||
         host.phase == state::HostPhase::kReleased;
}

bool ReportMatchesState(const state::Host& host, const Observations& observed) {
  const auto found = observed.reports.find(host.id);
  if (found == observed.reports.end()) {
    return false;
  }
  const HostReport& report = found->second;
  return report.known && !report.draining && report.pool == host.pool &&
         report.generation == host.generation;
}

core::Millis ReportPeriod(const state::Host& host,
                          const Observations& observed) {
  const bool missing = observed.listed && !observed.listed->contains(host.id);
  if (missing) {
    return kListPeriod;
  }
  if (!IsStable(host)) {
    return kTransitionReportPeriod;
  }
  return ReportMatchesState(host, observed) ? kMatchingReportPeriod
                                            : kStableReportPeriod;
}

/// Tells whether two reports are equivalent for a step. The number of active
/// requests changes all the time and matters only during a drain.
bool IsEquivalent(const HostReport& a, const HostReport& b) {
  const bool same_load = !b.draining || a.active_requests == b.active_requests;
  return a.known == b.known && a.pool == b.pool &&
         a.generation == b.generation && a.draining == b.draining &&
         same_load && a.boot_id == b.boot_id;
}

}  // namespace internal

Collector::Collector(PlatformPort port, core::ZoneName zone,
                     std::function<void()> on_change)
    : port_(std::move(port)),
      zone_(std::move(zone)),
      observed_(std::make_shared<Observations>()),
      pending_(std::make_shared<Pending>()),
      latest_list_(std::make_shared<std::shared_ptr<const HostList>>()) {
  pending_->on_change = std::move(on_change);
}

Collector::~Collector() { pending_->on_change = nullptr; }

void Collector::Poll(const state::FleetState& state, bool decides,
                     core::MonotonicTime now) {
  if (!decides) {
    Reset();
    return;
  }
  ClassifyHosts(state);
  RequestList(now);
  RequestDueReports(state, transitioning_, now);
  // No period of a stable host is shorter. Checking hundreds of hosts in each
  // step would cost more than the requests.
  if (now - stable_polled_at_ >= internal::kListPeriod) {
    RequestDueReports(state, stable_, now);
    // If too many are due at once, the next step requests the rest.
    if (pending_->reports.size() < internal::kMaxPendingReports) {
      stable_polled_at_ = now;
    }
  }
}

void Collector::RequestDueReports(const state::FleetState& state,
                                  const std::vector<core::HostId>& hosts,
                                  core::MonotonicTime now) {
  for (const core::HostId& id : hosts) {
    const auto requested = report_requested_at_.find(id);
    if (requested == report_requested_at_.end() ||
        pending_->called_hosts.contains(id) ||
        now - requested->second >=
            internal::ReportPeriod(state.hosts.at(id), *observed_)) {
      RequestReport(id, now);
    }
  }
}

void Collector::Reset() {
  // Reset in every call, because an answer in flight may arrive later and must
  // not be used by a takeover minutes later.
  classified_mark_.reset();
  list_requested_at_ = {};
  stable_polled_at_ = {};
  report_requested_at_.clear();
  observed_->listed.reset();
  observed_->reports.clear();
  *latest_list_ = nullptr;
}

void Collector::ClassifyHosts(const state::FleetState& state) {
  if (classified_mark_ == state.mark) {
    return;
  }
  classified_mark_ = state.mark;
  stable_polled_at_ = {};
  transitioning_.clear();
  stable_.clear();
  for (const auto& [id, host] : state.hosts) {
    if (host.zone == zone_) {
      (internal::IsStable(host) ? stable_ : transitioning_).push_back(id);
    }
  }
  const auto gone = [&state](const auto& item) {
    return !state.hosts.contains(item.first);
  };
  std::erase_if(report_requested_at_, gone);
  std::erase_if(observed_->reports, gone);
}

void Collector::RequestList(core::MonotonicTime now) {
  if (pending_->list || now - list_requested_at_ < internal::kListPeriod) {
    return;
  }
  pending_->list = true;
  list_requested_at_ = now;
  port_.list([observed = observed_, pending = pending_,
              latest_list =
                  latest_list_](const std::shared_ptr<const HostList>& list) {
    pending->list = false;
    // An unchanged list is the same object. Copying 5,000 hosts every second
    // would cost milliseconds.
    if (list && list != *latest_list) {
      *latest_list = list;
      observed->listed = *list;
    }
  });
}

void Collector::RequestReport(const core::HostId& host,
                              core::MonotonicTime now) {
  if (pending_->reports.size() >= internal::kMaxPendingReports ||
      !pending_->reports.insert(host).second) {
    return;
  }
  const bool follows_call = pending_->called_hosts.erase(host) > 0;
  report_requested_at_[host] = now;
  port_.report(host, [observed = observed_, pending = pending_, host,
                      follows_call](std::optional<HostReport> report) {
    pending->reports.erase(host);
    if (!report) {
      return;
    }
    const auto known = observed->reports.find(host);
    // A report after a call may end a phase even if it shows no change.
    const bool changed = follows_call || known == observed->reports.end() ||
                         !internal::IsEquivalent(known->second, *report);
    observed->reports[host] = std::move(*report);
    if (changed) {
      pending->NotifyChange();
    }
  });
}

void Collector::Send(const std::vector<PlatformCall>& calls) {
  for (const PlatformCall& call : calls) {
    ++pending_->calls;
    port_.send(call,
               [observed = observed_, pending = pending_](CallAnswer answer) {
                 --pending->calls;
                 pending->called_hosts.insert(answer.call.host);
                 observed->answers.push_back(std::move(answer));
                 pending->NotifyChange();
               });
  }
}

}  // namespace camphormux::controller
