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

/// @brief An error response. Callers may rely on `code`.
struct ErrorReply {
  int status = 0;
  Outcome outcome = Outcome::kNotRun;
  std::string code;
  std::string message;
  std::string field;  ///< Invalid part of the request; empty if not applicable.
};

/// @brief The current attempt of an exchange.
struct CurrentAttempt {
  Upstream::AttemptId id = 0;
  core::HostId host;
  core::Generation generation;
  core::MonotonicTime start;
  std::int64_t start_unix_nanos = 0;
  core::Millis head_timeout{0};  ///< 0: limited by the request's deadline only.
  std::optional<core::MonotonicTime> first_byte;
  telemetry::TraceContext trace;
  std::optional<HeadSummary> head_summary;
  ResponseHead head;
  /// Buffered until the response is complete or is streamed.
  std::string body;
};

/// @brief State of a streamed response.
struct ResponseStream {
  bool started = false;
  bool paused = false;
  bool caller_disconnected = false;
  std::size_t unwritten_bytes = 0;
};

/// @brief A caller's request and the state of its handling.
struct Exchange {
  std::uint64_t id = 0;
  core::RequestId request_id;
  RequestOptions options;
  std::string method;
  http::Headers headers;  ///< Headers to forward.
  std::shared_ptr<const std::string> body;
  std::shared_ptr<CallerResponse> response;
  ServiceMetrics* metrics = nullptr;  ///< Null for unknown services.
  core::MonotonicTime arrival;
  core::MonotonicTime queued_since;
  core::MonotonicTime deadline;
  std::int64_t arrival_unix_nanos = 0;
  std::int64_t queued_unix_nanos = 0;
  telemetry::TraceContext trace;
  bool repeatable = false;    ///< Whether it may run more than once.
  bool key_claimed = false;   ///< Whether it holds a claim of its key.
  bool waiting = false;       ///< Whether it is in the service's queue.
  bool may_have_run = false;  ///< Whether any attempt so far was lost.
  int attempts = 0;
  std::optional<core::HostId> previous_host;  ///< Of the last attempt.
  CurrentAttempt attempt;
  ResponseStream stream;
  bool finished = false;
};

/// @brief Formats the JSON body of an error response.
/// @param reply The error.
/// @param request_id Identifier of the request.
/// @return The JSON text.
[[nodiscard]] std::string FormatError(const ErrorReply& reply,
                                      const core::RequestId& request_id);

/// @brief Returns the headers that the gateway adds to every response.
/// @param outcome The outcome.
/// @param request_id Identifier of the request.
/// @return `Camphormux-Outcome` and `Camphormux-Request-Id`, for `not-run` also
/// `Retry-After`.
[[nodiscard]] http::Headers OutcomeHeaders(Outcome outcome,
                                           const core::RequestId& request_id);

/// @brief Extracts the fields of a response head that decide the attempt
/// result.
/// @param head Head of an endpoint's response.
/// @param request_id Identifier that the endpoint must echo.
/// @return The extracted fields.
[[nodiscard]] HeadSummary SummarizeHead(const ResponseHead& head,
                                        const core::RequestId& request_id);

/// @brief Builds the request that is sent to an endpoint.
/// @param exchange The exchange; generation and trace of its current attempt
/// must be set.
/// @param address Address of the endpoint.
/// @param now Current time; the timeout is the time from now to the deadline,
/// at least 1 ms.
/// @return The request.
[[nodiscard]] AttemptRequest ToAttemptRequest(const Exchange& exchange,
                                              const core::Address& address,
                                              core::MonotonicTime now);

/// @brief Returns the wall-clock time for trace spans.
/// @return Nanoseconds since the Unix epoch.
[[nodiscard]] std::int64_t UnixNanos();

}  // namespace camphormux::gateway

#endif  // CAMPHORMUX_GATEWAY_EXCHANGE_HPP_
