#include "camphormux/coordinator/host_router.hpp"

#include <algorithm>
#include <utility>

#include <asio/post.hpp>

#include "camphormux/coordinator/agent_choice.hpp"
#include "camphormux/coordinator/host_agent.hpp"
#include "camphormux/telemetry/log.hpp"

namespace camphormux::coordinator {
namespace internal {

/// Least time between two exchanges with a node. Calls of this span travel
/// together; it is as long as that between two appends to the store.
constexpr core::Millis kExchangePause{10};
/// An exchange that took this much longer than a node may keep it open was
/// lost: a slow node answers within some hundred milliseconds.
constexpr core::Millis kExchangeSlack{700};
/// A node that failed is not used for this long; as long as it takes to start
/// a process anew.
constexpr core::Millis kAgentRest{2000};
/// A host's answer is waited for this long at the node that called it (0.9 s),
/// and on the way back.
constexpr core::Millis kCallPatience{1800};
/// Time between two looks for calls without an answer.
constexpr core::Millis kGiveUpPause{100};
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

core::Millis PatienceFor(const HostCall& call) {
  const auto* renew = std::get_if<RenewCall>(&call);
  return kCallPatience + (renew == nullptr ? core::Millis(0) : renew->wait);
}

}  // namespace internal

HostRouter::HostRouter(asio::io_context& loop, HostPort direct,
                       core::Address self, core::Epoch token, Meters& meters)
    : loop_(loop),
      give_up_timer_(loop),
      direct_(std::move(direct)),
      self_(std::move(self)),
      token_(token),
      meters_(meters),
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
  chosen_.clear();
}

void HostRouter::SetHosts(std::size_t hosts) {
  if ((hosts > kHostsOfOneNode) != (hosts_ > kHostsOfOneNode)) {
    chosen_.clear();
  }
  hosts_ = hosts;
}

void HostRouter::Close() {
  closed_ = true;
  give_up_timer_.cancel();
  asio::post(loop_, [lines = std::exchange(lines_, {})] {});
}

std::optional<core::Address> HostRouter::AgentOf(const HostTarget& target) {
  if (hosts_ <= kHostsOfOneNode) {
    return std::nullopt;
  }
  const core::MonotonicTime now = core::MonotonicNow();
  if (next_return_ != core::MonotonicTime{} && now >= next_return_) {
    next_return_ = {};
    chosen_.clear();
  }
  const auto known = chosen_.find(target.host);
  if (known != chosen_.end()) {
    return known->second;
  }
  std::vector<Member> usable;
  for (const Member& node : members_) {
    const auto line = lines_.find(node.address);
    if (line != lines_.end() && now < line->second.rest_until) {
      next_return_ = next_return_ == core::MonotonicTime{}
                         ? line->second.rest_until
                         : std::min(next_return_, line->second.rest_until);
      continue;
    }
    usable.push_back(node);
  }
  return chosen_[target.host] = ChooseAgent(usable, target.host, target.zone);
}

void HostRouter::Call(HostCall call, Done done) {
  if (closed_) {
    return;
  }
  const auto agent = AgentOf(TargetOf(call));
  if (!agent) {
    meters_.host_calls_direct->Increment();
    Make(direct_, call, std::move(done));
    return;
  }
  meters_.host_calls_shared->Increment();
  Line& line = lines_[*agent];
  const std::uint64_t number = next_number_++;
  const core::MonotonicTime give_up =
      core::MonotonicNow() + internal::PatienceFor(call);
  line.queue.push_back(number);
  line.pending.emplace(number,
                       Pending{std::move(call), std::move(done), give_up});
  ScheduleExchange(*agent);
}

void HostRouter::ScheduleExchange(const core::Address& agent) {
  Line& line = lines_[agent];
  if (line.scheduled) {
    return;
  }
  line.scheduled = true;
  auto timer = std::make_shared<asio::steady_timer>(loop_);
  timer->expires_at(std::max(core::MonotonicNow(), line.next_exchange));
  timer->async_wait(
      [weak = weak_from_this(), timer, agent](const asio::error_code&) {
        const auto self = weak.lock();
        if (self && !self->closed_) {
          self->lines_[agent].scheduled = false;
          self->Exchange(agent);
        }
      });
}

