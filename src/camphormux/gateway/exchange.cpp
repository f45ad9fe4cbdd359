#include "camphormux/gateway/exchange.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include <nlohmann/json.hpp>

namespace camphormux::gateway {

std::string FormatError(const ErrorReply& reply,
                        const core::RequestId& request_id) {
  nlohmann::json error{{"code", reply.code}, {"message", reply.message}};
  if (!reply.field.empty()) {
    error["field"] = reply.field;
  }
  return nlohmann::json{{"error", error},
                        {"outcome", OutcomeName(reply.outcome)},
                        {"request_id", request_id.value}}
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

http::Headers OutcomeHeaders(Outcome outcome,
                             const core::RequestId& request_id) {
  http::Headers headers{
      {"Camphormux-Outcome", std::string(OutcomeName(outcome))},
      {"Camphormux-Request-Id", request_id.value}};
  if (outcome == Outcome::kNotRun) {
    headers.push_back({"Retry-After", "1"});
  }
  return headers;
}

HeadSummary SummarizeHead(const ResponseHead& head,
                          const core::RequestId& request_id) {
  HeadSummary summary;
  summary.status = head.status;
  summary.framed = head.framed;
  const std::string* echo =
      http::FindHeader(head.headers, "Camphormux-Request-Id");
  summary.echo_matches = echo != nullptr && *echo == request_id.value;
  const std::string* refused =
      http::FindHeader(head.headers, "Camphormux-Refused");
  if (refused != nullptr) {
    summary.refused = *refused;
  }
  return summary;
}

AttemptRequest ToAttemptRequest(const Exchange& exchange,
                                const core::Address& address,
                                core::MonotonicTime now) {
  AttemptRequest request;
  request.address = address;
  request.method = exchange.method;
  request.target = exchange.options.target;
  request.headers = exchange.headers;
  const CurrentAttempt& attempt = exchange.attempt;
  request.headers.push_back(
      {"Camphormux-Request-Id", exchange.request_id.value});
  request.headers.push_back(
      {"Camphormux-Service", exchange.options.service.value});
  request.headers.push_back(
      {"Camphormux-Generation", std::to_string(attempt.generation.value)});
  request.headers.push_back(
      {"traceparent", telemetry::FormatTraceparent(attempt.trace)});
  request.body = exchange.body;
  request.timeout = std::max(core::Millis(1), exchange.deadline - now);
  request.single_use_connection = !exchange.repeatable;
  return request;
}

std::int64_t UnixNanos() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace camphormux::gateway
