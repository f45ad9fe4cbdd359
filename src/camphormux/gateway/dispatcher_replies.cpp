#include <utility>

#include "camphormux/gateway/dispatcher.hpp"
#include "camphormux/telemetry/log.hpp"

namespace camphormux::gateway {

void Dispatcher::SendResponse(Exchange& exchange) {
  CurrentAttempt& attempt = exchange.attempt;
  const bool head_with_length =
      exchange.method == "HEAD" && attempt.head.content_length;
  if (head_with_length) {
    BeginStream(exchange);
    EndStream(exchange, true);
    return;
  }
  http::Headers headers = EndToEndHeaders(attempt.head.headers);
  if (exchange.key_claimed) {
    keys_.store(*exchange.options.key,
                {attempt.head.status, headers, attempt.body});
    exchange.key_claimed = false;
  }
  for (http::Header& header :
       OutcomeHeaders(Outcome::kAnswered, exchange.request_id)) {
    headers.push_back(std::move(header));
  }
  if (close_connections_) {
    exchange.response->CloseAfter();
  }
  exchange.response->Send(attempt.head.status, std::move(headers),
                          std::move(attempt.body));
  Finish(exchange, Outcome::kAnswered);
}

void Dispatcher::SendStored(Exchange& exchange, StoredResponse answer) {
  http::Headers headers = std::move(answer.headers);
  for (http::Header& header :
       OutcomeHeaders(Outcome::kAnswered, exchange.request_id)) {
    headers.push_back(std::move(header));
  }
  exchange.response->Send(answer.status, std::move(headers),
                          std::move(answer.body));
  Finish(exchange, Outcome::kAnswered);
}

void Dispatcher::EndStream(Exchange& exchange, bool complete) {
  if (!complete) {
    exchange.metrics->truncated->Increment();
  }
  exchange.response->End(complete);
  Finish(exchange, complete ? Outcome::kAnswered : Outcome::kUnknown);
}

void Dispatcher::Fail(Exchange& exchange, const ErrorReply& reply) {
  if (reply.outcome == Outcome::kNotRun && exchange.key_claimed) {
    keys_.release(*exchange.options.key);
    exchange.key_claimed = false;
  }
  http::Headers headers = OutcomeHeaders(reply.outcome, exchange.request_id);
  if (reply.outcome != Outcome::kNotRun && reply.status == 503) {
    headers.push_back({"Retry-After", "1"});
  }
  headers.push_back({"Content-Type", "application/json"});
  if (close_connections_) {
    exchange.response->CloseAfter();
  }
  exchange.response->Send(reply.status, std::move(headers),
                          FormatError(reply, exchange.request_id));
  const auto level = reply.outcome == Outcome::kUnknown
                         ? telemetry::Level::kWarning
                         : telemetry::Level::kDebug;
  telemetry::Log(level, "request ended without an answer",
                 {{"request_id", exchange.request_id.value},
                  {"trace_id", exchange.trace.trace_id},
                  {"service", exchange.options.service.value},
                  {"outcome", std::string(OutcomeName(reply.outcome))},
                  {"code", reply.code}});
  Finish(exchange, reply.outcome);
}

void Dispatcher::Finish(Exchange& exchange, Outcome outcome) {
  exchange.finished = true;
  if (exchange.key_claimed) {
    // Lets other requests with the same key end with `unknown` at once instead
    // of waiting for a response.
    keys_.mark_lost(*exchange.options.key);
    exchange.key_claimed = false;
  }
  if (exchange.metrics != nullptr) {
    ServiceMetrics& metrics = *exchange.metrics;
    prometheus::Counter* counter =
        outcome == Outcome::kAnswered ? metrics.answered
        : outcome == Outcome::kNotRun ? metrics.not_run
                                      : metrics.unknown;
    counter->Increment();
    metrics.latency->Observe(
        std::chrono::duration<double>(core::MonotonicNow() - exchange.arrival)
            .count());
  }
  const std::string parent =
      exchange.options.trace ? exchange.options.trace->span_id : "";
  ExportSpan(exchange, {exchange.trace,
                        parent,
                        "accept",
                        exchange.arrival_unix_nanos,
                        UnixNanos(),
                        {{"request_id", exchange.request_id.value},
                         {"service", exchange.options.service.value},
                         {"outcome", std::string(OutcomeName(outcome))}}});
  --open_requests_;
  exchanges_.erase(exchange.id);
}

void Dispatcher::ExportSpan(const Exchange& exchange, telemetry::Span span) {
  if (exchange.trace.sampled) {
    spans_.Export(std::move(span));
  }
}

}  // namespace camphormux::gateway
