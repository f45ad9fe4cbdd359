#include "camphormux/controller/collector.hpp"

#include <utility>

namespace camphormux::controller {
namespace internal {

/// The list lags anyway; asking more often gains nothing.
constexpr core::Millis kListPeriod = std::chrono::seconds(1);
/// Reports of hosts that serve only find lost effects of earlier calls.
constexpr core::Millis kSteadyPeriod = std::chrono::seconds(10);
/// Of hosts whose last report agreed with the state. A zone of 500 hosts would
/// cost some 25 kB/s with the period above, against 10 kB/s for all control of
/// a node.
constexpr core::Millis kAgreedPeriod = std::chrono::minutes(1);
/// Reports of hosts on their way; each phase waits for one.
constexpr core::Millis kMovingPeriod{100};
/// Bounds the load on the platform when a whole zone moves.
constexpr std::size_t kMaxQuestions = 32;

bool IsSteady(const state::Host& host) {
  return host.phase == state::HostPhase::kAdmitted ||
         host.phase == state::HostPhase::kReleased;
}

bool Agrees(const state::Host& host, const Observations& seen) {
  const auto found = seen.reports.find(host.id);
  if (found == seen.reports.end()) {
    return false;
  }
  const HostReport& report = found->second;
  return report.known && !report.draining && report.pool == host.pool &&
         report.generation == host.generation;
}

core::Millis PeriodOf(const state::Host& host, const Observations& seen) {
  const bool missing = seen.listed && !seen.listed->contains(host.id);
  if (missing) {
    return kListPeriod;
  }
  if (!IsSteady(host)) {
    return kMovingPeriod;
  }
  return Agrees(host, seen) ? kAgreedPeriod : kSteadyPeriod;
}

/// Whether two reports mean the same for a step. The requests of a host that
/// serves change all the time; only a drain waits for them.
bool Same(const HostReport& a, const HostReport& b) {
  const bool same_load = !b.draining || a.active_requests == b.active_requests;
  return a.known == b.known && a.pool == b.pool &&
         a.generation == b.generation && a.draining == b.draining &&
         same_load && a.boot_id == b.boot_id;
}

}  // namespace internal

Collector::Collector(PlatformPort port, core::ZoneName zone,
                     std::function<void()> on_news)
    : port_(std::move(port)),
      zone_(std::move(zone)),
      seen_(std::make_shared<Observations>()),
      pending_(std::make_shared<Pending>()),
      latest_(std::make_shared<std::shared_ptr<const HostList>>()) {
  pending_->on_news = std::move(on_news);
}

Collector::~Collector() { pending_->on_news = nullptr; }

void Collector::Poll(const state::FleetState& state, bool decides,
                     core::MonotonicTime now) {
  if (!decides) {
    Forget();
    return;
  }
  Survey(state);
  AskList(now);
  AskReports(state, moving_, now);
  // No period of a serving host is shorter, and looking up hundreds of them in
  // each step costs more than asking.
  if (now - steady_polled_ >= internal::kListPeriod) {
    AskReports(state, steady_, now);
    // With too many at once the rest follow in the next step.
    if (pending_->reports.size() < internal::kMaxQuestions) {
      steady_polled_ = now;
    }
  }
}

void Collector::AskReports(const state::FleetState& state,
                           const std::vector<core::HostId>& hosts,
                           core::MonotonicTime now) {
  for (const core::HostId& id : hosts) {
    const auto asked = report_asked_.find(id);
    if (asked == report_asked_.end() || pending_->called.contains(id) ||
        now - asked->second >= internal::PeriodOf(state.hosts.at(id), *seen_)) {
      AskReport(id, now);
    }
  }
}

void Collector::Forget() {
  // Each time, since an answer on its way may come later and must not be
  // used by a takeover minutes after.
  surveyed_.reset();
  list_asked_ = {};
  steady_polled_ = {};
  report_asked_.clear();
  seen_->listed.reset();
  seen_->reports.clear();
  *latest_ = nullptr;
}

void Collector::Survey(const state::FleetState& state) {
  if (surveyed_ == state.mark) {
    return;
  }
  surveyed_ = state.mark;
  steady_polled_ = {};
  moving_.clear();
  steady_.clear();
  for (const auto& [id, host] : state.hosts) {
    if (host.zone == zone_) {
      (internal::IsSteady(host) ? steady_ : moving_).push_back(id);
    }
  }
  const auto gone = [&state](const auto& item) {
    return !state.hosts.contains(item.first);
  };
  std::erase_if(report_asked_, gone);
  std::erase_if(seen_->reports, gone);
}

void Collector::AskList(core::MonotonicTime now) {
  if (pending_->list || now - list_asked_ < internal::kListPeriod) {
    return;
  }
  pending_->list = true;
  list_asked_ = now;
  port_.list([seen = seen_, pending = pending_,
              latest = latest_](const std::shared_ptr<const HostList>& list) {
    pending->list = false;
    // An unchanged list is the same object; copying 5,000 hosts each second
    // would cost milliseconds.
    if (list && list != *latest) {
      *latest = list;
      seen->listed = *list;
    }
  });
}

void Collector::AskReport(const core::HostId& host, core::MonotonicTime now) {
  if (pending_->reports.size() >= internal::kMaxQuestions ||
      !pending_->reports.insert(host).second) {
    return;
  }
  const bool follows_call = pending_->called.erase(host) > 0;
  report_asked_[host] = now;
  port_.report(host, [seen = seen_, pending = pending_, host,
                      follows_call](std::optional<HostReport> report) {
    pending->reports.erase(host);
    if (!report) {
      return;
    }
    const auto known = seen->reports.find(host);
    // A report that follows a call may end a phase without showing a change.
    const bool news = follows_call || known == seen->reports.end() ||
                      !internal::Same(known->second, *report);
    seen->reports[host] = std::move(*report);
    if (news) {
      pending->TellNews();
    }
  });
}

void Collector::Send(const std::vector<PlatformCall>& calls) {
  for (const PlatformCall& call : calls) {
    ++pending_->calls;
    port_.send(call, [seen = seen_, pending = pending_](CallAnswer answer) {
      --pending->calls;
      pending->called.insert(answer.call.host);
      seen->answers.push_back(std::move(answer));
      pending->TellNews();
    });
  }
}

}  // namespace camphormux::controller
