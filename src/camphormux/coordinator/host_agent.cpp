#include "camphormux/coordinator/host_agent.hpp"

#include <optional>
#include <string>
#include <utility>

#include "camphormux/coordinator/run_log.hpp"
#include "camphormux/telemetry/log.hpp"

namespace camphormux::coordinator {
namespace internal {

/// Time that an answer waits for others, so that they are sent together; short
/// compared with the store's response time.
constexpr core::Millis kAnswerBatchDelay{4};
/// The session of a holder that has not sent a request for this long is erased;
/// several times as long as the holder waits for an answer.
constexpr core::Millis kSessionTtl{10'000};

/// A start or stop that this node makes for a holder.
struct OrderedCall {
  std::string_view message;
  scheduler::RunName name;
  core::HostId host;
  core::Epoch token;
  core::MonotonicTime begun;
};

/// @return The call, or nothing if it changes no run.
std::optional<OrderedCall> OrderedCallOf(const HostCall& call,
                                         core::MonotonicTime now) {
  const HostTarget& target = TargetOf(call);
  if (const auto* start = std::get_if<StartCall>(&call)) {
    return OrderedCall{"start called for a holder", start->name, target.host,
                       target.token, now};
  }
  if (const auto* stop = std::get_if<StopCall>(&call)) {
    return OrderedCall{"stop called for a holder", stop->name, target.host,
                       target.token, now};
  }
  return std::nullopt;
}

void LogOutcome(const OrderedCall& call, const HostAnswer& answer) {
  const auto* start = std::get_if<StartAnswer>(&answer);
  const std::string_view outcome =
      start != nullptr ? Describe(start->outcome)
                       : Describe(std::get<CallOutcome>(answer));
  telemetry::Log(
      telemetry::LogRateClass::kFrequent, telemetry::Level::kInfo, call.message,
      {{"task", DescribeTask(call.name)},
       {"attempt", std::to_string(call.name.attempt)},
       {"host", call.host.value},
       {"token", std::to_string(call.token.value)},
       {"outcome", std::string(outcome)},
       {"milliseconds",
        std::to_string((core::MonotonicNow() - call.begun).count())}});
}

}  // namespace internal

HostAgent::HostAgent(asio::io_context& loop, HostPort port)
    : loop_(loop), port_(std::move(port)) {}

void HostAgent::Serve(const peer::Request& request, peer::Respond respond) {
  const auto batch = DecodeCalls(request.body);
  if (!batch) {
    telemetry::Log(telemetry::Level::kError,
                   "malformed batch of host calls from another node");
    respond({peer::kStatusBadRequest, ""});
    return;
  }
  if (leaving_ && !batch->calls.empty()) {
    respond({peer::kStatusUnavailable, ""});
    return;
  }
  const core::MonotonicTime now = core::MonotonicNow();
  EraseUnusedSessions(now);
  auto& session = sessions_[batch->holder];
  if (!session) {
    session = std::make_shared<Session>(loop_);
    telemetry::Log(telemetry::Level::kInfo, "calling hosts for a holder",
                   {{"holder", batch->holder},
                    {"token", std::to_string(batch->token.value)}});
  }
  if (session->open) {
    RespondNow(*session);
  }
  session->last_used = now;
  session->open = std::move(respond);
  session->respond_at = now + kMaxExchangeTime;
  RespondAt(session, session->answers.empty()
                         ? session->respond_at
                         : now + internal::kAnswerBatchDelay);
  for (const NumberedCall& entry : batch->calls) {
    MakeCall(port_, entry.call,
             [weak = weak_from_this(), session, number = entry.number,
              ordered =
                  internal::OrderedCallOf(entry.call, now)](HostAnswer answer) {
               if (ordered) {
                 internal::LogOutcome(*ordered, answer);
               }
               if (const auto self = weak.lock()) {
                 self->Add(session, {number, std::move(answer)});
               }
             });
  }
}

void HostAgent::Add(const std::shared_ptr<Session>& session,
                    NumberedAnswer answer) {
  const bool first = session->answers.empty();
  session->answers.push_back(std::move(answer));
  if (first && session->open) {
    RespondAt(session, core::MonotonicNow() + internal::kAnswerBatchDelay);
  }
}

void HostAgent::RespondAt(const std::shared_ptr<Session>& session,
                          core::MonotonicTime at) {
  session->timer.expires_at(at);
  session->timer.async_wait(
      [weak = std::weak_ptr(session)](const asio::error_code& error) {
        const auto waiting = weak.lock();
        if (waiting && !error && waiting->open) {
          RespondNow(*waiting);
        }
      });
}

void HostAgent::RespondNow(Session& session) {
  session.timer.cancel();
  const peer::Respond respond = std::exchange(session.open, nullptr);
  respond({peer::kStatusOk, EncodeAnswers(std::exchange(session.answers, {}))});
}

void HostAgent::EraseUnusedSessions(core::MonotonicTime now) {
  std::erase_if(sessions_, [&](const auto& entry) {
    return now >= entry.second->last_used + internal::kSessionTtl;
  });
}

}  // namespace camphormux::coordinator
