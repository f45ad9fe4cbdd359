#include "test/coordinator/restartable_hosts.hpp"

#include <algorithm>
#include <memory>

#include <asio/steady_timer.hpp>

namespace camphormux::coordinator {
namespace {

constexpr core::Millis kWayBack{1};
/// Time after which a call without an answer fails.
constexpr core::Millis kCallTimeout{300};
constexpr core::Millis kLongestLease{10'000};
/// Clocks of hosts run slower by this fraction.
constexpr double kClockDrift = 0.02;
/// Clock of the first incarnation. Those of the next ones are behind it, so
/// that a deadline of an earlier incarnation is far off.
constexpr std::int64_t kFirstClock = 9'000'000;
constexpr std::int64_t kClockStep = 1'000'000;

std::string TaskKey(const scheduler::RunName& name) {
  return name.job.value + "." + std::to_string(name.place.step) + "." +
         std::to_string(name.place.index);
}

std::string RunKey(const scheduler::RunName& name) {
  return TaskKey(name) + "." + std::to_string(name.attempt);
}

std::int64_t MonotonicMs() {
  return core::MonotonicNow().time_since_epoch().count();
}

}  // namespace

void RestartableHosts::RunAfter(core::Millis delay,
                                std::function<void()> action) {
  auto timer = std::make_shared<asio::steady_timer>(loop_, delay);
  timer->async_wait(
      [timer, action = std::move(action)](const asio::error_code& error) {
        if (!error) {
          action();
        }
      });
}

void RestartableHosts::Add(const core::HostId& id) {
  hosts_[id].clock_offset = kFirstClock - MonotonicMs();
}

void RestartableHosts::Restart(const core::HostId& id) {
  FakeHost& host = hosts_.at(id);
  for (const auto& [key, position] : host.running) {
    executions_[position].end = core::MonotonicNow();
  }
  FakeHost next;
  next.incarnation = core::Next(host.incarnation);
  next.clock_offset =
      kFirstClock -
      kClockStep * static_cast<std::int64_t>(next.incarnation.value) -
      MonotonicMs();
  next.is_cut_off = host.is_cut_off;
  host = std::move(next);
}

void RestartableHosts::SetCutOff(const core::HostId& id, bool cut_off) {
  hosts_.at(id).is_cut_off = cut_off;
}

void RestartableHosts::HoldCalls(std::function<bool(const RenewCall&)> renewals,
                                 bool starts) {
  hold_renewals_ = std::move(renewals);
  hold_starts_ = starts;
}

void RestartableHosts::DeliverHeldRenewals() {
  for (const RenewCall& call : std::exchange(held_renewals_, {})) {
    (void)Renew(call);
  }
}

void RestartableHosts::DeliverHeldStarts() {
  for (const StartCall& call : std::exchange(held_starts_, {})) {
    (void)Start(call);
  }
}

std::vector<scheduler::HostListing> RestartableHosts::Listings() const {
  std::vector<scheduler::HostListing> listings;
  for (const auto& [id, host] : hosts_) {
    scheduler::HostListing& listing = listings.emplace_back();
    listing.id = id;
    listing.incarnation = host.incarnation;
    listing.address = {"127.0.0.1", 1};
    listing.pool.value = "pool";
    listing.rack.value = "r1";
    listing.capacity = {{64'000}, {262'144}, {0}};
  }
  return listings;
}

scheduler::Heartbeat RestartableHosts::HeartbeatOf(
    const core::HostId& id) const {
  const FakeHost& host = hosts_.at(id);
  return {id, host.incarnation, ClockOf(host)};
}

std::int64_t RestartableHosts::ClockOf(const FakeHost& host) const {
  return MonotonicMs() + host.clock_offset;
}

bool RestartableHosts::AcceptToken(FakeHost& host, core::Epoch token) {
  if (token < host.highest_token) {
    return false;
  }
  host.highest_token = token;
  return true;
}

void RestartableHosts::ExtendLease(FakeHost& host, std::int64_t deadline_ms) {
  const core::Millis left =
      std::min(core::Millis(deadline_ms - ClockOf(host)), kLongestLease);
  const auto longest = core::Millis(static_cast<std::int64_t>(
      static_cast<double>(left.count()) / (1.0 - kClockDrift)));
  host.lease_end = std::max(host.lease_end, core::MonotonicNow() + longest);
}

void RestartableHosts::CheckLease(const core::HostId& id) {
  const core::MonotonicTime now = core::MonotonicNow();
  FakeHost& host = hosts_.at(id);
  if (host.running.empty()) {
    return;
  }
  if (now >= host.lease_end) {
    const auto running = host.running;
    for (const auto& [key, position] : running) {
      End(id, key, scheduler::EndKind::kLeaseExpired);
    }
    return;
  }
  RunAfter(host.lease_end - now + core::Millis(1),
           [this, id] { CheckLease(id); });
}

void RestartableHosts::End(const core::HostId& id, const std::string& key,
                           scheduler::EndKind kind) {
  FakeHost& host = hosts_.at(id);
  const auto run = host.running.extract(key);
  if (run.empty()) {
    return;
  }
  Execution& execution = executions_[run.mapped()];
  execution.end = core::MonotonicNow();
  execution.done = kind == scheduler::EndKind::kDone;
  std::uint32_t& attempt = host.ended_attempts[TaskKey(execution.name)];
  attempt = std::max(attempt, execution.name.attempt);
  host.ended.push_back(
      {{{++host.last_end}, execution.name, kind, ""}, run.mapped()});
  if (host.waiting) {
    std::exchange(host.waiting, nullptr)();
  }
}

RenewAnswer RestartableHosts::Report(const FakeHost& host) const {
  RenewAnswer answer;
  answer.outcome = CallOutcome::kDone;
  answer.incarnation = host.incarnation;
  answer.clock_ms = ClockOf(host);
  for (const auto& [key, position] : host.running) {
    answer.running.push_back({executions_[position].name, "", 50, 0});
  }
  for (const auto& [end, position] : host.ended) {
    answer.ended.push_back(end);
  }
  return answer;
}

StartAnswer RestartableHosts::Start(const StartCall& call) {
  FakeHost& host = hosts_.at(call.target.host);
  StartAnswer answer;
  answer.clock_ms = ClockOf(host);
  if (!AcceptToken(host, call.target.token)) {
    answer.outcome = scheduler::StartOutcome::kFenced;
    return answer;
  }
  const std::string key = RunKey(call.name);
  const auto ended = host.ended_attempts.find(TaskKey(call.name));
  if (ended != host.ended_attempts.end() &&
      call.name.attempt <= ended->second) {
    answer.outcome = scheduler::StartOutcome::kStaleAttempt;
    return answer;
  }
  answer.outcome = scheduler::StartOutcome::kStarted;
  if (host.running.contains(key)) {
    return answer;
  }
  if (call.lease_end_ms <= ClockOf(host)) {
    answer.outcome = scheduler::StartOutcome::kLeaseExpired;
    return answer;
  }
  ExtendLease(host, call.lease_end_ms);
  host.running[key] = executions_.size();
  executions_.push_back({call.name, call.target.host, host.incarnation,
                         core::MonotonicNow(), std::nullopt});
  RunAfter(run_time_,
           [this, id = call.target.host, key, incarnation = host.incarnation] {
             if (hosts_.at(id).incarnation == incarnation) {
               End(id, key, scheduler::EndKind::kDone);
             }
           });
  CheckLease(call.target.host);
  return answer;
}

RenewAnswer RestartableHosts::Renew(const RenewCall& call) {
  FakeHost& host = hosts_.at(call.target.host);
  RenewAnswer answer;
  if (!AcceptToken(host, call.target.token)) {
    answer.outcome = CallOutcome::kFenced;
    return answer;
  }
  if (call.lease_end_ms) {
    ExtendLease(host, *call.lease_end_ms);
  }
  std::erase_if(host.ended, [&](const auto& entry) {
    const bool acknowledged = entry.first.number <= call.acknowledged;
    executions_[entry.second].acknowledged |= acknowledged;
    return acknowledged;
  });
  return Report(host);
}

CallOutcome RestartableHosts::Stop(const HostTarget& target,
                                   const scheduler::RunName& name) {
  FakeHost& host = hosts_.at(target.host);
  if (!AcceptToken(host, target.token)) {
    return CallOutcome::kFenced;
  }
  End(target.host, RunKey(name), scheduler::EndKind::kStopped);
  std::uint32_t& attempt = host.ended_attempts[TaskKey(name)];
  attempt = std::max(attempt, name.attempt);
  return CallOutcome::kDone;
}

template <typename Answer>
void RestartableHosts::Respond(const core::HostId& id,
                               core::Incarnation incarnation,
                               const std::function<void(Answer)>& done,
                               std::function<Answer()> answer) {
  const FakeHost& host = hosts_.at(id);
  if (host.is_cut_off || host.incarnation != incarnation) {
    RunAfter(kCallTimeout, [done] { done(Answer{}); });
    return;
  }
  RunAfter(kWayBack, [done, answer = std::move(answer)] { done(answer()); });
}

HostPort RestartableHosts::MakePort() {
  HostPort port;
  port.start = [this](const StartCall& call,
                      const std::function<void(StartAnswer)>& done) {
    const core::HostId id = call.target.host;
    if (hold_starts_ || hosts_.at(id).is_cut_off) {
      if (hold_starts_) {
        held_starts_.push_back(call);
      }
      RunAfter(kCallTimeout, [done] { done(StartAnswer{}); });
      return;
    }
    const StartAnswer answer = Start(call);
    Respond<StartAnswer>(id, hosts_.at(id).incarnation, done,
                         [answer] { return answer; });
  };
  port.stop = [this](const HostTarget& target, const scheduler::RunName& name,
                     const std::function<void(CallOutcome)>& done) {
    if (hosts_.at(target.host).is_cut_off) {
      RunAfter(kCallTimeout, [done] { done(CallOutcome::kNoAnswer); });
      return;
    }
    const CallOutcome outcome = Stop(target, name);
    RunAfter(kWayBack, [done, outcome] { done(outcome); });
  };
  port.pace = [](const HostTarget&, const scheduler::RunName&, int, auto) {};
  port.renew = [this](const RenewCall& call,
                      const std::function<void(RenewAnswer)>& done) {
    const core::HostId id = call.target.host;
    const bool is_held = hold_renewals_ && hold_renewals_(call);
    if (is_held || hosts_.at(id).is_cut_off) {
      if (is_held) {
        held_renewals_.push_back(call);
      }
      RunAfter(kCallTimeout, [done] { done(RenewAnswer{}); });
      return;
    }
    RenewAnswer answer = Renew(call);
    FakeHost& host = hosts_.at(id);
    const core::Incarnation incarnation = host.incarnation;
    if (answer.outcome != CallOutcome::kDone) {
      RunAfter(kWayBack, [done, answer] { done(answer); });
      return;
    }
    if (incarnation != call.target.incarnation) {
      answer = RenewAnswer{};
      answer.outcome = CallOutcome::kHostRestarted;
      answer.incarnation = incarnation;
      RunAfter(kWayBack, [done, answer] { done(answer); });
      return;
    }
    const auto respond = [this, id, incarnation, done] {
      Respond<RenewAnswer>(id, incarnation, done,
                           [this, id] { return Report(hosts_.at(id)); });
    };
    if (call.wait.count() == 0 || !host.ended.empty()) {
      respond();
      return;
    }
    host.waiting = respond;
    RunAfter(call.wait, [this, id, incarnation, respond] {
      FakeHost& waiting = hosts_.at(id);
      if (waiting.incarnation != incarnation) {
        respond();  // Lost with the incarnation.
      } else if (waiting.waiting) {
        std::exchange(waiting.waiting, nullptr)();
      }
    });
  };
  return port;
}

std::vector<RestartableHosts::Execution> RestartableHosts::ExecutionsOf(
    const core::JobId& job) const {
  std::vector<Execution> found;
  std::copy_if(
      executions_.begin(), executions_.end(), std::back_inserter(found),
      [&](const Execution& execution) { return execution.name.job == job; });
  return found;
}

bool RestartableHosts::HasOverlap() const {
  for (const Execution& first : executions_) {
    for (const Execution& second : executions_) {
      const bool is_later = first.start <= second.start && &first != &second;
      if (is_later && TaskKey(first.name) == TaskKey(second.name) &&
          (!first.end || second.start < *first.end)) {
        return true;
      }
    }
  }
  return false;
}

bool RestartableHosts::HasStartAfterAcknowledgedEnd() const {
  for (const Execution& first : executions_) {
    for (const Execution& second : executions_) {
      if (first.done && first.acknowledged &&
          TaskKey(first.name) == TaskKey(second.name) &&
          second.start >= *first.end && &first != &second) {
        return true;
      }
    }
  }
  return false;
}

}  // namespace camphormux::coordinator
