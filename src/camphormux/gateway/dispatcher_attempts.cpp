#include <cmath>
#include <utility>

#include <asio/post.hpp>

#include "camphormux/gateway/dispatcher.hpp"
#include "camphormux/telemetry/log.hpp"

namespace camphormux::gateway {
namespace internal {

/// Responses up to this size are forwarded only when complete; larger ones are
/// streamed.
constexpr std::size_t kMaxBufferedResponseBytes = std::size_t{64} << 10;
/// Limit of the bytes of a streamed response that are buffered for a slow
/// caller.
constexpr std::size_t kMaxUnwrittenBytes = std::size_t{256} << 10;

double Seconds(core::Millis duration) {
  return std::chrono::duration<double>(duration).count();
}

ErrorReply LostReply(const AttemptEnd& end) {
  if (end.error == AttemptError::kTimeout) {
    return {504, Outcome::kUnknown, "answer_timeout",
            "the request may have run; no answer came in time", ""};
  }
  return {502, Outcome::kUnknown, "answer_lost",
          "the request may have run; its answer was lost", ""};
}

ErrorReply NotRunReply(AttemptResult result) {
  if (result == AttemptResult::kRefused) {
    return {503, Outcome::kNotRun, "endpoints_busy",
            "the endpoints refused the request", ""};
  }
  return {503, Outcome::kNotRun, "endpoints_unreachable",
          "no endpoint could be reached", ""};
}

}  // namespace internal

void Dispatcher::StartAttempt(const ExchangePtr& exchange, ServiceState& state,
                              const routing::Endpoint& endpoint) {
  const core::MonotonicTime now = core::MonotonicNow();
  state.metrics->queued->Decrement();
  state.metrics->running->Increment();
  state.metrics->attempts->Increment();
  state.metrics->queue_wait->Observe(
      internal::Seconds(now - exchange->queued_since));
  ExportSpan(*exchange, {telemetry::ChildOf(exchange->trace, random_),
                         exchange->trace.span_id,
                         "queue wait",
                         exchange->queued_unix_nanos,
                         UnixNanos(),
                         {}});
  exchange->waiting = false;
  ++exchange->attempts;
  exchange->attempt = CurrentAttempt{};
  exchange->attempt.host = endpoint.host;
  exchange->attempt.generation = endpoint.generation;
  exchange->attempt.start = now;
  exchange->attempt.start_unix_nanos = UnixNanos();
  exchange->attempt.trace = telemetry::ChildOf(exchange->trace, random_);
  routing::OnStart(health_, endpoint.host);
  AttemptObserver observer;
  observer.on_head = [this, exchange](ResponseHead head) {
    return OnHead(*exchange, std::move(head));
  };
  observer.on_body = [this, exchange](std::string_view part) {
    return OnBody(exchange, part);
  };
  observer.on_end = [this, exchange](const AttemptEnd& end) {
    OnEnd(exchange, end);
  };
  AttemptRequest request = ToAttemptRequest(*exchange, endpoint.address, now);
  request.head_timeout =
      HeadTimeout(CanRetryElsewhere(*exchange, state), exchange->deadline - now,
                  core::Millis(static_cast<core::Millis::rep>(
                      std::llround(state.queue.rate.recent.quantile_ms))));
  exchange->attempt.head_timeout = request.head_timeout;
  exchange->attempt.id =
      upstream_.Start(std::move(request), std::move(observer));
}

bool Dispatcher::CanRetryElsewhere(const Exchange& exchange,
                                   const ServiceState& state) const {
  const routing::ServiceRoutes* routes = RoutesOf(exchange.options.service);
  return exchange.repeatable && exchange.attempts < kMaxAttempts &&
         state.retries.balance >= 1.0 && routes != nullptr &&
         routes->endpoints.size() > 1;
}

BodyAction Dispatcher::OnHead(Exchange& exchange, ResponseHead head) {
  CurrentAttempt& attempt = exchange.attempt;
  attempt.first_byte = core::MonotonicNow();
  attempt.head_summary = SummarizeHead(head, exchange.request_id);
  attempt.head = std::move(head);
  return ClassifyHead(*attempt.head_summary) == AttemptResult::kLost
             ? BodyAction::kStop
             : BodyAction::kContinue;
}

BodyAction Dispatcher::OnBody(const ExchangePtr& exchange,
                              std::string_view part) {
  CurrentAttempt& attempt = exchange->attempt;
  ResponseStream& stream = exchange->stream;
  if (exchange->finished || stream.caller_disconnected) {
    return BodyAction::kStop;
  }
  if (!attempt.head_summary ||
      ClassifyHead(*attempt.head_summary) != AttemptResult::kAnswered) {
    return BodyAction::kContinue;  // The body of a refusal is ignored.
  }
  if (!stream.started) {
    attempt.body.append(part);
    if (attempt.body.size() > internal::kMaxBufferedResponseBytes) {
      BeginStream(*exchange);
      WriteStream(exchange, std::exchange(attempt.body, {}));
    }
    return BodyAction::kContinue;
  }
  if (stream.unwritten_bytes >= internal::kMaxUnwrittenBytes) {
    stream.paused = true;
    return BodyAction::kPause;
  }
  WriteStream(exchange, std::string(part));
  return stream.caller_disconnected ? BodyAction::kStop : BodyAction::kContinue;
}

void Dispatcher::BeginStream(Exchange& exchange) {
  exchange.stream.started = true;
  const ResponseHead& head = exchange.attempt.head;
  http::Headers headers = EndToEndHeaders(head.headers);
  for (http::Header& header :
       OutcomeHeaders(Outcome::kAnswered, exchange.request_id)) {
    headers.push_back(std::move(header));
  }
  exchange.response->Begin(head.status, std::move(headers),
                           head.content_length);
}

void Dispatcher::WriteStream(const ExchangePtr& exchange, std::string part) {
  const std::size_t bytes = part.size();
  exchange->stream.unwritten_bytes += bytes;
  exchange->response->Write(
      std::move(part), [weak = weak_from_this(), exchange, bytes](bool ok) {
        if (const auto self = weak.lock()) {
          self->OnWritten(exchange, bytes, ok);
        }
      });
}

void Dispatcher::OnWritten(const ExchangePtr& exchange, std::size_t bytes,
                           bool ok) {
  ResponseStream& stream = exchange->stream;
  stream.unwritten_bytes -= bytes;
  stream.caller_disconnected = stream.caller_disconnected || !ok;
  const bool resume = stream.paused && (stream.caller_disconnected ||
                                        stream.unwritten_bytes <=
                                            internal::kMaxUnwrittenBytes / 2);
  if (!resume) {
    return;
  }
  stream.paused = false;
  // Posted because a failed write may be reported inside `Write`, within a
  // libcurl callback, where libcurl must not be called.
  asio::post(loop_, [weak = weak_from_this(), id = exchange->attempt.id] {
    if (const auto self = weak.lock()) {
      self->upstream_.Resume(id);
    }
  });
}

void Dispatcher::OnEnd(const ExchangePtr& exchange, const AttemptEnd& end) {
  const AttemptResult result =
      ClassifyAttempt(exchange->attempt.head_summary, end);
  ReportAttempt(*exchange, end, result);
  exchange->attempt.id = 0;
  if (exchange->finished) {
    // EndOpenRequests already sent the response during shutdown.
  } else if (exchange->stream.started) {
    EndStream(*exchange, result == AttemptResult::kAnswered);
  } else if (result == AttemptResult::kAnswered) {
    SendResponse(*exchange);
  } else {
    RetryOrFail(exchange, end, result);
  }
  StartQueued(exchange->options.service);
}

void Dispatcher::ReportAttempt(Exchange& exchange, const AttemptEnd& end,
                               AttemptResult result) {
  const CurrentAttempt& attempt = exchange.attempt;
  const core::MonotonicTime now = core::MonotonicNow();
  exchange.metrics->running->Decrement();
  ServiceState& state = services_[exchange.options.service];
  if (result == AttemptResult::kAnswered) {
    admission::ObserveRun(state.queue.rate, now - attempt.start, now);
  } else if (result == AttemptResult::kRefused) {
    exchange.metrics->refused->Increment();
  } else if (result == AttemptResult::kLost) {
    exchange.metrics->dropped->Increment();
    // An attempt that was ended by its head timeout says nothing about the run
    // time of the service.
    const bool head_timed_out =
        attempt.head_timeout > core::Millis(0) && !attempt.first_byte;
    if (end.error == AttemptError::kTimeout && !head_timed_out) {
      admission::ObserveTimedOutRun(state.queue.rate, now - attempt.start);
    }
  }
  if (result == AttemptResult::kAnswered || result == AttemptResult::kLost) {
    admission::ObserveCompletion(state.queue.rate, now);
  }
  routing::AttemptReport report;
  report.host = attempt.host;
  report.generation = attempt.generation;
  report.outcome = exchange.stream.caller_disconnected
                       ? routing::AttemptOutcome::kCancelled
                       : ToRouting(attempt.head_summary, result);
  report.latency = attempt.first_byte.value_or(now) - attempt.start;
  report.connection_closed = attempt.head.closes_connection;
  static const routing::ServiceRoutes no_routes;
  const routing::ServiceRoutes* routes = RoutesOf(exchange.options.service);
  routing::OnFinish(health_, report, routes == nullptr ? no_routes : *routes,
                    options_.routing, now, random_);
  ExportSpan(exchange, {attempt.trace,
                        exchange.trace.span_id,
                        "attempt",
                        attempt.start_unix_nanos,
                        UnixNanos(),
                        {{"host", attempt.host.value},
                         {"whole", end.error ? "false" : "true"}}});
}

void Dispatcher::RetryOrFail(const ExchangePtr& exchange, const AttemptEnd& end,
                             AttemptResult result) {
  exchange->may_have_run =
      exchange->may_have_run || result == AttemptResult::kLost;
  exchange->previous_host = exchange->attempt.host;
  const core::Millis pause =
      admission::BackOff(options_.retry_delay, exchange->attempts, random_);
  const RetryContext context{exchange->repeatable, exchange->may_have_run,
                             exchange->attempts, core::MonotonicNow() + pause,
                             exchange->deadline};
  const routing::ServiceRoutes* routes = RoutesOf(exchange->options.service);
  const bool has_other_endpoint =
      routes != nullptr && routes->endpoints.size() > 1;
  ServiceState& state = services_[exchange->options.service];
  if (has_other_endpoint && MayRetry(context, result) &&
      admission::Spend(state.retries)) {
    exchange->metrics->retries->Increment();
    ScheduleRetry(exchange, pause);
    return;
  }
  Fail(*exchange, exchange->may_have_run ? internal::LostReply(end)
                                         : internal::NotRunReply(result));
}

void Dispatcher::ScheduleRetry(const ExchangePtr& exchange,
                               core::Millis pause) {
  const auto timer = std::make_shared<asio::steady_timer>(loop_, pause);
  timer->async_wait([weak = weak_from_this(), exchange,
                     timer](const asio::error_code& error) {
    const auto self = weak.lock();
    if (!error && self) {
      self->Requeue(exchange);
    }
  });
}

}  // namespace camphormux::gateway
