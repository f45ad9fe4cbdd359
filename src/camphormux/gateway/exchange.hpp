#ifndef CAMPHORMUX_GATEWAY_EXCHANGE_HPP_
#define CAMPHORMUX_GATEWAY_EXCHANGE_HPP_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "camphormux/admission/service_queue.hpp"
#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/gateway/caller_server.hpp"
#include "camphormux/gateway/exchange_rules.hpp"
#include "camphormux/gateway/request_options.hpp"
#include "camphormux/gateway/service_metrics.hpp"
#include "camphormux/gateway/upstream.hpp"
#include "camphormux/telemetry/trace.hpp"

namespace camphormux::gateway {

/// @brief An error response; `code` is stable.
struct ErrorReply {
  int status = 0;
  Outcome outcome = Outcome::kNotRun;
  std::string code;
  std::string message;
  std::string field;  ///< Part of the request that is wrong, if any.
};

/// @brief The attempt in flight.
struct CurrentAttempt {
  Upstream::AttemptId id = 0;
  core::HostId host;
  core::Generation generation;
  core::MonotonicTime start;
  std::int64_t start_unix_nanos = 0;
  core::Millis head_timeout{0};  ///< 0: the deadline alone bounds it.
  std::optional<core::MonotonicTime> first_byte;
  telemetry::TraceContext trace;
  std::optional<HeadSummary> head_summary;
  ResponseHead head;
  std::string body;  ///< Collected until the answer is whole or streamed.
};

/// @brief A streamed response.
struct ResponseStream {
  bool started = false;
  bool paused = false;
  bool caller_disconnected = false;
  std::size_t unwritten_bytes = 0;
};

/// @brief One caller's request on its way.
struct Exchange {
  std::uint64_t id = 0;
  core::RequestId request_id;
  RequestOptions options;
  std::string method;
  http::Headers headers;  ///< Those that are passed on.
  std::shared_ptr<const std::string> body;
  std::shared_ptr<CallerResponse> response;
  ServiceMetrics* metrics = nullptr;  ///< None for unknown services.
  core::MonotonicTime arrival;
  core::MonotonicTime queued_since;
  core::MonotonicTime deadline;
  std::int64_t arrival_unix_nanos = 0;
  std::int64_t queued_unix_nanos = 0;
  telemetry::TraceContext trace;
  bool repeatable = false;
  bool key_claimed = false;
  bool waiting = false;  ///< In the service's queue.
  bool may_have_run = false;
  int attempts = 0;
  std::optional<core::HostId> previous_host;
  CurrentAttempt attempt;
  ResponseStream stream;
  bool finished = false;
};

/// @brief Formats the body of an error response.
/// @param reply The error.
/// @param request_id Identifier of the request.
/// @return JSON.
[[nodiscard]] std::string FormatError(const ErrorReply& reply,
                                      const core::RequestId& request_id);

/// @brief Returns the headers that every response carries.
/// @param outcome The outcome.
/// @param request_id Identifier of the request.
/// @return `Camphormux-Outcome` and `Camphormux-Request-Id`, for `not-run` also
/// `Retry-After`.
[[nodiscard]] http::Headers OutcomeHeaders(Outcome outcome,
                                           const core::RequestId& request_id);

/// @brief Extracts what the verdict depends on.
/// @param head The head of an answer.
/// @param request_id Identifier that the endpoint must echo.
/// @return The facts.
[[nodiscard]] HeadSummary SummarizeHead(const ResponseHead& head,
                                        const core::RequestId& request_id);

/// @brief Builds the request for an endpoint.
/// @param exchange The exchange; its attempt has generation and trace.
/// @param address Address of the endpoint.
/// @param now The time; bounds the timeout.
/// @return The request.
[[nodiscard]] AttemptRequest ToAttemptRequest(const Exchange& exchange,
                                              const core::Address& address,
                                              core::MonotonicTime now);

/// @brief Reads the wall clock for spans.
/// @return Nanoseconds since 1970.
[[nodiscard]] std::int64_t UnixNanos();

}  // namespace camphormux::gateway

#endif  // CAMPHORMUX_GATEWAY_EXCHANGE_HPP_
