#include "camphormux/coordinator/host_router.hpp"

#include <algorithm>
#include <utility>

#include <asio/post.hpp>

#include "camphormux/coordinator/agent_choice.hpp"
#include "camphormux/coordinator/host_agent.hpp"
#include "camphormux/scheduler/hosts.hpp"
#include "camphormux/telemetry/log.hpp"

namespace camphormux::coordinator {
namespace internal {

/// Minimum interval between exchanges with a node; calls within it are sent as
/// one batch. As long as the interval between appends to the store.
constexpr core::Millis kMinExchangeInterval{10};
/// An exchange counts as lost when it takes this much longer than a node may
/// keep it open: a slow node answers within some hundred milliseconds.
constexpr core::Millis kExchangeTimeoutMargin{700};
/// A failed node is not used for this long, the time it takes to restart a
/// process.
constexpr core::Millis kAgentRetryDelay{2000};
/// The agent waits up to 0.9 s for a host's answer; the rest allows for the way
/// back to the holder.
constexpr core::Millis kAgentCallTimeout{1800};
/// Interval between checks for expired calls.
constexpr core::Millis kExpiryCheckInterval{100};
constexpr core::Millis kConnectTimeout{300};

peer::ClientOptions AgentOptions(const std::string& source_ip) {
  peer::ClientOptions options;
  options.connect_timeout = kConnectTimeout;
  options.probe_timeout = kConnectTimeout;
  options.backoff = {core::Millis(50), core::Millis(400)};
  options.source_ip = source_ip;
  return options;
}

std::string Describe(const core::Address& address) {
  return address.ip + ":" + std::to_string(address.port);
}

core::Millis CallTimeout(const HostCall& call) {
  const auto* renew = std::get_if<RenewCall>(&call);
  return kAgentCallTimeout + (renew == nullptr ? core::Millis(0) : renew->wait);
}

}  // namespace internal

HostRouter::HostRouter(asio::io_context& loop, HostPort direct,
                       core::Address self, core::Epoch token,
                       NodeMetrics& node_metrics)
    : loop_(loop),
      expiry_timer_(loop),
      direct_(std::move(direct)),
      self_(std::move(self)),
      token_(token),
      node_metrics_(node_metrics),
      name_(internal::Describe(self_) + "/" + std::to_string(token.value)) {}

HostPort HostRouter::MakePort() {
  HostPort port;
  const auto weak = weak_from_this();
  port.start = [weak](const StartCall& call,
                      std::function<void(StartAnswer)> done) {
    if (const auto self = weak.lock()) {
      self->Call(call, [done = std::move(done)](const HostAnswer& answer) {
        done(std::get<StartAnswer>(answer));
      });
    }
  };
  port.renew = [weak](const RenewCall& call,
                      std::function<void(RenewAnswer)> done) {
    if (const auto self = weak.lock()) {
      self->Call(call, [done = std::move(done)](HostAnswer answer) {
        done(std::get<RenewAnswer>(std::move(answer)));
      });
    }
  };
  port.stop = [weak](const HostTarget& target, const scheduler::RunName& name,
                     std::function<void(CallOutcome)> done) {
    if (const auto self = weak.lock()) {
      self->Call(StopCall{target, name},
                 [done = std::move(done)](const HostAnswer& answer) {
                   done(std::get<CallOutcome>(answer));
                 });
    }
  };
  port.pace = [weak](const HostTarget& target, const scheduler::RunName& name,
                     int percent, std::function<void(CallOutcome)> done) {
    if (const auto self = weak.lock()) {
      self->Call(PaceCall{target, name, percent},
                 [done = std::move(done)](const HostAnswer& answer) {
                   done(std::get<CallOutcome>(answer));
                 });
    }
  };
  return port;
}

void HostRouter::SetMembers(std::vector<Member> members) {
  std::erase_if(members,
                [&](const Member& node) { return node.address == self_; });
  if (members == members_) {
    return;
  }
  members_ = std::move(members);
  agent_by_host_.clear();
}

void HostRouter::SetHosts(std::size_t hosts) {
  if ((hosts > kMaxDirectHosts) != (hosts_ > kMaxDirectHosts)) {
    agent_by_host_.clear();
  }
  hosts_ = hosts;
}

void HostRouter::Close() {
  closed_ = true;
  expiry_timer_.cancel();
  asio::post(loop_, [closing_links = std::exchange(agent_links_, {})] {});
}

std::optional<core::Address> HostRouter::AgentOf(const HostTarget& target) {
  if (hosts_ <= kMaxDirectHosts) {
    return std::nullopt;
  }
  const core::MonotonicTime now = core::MonotonicNow();
  if (next_agent_retry_ != core::MonotonicTime{} && now >= next_agent_retry_) {
    next_agent_retry_ = {};
    agent_by_host_.clear();
  }
  const auto known = agent_by_host_.find(target.host);
  if (known != agent_by_host_.end()) {
    return known->second;
  }
  std::vector<Member> usable;
  for (const Member& node : members_) {
    const auto agent_link = agent_links_.find(node.address);
    if (agent_link != agent_links_.end() &&
        now < agent_link->second.unusable_until) {
      next_agent_retry_ =
          next_agent_retry_ == core::MonotonicTime{}
              ? agent_link->second.unusable_until
              : std::min(next_agent_retry_, agent_link->second.unusable_until);
      continue;
    }
    usable.push_back(node);
  }
  return agent_by_host_[target.host] =
             ChooseAgent(usable, target.host, target.zone);
}

void HostRouter::Call(HostCall call, Done done) {
  Route(std::move(call), std::move(done), core::MonotonicNow());
}

void HostRouter::Route(HostCall call, Done done, core::MonotonicTime called) {
  if (closed_) {
    return;
  }
  const auto agent = AgentOf(TargetOf(call));
  if (!agent) {
    node_metrics_.host_calls_direct->Increment();
    MakeCall(direct_, call, std::move(done));
    return;
  }
  node_metrics_.host_calls_shared->Increment();
  AgentLink& agent_link = agent_links_[*agent];
  const std::uint64_t number = next_number_++;
  const core::MonotonicTime give_up_at =
      std::min(core::MonotonicNow() + internal::CallTimeout(call),
               called + scheduler::kMaxCallDuration);
  agent_link.queue.push_back(number);
  agent_link.pending.emplace(
      number, Pending{std::move(call), std::move(done), called, give_up_at});
  ScheduleExchange(*agent);
}

void HostRouter::ScheduleExchange(const core::Address& agent) {
  AgentLink& agent_link = agent_links_[agent];
  if (agent_link.scheduled) {
    return;
  }
  agent_link.scheduled = true;
  auto timer = std::make_shared<asio::steady_timer>(loop_);
  timer->expires_at(std::max(core::MonotonicNow(), agent_link.next_exchange));
  timer->async_wait(
      [weak = weak_from_this(), timer, agent](const asio::error_code&) {
        const auto self = weak.lock();
        if (self && !self->closed_) {
          self->agent_links_[agent].scheduled = false;
          self->Exchange(agent);
        }
      });
}

void HostRouter::Exchange(const core::Address& agent) {
  AgentLink& agent_link = agent_links_[agent];
  if (agent_link.queue.empty() &&
      (agent_link.open > 0 || agent_link.pending.empty())) {
    return;
  }
  if (!agent_link.client) {
    agent_link.client = std::make_shared<peer::Client>(
        loop_, agent, internal::AgentOptions(self_.ip));
    ScheduleExpiry();
  }
  CallBatch batch;
  batch.holder = name_;
  batch.token = token_;
  std::vector<std::uint64_t> sent;
  std::vector<std::uint64_t> unsent;
  for (const std::uint64_t number : agent_link.queue) {
    const auto pending = agent_link.pending.find(number);
    if (pending == agent_link.pending.end()) {
      continue;
    }
    const core::Epoch token = TargetOf(pending->second.call).token;
    if (batch.calls.empty()) {
      batch.token = token;
    }
    // All calls of a batch carry one token.
    if (token != batch.token || batch.calls.size() == kMaxCallsPerBatch) {
      unsent.push_back(number);
      continue;
    }
    batch.calls.push_back({number, pending->second.call});
    sent.push_back(number);
  }
  agent_link.queue = std::move(unsent);
  ++agent_link.open;
  agent_link.next_exchange =
      core::MonotonicNow() + internal::kMinExchangeInterval;
  agent_link.client->Send({std::string(kHostCallsPath), EncodeCalls(batch)},
                          kMaxExchangeTime + internal::kExchangeTimeoutMargin,
                          [weak = weak_from_this(), agent,
                           client = std::weak_ptr(agent_link.client),
                           sent = std::move(sent)](const peer::Result& result) {
                            const auto self = weak.lock();
                            if (!self || self->closed_) {
                              return;
                            }
                            // Responses to exchanges with a node that was
                            // marked as failed come too late.
                            const auto found = self->agent_links_.find(agent);
                            if (found != self->agent_links_.end() &&
                                found->second.client == client.lock()) {
                              self->OnExchanged(agent, sent, result);
                            }
                          });
  if (agent_link.queue.empty()) {
    return;
  }
  if (batch.calls.size() < kMaxCallsPerBatch) {
    Exchange(agent);  // The other calls carry another token.
  } else {
    ScheduleExchange(agent);
  }
}

void HostRouter::OnExchanged(const core::Address& agent,
                             const std::vector<std::uint64_t>& sent,
                             const peer::Result& result) {
  AgentLink& agent_link = agent_links_[agent];
  --agent_link.open;
  if (!result) {
    OnAgentFailed(
        agent,
        result.error().may_have_reached ? std::vector<std::uint64_t>{} : sent,
        "no answer");
    return;
  }
  if (result.value().status == peer::kStatusUnavailable) {
    OnAgentLeaving(agent, sent);
    return;
  }
  const int status = result.value().status;
  if (status != peer::kStatusOk) {
    const bool is_rejected = peer::IsRejection(status);
    OnAgentFailed(agent, is_rejected ? sent : std::vector<std::uint64_t>{},
                  is_rejected ? "refused" : "failed");
    return;
  }
  auto answers = DecodeAnswers(result.value().body);
  if (!answers) {
    telemetry::Log(telemetry::Level::kError,
                   "malformed answers from another node",
                   {{"node", internal::Describe(agent)}});
    OnAgentFailed(agent, {}, "malformed");
    return;
  }
  if (!agent_link.pending.empty() || !agent_link.queue.empty()) {
    ScheduleExchange(agent);
  }
  for (NumberedAnswer& entry : *answers) {
    auto pending = agent_link.pending.extract(entry.number);
    if (pending.empty()) {
      continue;  // The call has expired.
    }
    if (entry.answer.index() == NoAnswerTo(pending.mapped().call).index()) {
      pending.mapped().done(std::move(entry.answer));
    } else {
      pending.mapped().done(NoAnswerTo(pending.mapped().call));
    }
    if (closed_) {
      return;
    }
  }
}

void HostRouter::OnAgentLeaving(const core::Address& agent,
                                const std::vector<std::uint64_t>& refused) {
  AgentLink& agent_link = agent_links_[agent];
  telemetry::Log(telemetry::Level::kInfo, "node leaves and takes no calls",
                 {{"node", internal::Describe(agent)},
                  {"calls", std::to_string(agent_link.pending.size())}});
  std::vector<std::uint64_t> unsent = std::exchange(agent_link.queue, {});
  unsent.insert(unsent.end(), refused.begin(), refused.end());
  agent_link.unusable_until = core::MonotonicNow() + internal::kAgentRetryDelay;
  agent_by_host_.clear();
  for (const std::uint64_t number : unsent) {
    auto call = agent_link.pending.extract(number);
    if (!call.empty()) {
      Route(std::move(call.mapped().call), std::move(call.mapped().done),
            call.mapped().called);
    }
  }
  if (!agent_link.pending.empty()) {
    ScheduleExchange(agent);
  }
}

void HostRouter::OnAgentFailed(const core::Address& agent,
                               const std::vector<std::uint64_t>& not_reached,
                               const char* reason) {
  AgentLink& agent_link = agent_links_[agent];
  telemetry::Log(telemetry::Level::kWarning, "node does not call hosts",
                 {{"node", internal::Describe(agent)},
                  {"reason", reason},
                  {"calls", std::to_string(agent_link.pending.size())},
                  {"not_reached", std::to_string(not_reached.size())}});
  node_metrics_.agent_failures->Increment();
  auto pending = std::exchange(agent_link.pending, {});
  std::vector<std::uint64_t> unsent = std::exchange(agent_link.queue, {});
  unsent.insert(unsent.end(), not_reached.begin(), not_reached.end());
  // This may run inside a callback of the client.
  asio::post(loop_, [client = std::exchange(agent_link.client, nullptr)] {});
  agent_link.open = 0;
  agent_link.unusable_until = core::MonotonicNow() + internal::kAgentRetryDelay;
  agent_by_host_.clear();
  for (const std::uint64_t number : unsent) {
    auto call = pending.extract(number);
    if (!call.empty()) {
      Route(std::move(call.mapped().call), std::move(call.mapped().done),
            call.mapped().called);
    }
  }
  for (auto& [number, call] : pending) {
    asio::post(loop_, [done = std::move(call.done),
                       answer = NoAnswerTo(call.call)] { done(answer); });
  }
}

void HostRouter::ScheduleExpiry() {
  expiry_timer_.expires_after(internal::kExpiryCheckInterval);
  expiry_timer_.async_wait(
      [weak = weak_from_this()](const asio::error_code& error) {
        const auto self = weak.lock();
        if (self && !error && !self->closed_) {
          self->ExpireCalls();
          self->ScheduleExpiry();
        }
      });
}

void HostRouter::ExpireCalls() {
  const core::MonotonicTime now = core::MonotonicNow();
  std::vector<Pending> late;
  for (auto& [agent, agent_link] : agent_links_) {
    for (auto it = agent_link.pending.begin();
         it != agent_link.pending.end();) {
      if (now >= it->second.give_up_at) {
        late.push_back(std::move(it->second));
        it = agent_link.pending.erase(it);
      } else {
        ++it;
      }
    }
  }
  for (const Pending& call : late) {
    call.done(NoAnswerTo(call.call));
  }
}

}  // namespace camphormux::coordinator
