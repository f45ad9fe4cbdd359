#include "camphormux/coordinator/host_links.hpp"

#include <algorithm>
#include <utility>

#include "camphormux/coordinator/host_calls.hpp"
#include "camphormux/coordinator/run_log.hpp"
#include "camphormux/scheduler/hosts.hpp"
#include "camphormux/scheduler/runs.hpp"
#include "camphormux/scheduler/stale_orders.hpp"
#include "camphormux/telemetry/log.hpp"

namespace camphormux::coordinator {
namespace internal {

/// Maximum time that a host may wait for the end of a run before it answers.
/// The lease is renewed several times before it expires.
constexpr core::Millis kMaxRenewWait{1000};
/// A lease that was renewed this long ago is renewed again.
constexpr core::Millis kRenewInterval{1500};
/// Delay after a failed renewal.
constexpr core::Millis kRetryDelay{300};
/// A start that reaches its host later than this is refused. Shorter than the
/// time by which a cancelled job has to be at rest, and long enough for a
/// second renewal if the first one through another node has no answer.
constexpr core::Millis kStartValidity{2500};
/// Age of the reading of a host's clock after which an idle host is asked
/// again. A slow clock differs from its estimate by a fiftieth of this.
constexpr core::Millis kMaxClockAge{30'000};
/// Interval between reports that are asked for so that ends can be
/// acknowledged; a start is listed by the report after its answer.
constexpr core::Millis kReportInterval{50};
/// Interval between reports of a host that gets no work until runs that it
/// stops have ended; a small part of the duration of a stop.
constexpr core::Millis kStopReportInterval{100};
/// Interval between checks of which hosts are due; a small part of a lease.
constexpr core::Millis kRenewCheckInterval{50};
/// Maximum number of calls in flight to one host; each needs a connection.
constexpr std::size_t kMaxCallsPerHost = 3;
/// Clocks are read in whole milliseconds, at both ends of an interval.
constexpr core::Millis kClockResolution{2};
/// A host that reported within this time counts as reachable.
constexpr core::Millis kReachableWindow{2500};

}  // namespace internal

HostLinks::HostLinks(HostPort port, scheduler::State& state,
                     NodeMetrics& node_metrics, RunLatency& run_latency,
                     Authority authority, Listener listener)
    : port_(std::move(port)),
      state_(state),
      node_metrics_(node_metrics),
      run_latency_(run_latency),
      authority_(std::move(authority)),
      listener_(std::move(listener)) {}

HostLinks::Link& HostLinks::LinkOf(const scheduler::Host& host) {
  Link& link = links_[host.listing.id];
  if (link.incarnation != host.listing.incarnation) {
    const core::MonotonicTime doubtful_until = link.doubtful_until;
    link = Link{};
    link.incarnation = host.listing.incarnation;
    link.doubtful_until = doubtful_until;
  }
  return link;
}

HostTarget HostLinks::TargetOf(const scheduler::Host& host) const {
  return {host.listing.id, host.listing.incarnation, host.listing.address,
          host.listing.zone, host.token};
}

std::optional<std::int64_t> HostLinks::GrantLease(scheduler::Host& host,
                                                  const Link& link,
                                                  core::Millis longest,
                                                  core::MonotonicTime now) {
  const core::Millis lease = LimitLease(
      std::min(longest, state_.settings.lease), authority_.time_left());
  if (!link.clock_ms || host.address_taken || lease.count() == 0) {
    return std::nullopt;
  }
  host.lease_end =
      std::max(host.lease_end, now + scheduler::MaxLeaseDuration(lease));
  const std::int64_t deadline_ms = *EarliestClock(link, now) + lease.count();
  host.last_grant = now;
  // The host's clock may be ahead of its estimate, for example after a node
  // stood still.
  host.deadline_ms =
      std::max({host.deadline_ms, deadline_ms,
                host.heartbeat_clock_ms.value_or(0) + lease.count()});
  return deadline_ms;
}

std::optional<std::int64_t> HostLinks::EarliestClock(const Link& link,
                                                     core::MonotonicTime now) {
  if (!link.clock_ms) {
    return std::nullopt;
  }
  const std::int64_t elapsed = (now - link.clock_read_at).count();
  if (elapsed < 0) {  // The reading is newer.
    return *link.clock_ms + elapsed;
  }
  return *link.clock_ms +
         static_cast<std::int64_t>(static_cast<double>(elapsed) *
                                   (1.0 - scheduler::kMaxClockDrift));
}

bool HostLinks::IsClockOf(const Link& link, std::int64_t clock_ms,
                          core::MonotonicTime asked, core::MonotonicTime now) {
  const auto earliest = EarliestClock(link, asked);
  if (!earliest) {
    return false;
  }
  // The reading may have been as old as a call takes when it arrived.
  const auto latest = static_cast<std::int64_t>(
      *link.clock_ms +
      (now - link.clock_read_at + scheduler::kMaxCallDuration).count());
  return clock_ms >= *earliest - internal::kClockResolution.count() &&
         clock_ms <= latest;
}

bool HostLinks::may_acknowledge(const scheduler::Host& host,
                                const Link& link) const {
  if (link.stored <= link.acknowledged || link.failures > 0) {
    return false;
  }
  return std::none_of(
      host.runs.begin(), host.runs.end(), [&](scheduler::RunId id) {
        const scheduler::Run& run = state_.runs.at(id);
        return !run.was_listed && scheduler::IsStartUnsettled(run, host);
      });
}

bool HostLinks::is_report_due(const scheduler::Host& host, const Link& link,
                              core::MonotonicTime now) const {
  return now >= link.sent + internal::kReportInterval &&
         std::none_of(
             host.runs.begin(), host.runs.end(), [&](scheduler::RunId id) {
               const scheduler::Run& run = state_.runs.at(id);
               return run.is_sent && run.phase == scheduler::RunPhase::kOrdered;
             });
}

bool HostLinks::is_superseded(const HostTarget& target) const {
  const auto host = state_.hosts.find(target.host);
  return target.token <
         (host == state_.hosts.end() ? state_.token : host->second.token);
}

bool HostLinks::may_call(const scheduler::Host& host) {
  // A host that is known only from a stored start has no address yet.
  return host.listing.address.port != 0 && (host.synced || !host.needs_token);
}

void HostLinks::Renew(scheduler::Host& host, Link& link,
                      core::MonotonicTime now) {
  RenewCall call;
  call.target = TargetOf(host);
  if (may_acknowledge(host, link)) {
    call.acknowledged = link.stored;
  }
  link.holds_starts = call.acknowledged.value > 0;
  const bool has_ends_to_list =
      host.ended > std::max(link.acknowledged, call.acknowledged);
  // An unresponsive host gets no extension: its lease must expire so that its
  // runs can start elsewhere.
  if (link.failures == 0 && !host.runs.empty()) {
    call.lease_end_ms = GrantLease(host, link, state_.settings.lease, now);
  }
  const core::Millis lease =
      call.lease_end_ms
          ? LimitLease(state_.settings.lease, authority_.time_left())
          : core::Millis(0);
  // A host whose lease is only that of a start is asked for a prompt answer, so
  // that there is time for another renewal if this one is lost.
  const bool is_lease_short =
      link.renewed_until < now + std::min(internal::kStartValidity, lease / 2);
  // Starts wait for the answer to an acknowledgement, so it is prompt.
  if (host.synced && !host.runs.empty() && !has_ends_to_list &&
      !link.holds_starts && !is_lease_short) {
    call.wait = internal::kMaxRenewWait;
  }
  link.renewing = true;
  link.sent = now;
  node_metrics_.renewals->Increment();
  port_.renew(call, [weak = weak_from_this(), call, now,
                     lease](const RenewAnswer& answer) {
    const auto self = weak.lock();
    if (self && !self->closed_) {
      if (answer.outcome != CallOutcome::kDone) {
        self->LogUnanswered(call, answer, now);
      }
      self->OnRenewed(call, now, lease, answer);
    }
  });
}

void HostLinks::RenewIfDue(scheduler::Host& host, core::MonotonicTime now) {
  Link& link = LinkOf(host);
  if (link.renewing || now < link.retry_not_before || !may_call(host)) {
    return;
  }
  const bool due = now >= link.sent + internal::kRenewInterval;
  const bool has_unstored_ends = host.ended > link.stored;
  const bool has_stored_ends = link.stored > link.acknowledged;
  const bool must_wait =
      has_unstored_ends || (has_stored_ends && !may_acknowledge(host, link) &&
                            !is_report_due(host, link, now));
  if (must_wait && !due) {
    return;
  }
  // Without the store, whether most hosts answer decides whether this node
  // remains the holder, so idle hosts are asked too.
  if (!host.synced || !host.runs.empty() || host.unresponsive_since ||
      has_stored_ends || now >= link.clock_read_at + internal::kMaxClockAge ||
      (host.stops_unknown_runs &&
       now >= link.sent + internal::kStopReportInterval) ||
      (due && !authority_.is_confirmed())) {
    Renew(host, link, now);
  }
}

void HostLinks::RenewAllDue(core::MonotonicTime now) {
  if (now < next_renewal_check_) {
    return;
  }
  next_renewal_check_ = now + internal::kRenewCheckInterval;
  for (auto& [id, host] : state_.hosts) {
    RenewIfDue(host, now);
  }
  std::erase_if(links_, [&](const auto& entry) {
    return !state_.hosts.contains(entry.first) && !entry.second.renewing &&
           entry.second.calls_in_flight == 0;
  });
}

void HostLinks::RenewUnsynced(core::MonotonicTime now) {
  for (auto& [id, host] : state_.hosts) {
    if (!host.synced) {
      RenewIfDue(host, now);
    }
  }
}

void HostLinks::RecordClock(const core::HostId& host,
                            core::Incarnation incarnation,
                            std::int64_t clock_ms) {
  const auto link = links_.find(host);
  if (link != links_.end() && link->second.incarnation == incarnation) {
    link->second.clock_ms = clock_ms;
    link->second.clock_read_at = core::MonotonicNow();
  }
}

void HostLinks::LogUnanswered(const RenewCall& call, const RenewAnswer& answer,
                              core::MonotonicTime asked) const {
  // A call that grants and acknowledges nothing has no effect.
  if (!call.lease_end_ms && call.acknowledged.value == 0) {
    return;
  }
  telemetry::Log(
      telemetry::Level::kInfo, "renewal not answered by its host",
      {{"host", call.target.host.value},
       {"incarnation", std::to_string(call.target.incarnation.value)},
       {"reported", std::to_string(answer.incarnation.value)},
       {"token", std::to_string(call.target.token.value)},
       {"acknowledged", std::to_string(call.acknowledged.value)},
       {"deadline_ms",
        call.lease_end_ms ? std::to_string(*call.lease_end_ms) : ""},
       {"outcome", std::string(Describe(answer.outcome))},
       {"milliseconds",
        std::to_string((core::MonotonicNow() - asked).count())}});
}

void HostLinks::OnAddressTaken(scheduler::Host& host, core::MonotonicTime now) {
  if (!host.address_taken) {
    telemetry::Log(telemetry::Level::kWarning,
                   "another host answers at the address of a host",
                   {{"host", host.listing.id.value},
                    {"pool", host.listing.pool.value},
                    {"runs", std::to_string(host.runs.size())}});
  }
  scheduler::OnAddressTaken(host, now);
}

void HostLinks::OnRenewed(const RenewCall& call, core::MonotonicTime asked,
                          core::Millis lease, const RenewAnswer& answer) {
  const core::MonotonicTime now = core::MonotonicNow();
  const core::HostId& id = call.target.host;
  const core::Incarnation incarnation = call.target.incarnation;
  const auto found = links_.find(id);
  if (found != links_.end() && found->second.incarnation == incarnation) {
    found->second.renewing = false;
    found->second.holds_starts = false;
  }
  if (found != links_.end() && answer.outcome == CallOutcome::kNoAnswer) {
    found->second.doubtful_until = now + scheduler::kMaxCallDelay;
  }
  const auto host = state_.hosts.find(id);
  if (host == state_.hosts.end() || found == links_.end() ||
      host->second.listing.incarnation != incarnation) {
    return;
  }
  Link& link = found->second;
  if (answer.outcome == CallOutcome::kNoAnswer ||
      answer.outcome == CallOutcome::kRefused) {
    host->second.needs_token |= call.acknowledged.value > 0;
  }
  switch (answer.outcome) {
    case CallOutcome::kDone: {
      if (host->second.unresponsive_since) {
        telemetry::Log(telemetry::Level::kInfo, "host answers again",
                       {{"host", id.value}});
      }
      link.failures = 0;
      link.renewed_until = std::max(link.renewed_until, asked + lease);
      link.acknowledged = std::max(link.acknowledged, call.acknowledged);
      RecordClock(id, incarnation, answer.clock_ms);
      scheduler::OnReport(state_,
                          {id, incarnation, call.target.token, asked,
                           answer.running, answer.ended, answer.is_partial},
                          now, core::WallNow());
      SendQueued(id);
      RenewIfDue(host->second, now);
      listener_.on_change();
      return;
    }
    case CallOutcome::kFenced:
      if (!is_superseded(call.target)) {
        listener_.on_fenced(id);
        return;
      }
      SendQueued(id);
      RenewIfDue(host->second, now);
      return;
    case CallOutcome::kHostRestarted:
      if (answer.incarnation.value == 0) {
        ++link.failures;
        link.retry_not_before = now + internal::kRetryDelay;
        OnAddressTaken(host->second, now);
      } else {
        telemetry::Log(
            telemetry::Level::kWarning, "host has restarted",
            {{"host", id.value},
             {"incarnation", std::to_string(incarnation.value)},
             {"reported", std::to_string(answer.incarnation.value)}});
        scheduler::ReplaceIncarnation(state_, host->second, answer.incarnation,
                                      now);
      }
      listener_.on_change();
      return;
    case CallOutcome::kRefused:
    case CallOutcome::kNoAnswer:
      ++link.failures;
      link.retry_not_before = now + internal::kRetryDelay;
      if (!host->second.unresponsive_since) {
        telemetry::Log(telemetry::Level::kWarning, "host does not answer",
                       {{"host", id.value},
                        {"pool", host->second.listing.pool.value},
                        {"runs", std::to_string(host->second.runs.size())}});
      }
      scheduler::MarkUnresponsive(host->second, now);
      SendQueued(id);
      listener_.on_change();
      return;
  }
}

void HostLinks::Enqueue(const core::HostId& host, Order order) {
  const auto found = state_.hosts.find(host);
  if (found == state_.hosts.end()) {
    return;
  }
  LinkOf(found->second).queue.push_back(std::move(order));
  SendQueued(host);
}

void HostLinks::SendQueued(const core::HostId& host) {
  const auto found = links_.find(host);
  if (found == links_.end() || closed_) {
    return;
  }
  Link& link = found->second;
  while (link.calls_in_flight < internal::kMaxCallsPerHost &&
         !link.holds_starts && !link.queue.empty()) {
    Order order = std::move(link.queue.front());
    link.queue.pop_front();
    ++link.calls_in_flight;
    order([weak = weak_from_this(), host, incarnation = link.incarnation] {
      const auto self = weak.lock();
      if (!self || self->closed_) {
        return;
      }
      const auto again = self->links_.find(host);
      if (again != self->links_.end() &&
          again->second.incarnation == incarnation) {
        --again->second.calls_in_flight;
        self->SendQueued(host);
      }
    });
  }
}

void HostLinks::Send(const scheduler::StartRun& order) {
  Enqueue(order.host, [this, order](const std::function<void()>& done) {
    const core::MonotonicTime now = core::MonotonicNow();
    const auto run = state_.runs.find(order.run);
    const auto host = state_.hosts.find(order.host);
    const bool is_silent =
        host != state_.hosts.end() && host->second.unresponsive_since;
    const bool is_due = run != state_.runs.end() && !is_silent &&
                        run->second.phase == scheduler::RunPhase::kOrdered &&
                        now <= run->second.ordered + scheduler::kOrderValidity;
    const core::MonotonicTime ordered = is_due ? run->second.ordered : now;
    if (!is_due || !CallStart(order, done)) {
      scheduler::WithdrawStart(state_, order.run);
      done();
      return;
    }
    RecordStage(run_latency_.sent, now - ordered);
    scheduler::OnStartSent(state_, order.run, now);
  });
}

void HostLinks::Send(const scheduler::RepeatStart& order) {
  Enqueue(order.host, [this, order](const std::function<void()>& done) {
    const auto run = state_.runs.find(order.run);
    const bool is_open = run != state_.runs.end() &&
                         run->second.phase == scheduler::RunPhase::kUnanswered;
    if (!is_open ||
        !CallStart({order.run, order.host, order.name, order.checkpoint},
                   done)) {
      done();
      return;
    }
    scheduler::OnStartRepeated(state_, order.run);
  });
}

scheduler::StartOutcome HostLinks::OutcomeOf(const StartAnswer& answer,
                                             const HostTarget& target,
                                             core::MonotonicTime asked,
                                             core::MonotonicTime now) {
  if (answer.outcome == scheduler::StartOutcome::kFenced &&
      is_superseded(target)) {
    return scheduler::StartOutcome::kSuperseded;
  }
  const auto link = links_.find(target.host);
  if (!answer.clock_ms || link == links_.end() ||
      link->second.incarnation != target.incarnation) {
    return answer.outcome;
  }
  if (IsClockOf(link->second, *answer.clock_ms, asked, now)) {
    RecordClock(target.host, target.incarnation, *answer.clock_ms);
    return answer.outcome;
  }
  telemetry::Log(telemetry::Level::kWarning,
                 "answer to a start shows another clock",
                 {{"host", target.host.value},
                  {"incarnation", std::to_string(target.incarnation.value)},
                  {"host_clock_ms", std::to_string(*answer.clock_ms)}});
  node_metrics_.foreign_clocks->Increment();
  return answer.outcome == scheduler::StartOutcome::kStarted
             ? scheduler::StartOutcome::kNoAnswer
             : answer.outcome;
}

bool HostLinks::CallStart(const scheduler::StartRun& order,
                          std::function<void()> done) {
  const auto host = state_.hosts.find(order.host);
  const auto job = state_.jobs.find(order.name.job);
  if (host == state_.hosts.end() || job == state_.jobs.end() ||
      host->second.needs_token) {
    return false;
  }
  const core::MonotonicTime now = core::MonotonicNow();
  const auto lease_end = GrantLease(host->second, LinkOf(host->second),
                                    internal::kStartValidity, now);
  if (!lease_end) {
    return false;
  }
  StartCall call{TargetOf(host->second), order.name, job->second.spec.payload,
                 order.checkpoint, *lease_end};
  const auto run = state_.runs.find(order.run);
  const bool is_repeated =
      run != state_.runs.end() &&
      run->second.phase == scheduler::RunPhase::kUnanswered;
  const auto earliest_clock_ms = EarliestClock(LinkOf(host->second), now);
  port_.start(call, [weak = weak_from_this(), order, now, is_repeated,
                     target = call.target, deadline_ms = call.lease_end_ms,
                     earliest_clock_ms,
                     done = std::move(done)](const StartAnswer& answer) {
    const auto self = weak.lock();
    if (!self || self->closed_) {
      return;
    }
    const core::MonotonicTime answered = core::MonotonicNow();
    const core::Incarnation incarnation = target.incarnation;
    const scheduler::StartOutcome outcome =
        self->OutcomeOf(answer, target, now, answered);
    RecordStage(self->run_latency_.answered, answered - now);
    self->node_metrics_.start_seconds->Observe(
        std::chrono::duration<double>(answered - now).count());
    telemetry::Log(
        telemetry::LogRateClass::kFrequent, telemetry::Level::kInfo,
        "run ordered",
        {{"task", DescribeTask(order.name)},
         {"attempt", std::to_string(order.name.attempt)},
         {"host", order.host.value},
         {"incarnation", std::to_string(incarnation.value)},
         {"host_clock_ms",
          answer.clock_ms ? std::to_string(*answer.clock_ms) : ""},
         {"earliest_clock_ms",
          earliest_clock_ms ? std::to_string(*earliest_clock_ms) : ""},
         {"token", std::to_string(target.token.value)},
         {"deadline_ms", std::to_string(deadline_ms)},
         {"repeated", is_repeated ? "yes" : "no"},
         {"outcome", std::string(Describe(outcome))}});
    if (outcome == scheduler::StartOutcome::kFenced) {
      self->listener_.on_fenced(order.host);
      return;
    }
    const auto link = self->links_.find(order.host);
    if (link != self->links_.end() &&
        outcome == scheduler::StartOutcome::kNoAnswer) {
      link->second.doubtful_until = answered + scheduler::kMaxCallDelay;
    }
    const auto known = self->state_.hosts.find(order.host);
    const bool same_incarnation =
        known != self->state_.hosts.end() &&
        known->second.listing.incarnation == incarnation;
    if (outcome == scheduler::StartOutcome::kHostRestarted &&
        same_incarnation) {
      self->OnAddressTaken(known->second, answered);
    }
    scheduler::OnStartAnswer(self->state_, order.run, outcome, answered);
    const auto again = self->state_.hosts.find(order.host);
    if (again != self->state_.hosts.end()) {
      self->RenewIfDue(again->second, answered);
    }
    done();
    self->listener_.on_change();
  });
  return true;
}

void HostLinks::Send(const scheduler::StopRun& order) {
  Enqueue(order.host, [this, order](std::function<void()> done) {
    const auto host = state_.hosts.find(order.host);
    if (host == state_.hosts.end() || !may_call(host->second)) {
      done();
      return;
    }
    const HostTarget target = TargetOf(host->second);
    port_.stop(
        target, order.name,
        [weak = weak_from_this(), order, target,
         done = std::move(done)](CallOutcome outcome) {
          const auto self = weak.lock();
          if (!self || self->closed_) {
            return;
          }
          telemetry::Log(
              telemetry::LogRateClass::kFrequent, telemetry::Level::kInfo,
              "run stopped",
              {{"task", DescribeTask(order.name)},
               {"attempt", std::to_string(order.name.attempt)},
               {"host", order.host.value},
               {"incarnation", std::to_string(target.incarnation.value)},
               {"token", std::to_string(target.token.value)},
               {"confirmed", outcome == CallOutcome::kDone ? "yes" : "no"}});
          if (outcome == CallOutcome::kFenced && !self->is_superseded(target)) {
            self->listener_.on_fenced(order.host);
            return;
          }
          if (outcome == CallOutcome::kDone) {
            scheduler::OnStopConfirmed(self->state_, order.host,
                                       target.incarnation, order.name,
                                       core::MonotonicNow());
          }
          done();
        });
  });
}

void HostLinks::Send(const scheduler::PaceRun& order) {
  Enqueue(order.host, [this, order](std::function<void()> done) {
    const auto host = state_.hosts.find(order.host);
    if (host == state_.hosts.end() || !may_call(host->second)) {
      done();
      return;
    }
    const HostTarget target = TargetOf(host->second);
    port_.pace(
        target, order.name, order.percent,
        [weak = weak_from_this(), order, target,
         done = std::move(done)](CallOutcome outcome) {
          const auto self = weak.lock();
          if (!self || self->closed_) {
            return;
          }
          telemetry::Log(
              telemetry::LogRateClass::kFrequent, telemetry::Level::kInfo,
              "run paced",
              {{"task", DescribeTask(order.name)},
               {"percent", std::to_string(order.percent)},
               {"host", order.host.value},
               {"incarnation", std::to_string(target.incarnation.value)},
               {"confirmed", outcome == CallOutcome::kDone ? "yes" : "no"}});
          if (outcome == CallOutcome::kFenced && !self->is_superseded(target)) {
            self->listener_.on_fenced(order.host);
            return;
          }
          if (outcome != CallOutcome::kDone) {
            scheduler::OnPaceUnconfirmed(self->state_, order.host, order.name);
          }
          done();
        });
  });
}

void HostLinks::Acknowledge(const core::HostId& host, StoredEnd end) {
  const auto link = links_.find(host);
  const auto known = state_.hosts.find(host);
  if (link != links_.end() && known != state_.hosts.end() &&
      link->second.incarnation == end.incarnation) {
    link->second.stored = end.number;
    RenewIfDue(known->second, core::MonotonicNow());
  }
}

void HostLinks::Close() {
  closed_ = true;
  links_.clear();
}

double HostLinks::reachable_share(core::MonotonicTime now) const {
  std::size_t listed = 0;
  std::size_t reachable = 0;
  for (const auto& [id, host] : state_.hosts) {
    if (!host.listed) {
      continue;
    }
    ++listed;
    reachable += now < host.last_report + internal::kReachableWindow ? 1U : 0U;
  }
  return listed == 0
             ? 0.0
             : static_cast<double>(reachable) / static_cast<double>(listed);
}

}  // namespace camphormux::coordinator
