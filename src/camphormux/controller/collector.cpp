#include "camphormux/controller/collector.hpp"

#include <utility>

namespace camphormux::controller {
namespace internal {

/// The list lags anyway; asking more often gains nothing.
constexpr core::Millis kListPeriod = std::chrono::seconds(1);
/// Reports of hosts that serve only find lost effects of earlier calls.
constexpr core::Millis kSteadyPeriod = std::chrono::seconds(10);
/// Reports of hosts on their way; each phase waits for one.
constexpr core::Millis kMovingPeriod{100};
/// Bounds the load on the platform when a whole zone moves.
constexpr std::size_t kMaxQuestions = 32;

bool IsSteady(const state::Host& host) {
  return host.phase == state::HostPhase::kAdmitted ||
         host.phase == state::HostPhase::kReleased;
}

core::Millis PeriodOf(const state::Host& host, const Observations& seen) {
  const bool missing = seen.listed && !seen.listed->contains(host.id);
  if (missing) {
    return kListPeriod;
  }
  return IsSteady(host) ? kSteadyPeriod : kMovingPeriod;
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
      pending_(std::make_shared<Pending>()) {
  pending_->on_news = std::move(on_news);
}

Collector::~Collector() { pending_->on_news = nullptr; }

void Collector::Poll(const state::FleetState& state, core::MonotonicTime now) {
  AskList(now);
  // Hosts on their way are asked for before those that serve.
  for (const bool steady : {false, true}) {
    for (const auto& [id, host] : state.hosts) {
      if (host.zone != zone_ || internal::IsSteady(host) != steady) {
        continue;
      }
      const auto asked = report_asked_.find(id);
      if (asked == report_asked_.end() || pending_->called.contains(id) ||
          now - asked->second >= internal::PeriodOf(host, *seen_)) {
        AskReport(id, now);
      }
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
  port_.list([seen = seen_, pending = pending_](std::optional<HostList> list) {
    pending->list = false;
    if (list) {
      seen->listed = std::move(list);
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
    port_.send(call, [seen = seen_, pending = pending_](CallAnswer answer) {
      pending->called.insert(answer.call.host);
      seen->answers.push_back(std::move(answer));
      pending->TellNews();
    });
  }
}

}  // namespace camphormux::controller