void HostRouter::Exchange(const core::Address& agent) {
  Line& line = lines_[agent];
  if (line.queue.empty() && (line.open > 0 || line.pending.empty())) {
    return;
  }
  if (!line.client) {
    line.client = std::make_shared<peer::Client>(
        loop_, agent, internal::AgentOptions(self_.ip));
    ScheduleGiveUp();
  }
  CallBatch batch;
  batch.holder = name_;
  batch.token = token_;
  std::vector<std::uint64_t> sent;
  const std::size_t count = std::min(line.queue.size(), kMaxCallsOfBatch);
  for (std::size_t i = 0; i < count; ++i) {
    const std::uint64_t number = line.queue[i];
    const auto pending = line.pending.find(number);
    if (pending != line.pending.end()) {
      batch.calls.push_back({number, pending->second.call});
      sent.push_back(number);
    }
  }
  line.queue.erase(line.queue.begin(),
                   line.queue.begin() + static_cast<std::ptrdiff_t>(count));
  ++line.open;
  line.next_exchange = core::MonotonicNow() + internal::kExchangePause;
  line.client->Send(
      {std::string(kHostCallsPath), EncodeCalls(batch)},
      kLongestExchange + internal::kExchangeSlack,
      [weak = weak_from_this(), agent, client = std::weak_ptr(line.client),
       sent = std::move(sent)](const peer::Result& result) {
        const auto self = weak.lock();
        if (!self || self->closed_) {
          return;
        }
        // Answers to exchanges with a node that was lost are too late.
        const auto found = self->lines_.find(agent);
        if (found != self->lines_.end() &&
            found->second.client == client.lock()) {
          self->OnExchanged(agent, sent, result);
        }
      });
  if (!line.queue.empty()) {
    ScheduleExchange(agent);
  }
}

void HostRouter::OnExchanged(const core::Address& agent,
                             const std::vector<std::uint64_t>& sent,
                             const peer::Result& result) {
  Line& line = lines_[agent];
  --line.open;
  if (!result) {
    Lose(agent,
         result.error().may_have_reached ? std::vector<std::uint64_t>{} : sent,
         "no answer");
    return;
  }
  if (result.value().status == peer::kStatusUnavailable) {
    Rest(agent, sent);
    return;
  }
  if (result.value().status != peer::kStatusOk) {
    Lose(agent, sent, "refused");
    return;
  }
  auto answers = DecodeAnswers(result.value().body);
  if (!answers) {
    telemetry::Log(telemetry::Level::kError,
                   "answers of another node are malformed",
                   {{"node", internal::Describe(agent)}});
    Lose(agent, {}, "malformed");
    return;
  }
  if (!line.pending.empty() || !line.queue.empty()) {
    ScheduleExchange(agent);
  }
  for (NumberedAnswer& entry : *answers) {
    auto pending = line.pending.extract(entry.number);
    if (pending.empty()) {
      continue;  // It was given up.
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

void HostRouter::Rest(const core::Address& agent,
                      const std::vector<std::uint64_t>& refused) {
  Line& line = lines_[agent];
  telemetry::Log(telemetry::Level::kInfo, "node leaves and takes no calls",
                 {{"node", internal::Describe(agent)},
                  {"calls", std::to_string(line.pending.size())}});
  std::vector<std::uint64_t> unsent = std::exchange(line.queue, {});
  unsent.insert(unsent.end(), refused.begin(), refused.end());
  line.rest_until = core::MonotonicNow() + internal::kAgentRest;
  chosen_.clear();
  for (const std::uint64_t number : unsent) {
    auto call = line.pending.extract(number);
    if (!call.empty()) {
      Call(std::move(call.mapped().call), std::move(call.mapped().done));
    }
  }
  if (!line.pending.empty()) {
    ScheduleExchange(agent);
  }
}

void HostRouter::Lose(const core::Address& agent,
                      const std::vector<std::uint64_t>& not_reached,
                      const char* reason) {
  Line& line = lines_[agent];
  telemetry::Log(telemetry::Level::kWarning, "node does not call hosts",
                 {{"node", internal::Describe(agent)},
                  {"reason", reason},
                  {"calls", std::to_string(line.pending.size())},
                  {"not_reached", std::to_string(not_reached.size())}});
  meters_.agent_failures->Increment();
  auto pending = std::exchange(line.pending, {});
  std::vector<std::uint64_t> unsent = std::exchange(line.queue, {});
  unsent.insert(unsent.end(), not_reached.begin(), not_reached.end());
  // This may run inside a callback of the client.
  asio::post(loop_, [client = std::exchange(line.client, nullptr)] {});
  line.open = 0;
  line.rest_until = core::MonotonicNow() + internal::kAgentRest;
  chosen_.clear();
  for (const std::uint64_t number : unsent) {
    auto call = pending.extract(number);
    if (!call.empty()) {
      Call(std::move(call.mapped().call), std::move(call.mapped().done));
    }
  }
  for (auto& [number, call] : pending) {
    asio::post(loop_, [done = std::move(call.done),
                       answer = NoAnswerTo(call.call)] { done(answer); });
  }
}

void HostRouter::ScheduleGiveUp() {
  give_up_timer_.expires_after(internal::kGiveUpPause);
  give_up_timer_.async_wait(
      [weak = weak_from_this()](const asio::error_code& error) {
        const auto self = weak.lock();
        if (self && !error && !self->closed_) {
          self->GiveUpLate();
          self->ScheduleGiveUp();
        }
      });
}

void HostRouter::GiveUpLate() {
  const core::MonotonicTime now = core::MonotonicNow();
  std::vector<Pending> late;
  for (auto& [agent, line] : lines_) {
    for (auto it = line.pending.begin(); it != line.pending.end();) {
      if (now >= it->second.give_up) {
        late.push_back(std::move(it->second));
        it = line.pending.erase(it);
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
