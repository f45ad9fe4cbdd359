#ifndef CAMPHORMUX_GATEWAY_REQUEST_OPTIONS_HPP_
#define CAMPHORMUX_GATEWAY_REQUEST_OPTIONS_HPP_

#include <optional>
#include <string>
#include <string_view>

#include "camphormux/admission/service_queue.hpp"
#include "camphormux/core/ids.hpp"
#include "camphormux/core/result.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/gateway/caller_server.hpp"
#include "camphormux/telemetry/trace.hpp"
#include "camphormux/text/operator_text.hpp"

namespace camphormux::gateway {

/// @brief Options of a request, read from its target and headers.
struct RequestOptions {
  core::ServiceName service;
  std::string target;  ///< Path and query after the service name.
  core::Millis timeout{0};
  admission::Priority priority = admission::Priority::kNormal;
  std::optional<core::RequestKey> key;
  std::optional<telemetry::TraceContext> trace;
  /// Client account for fair load shedding; the remote address by default.
  std::string caller;
};

/// @brief Error of a request that is rejected before admission.
struct BadRequest {
  int status = 0;
  std::string code;
  std::string field;
  std::string message;
};

/// @brief Parses and validates the options of a request.
/// @param request The request.
/// @param max_header Limit of the request's head in bytes.
/// @param max_body Limit of the request's body in bytes.
/// @return The options, or the first error.
[[nodiscard]] core::Result<RequestOptions, BadRequest> ParseRequestOptions(
    const CallerRequest& request, core::Bytes max_header, core::Bytes max_body);

/// @brief Returns whether a request must not run more than once. The path is
/// compared as received and with percent escapes, repeated slashes and dot
/// segments resolved.
/// @param service The service.
/// @param method Method in upper case.
/// @param target Path and query after the service name.
/// @return Whether the operator text declares the request non-repeatable.
[[nodiscard]] bool MustRunOnce(const text::Service& service,
                               std::string_view method,
                               std::string_view target);

/// @brief Returns the headers that are forwarded, for requests and for
/// responses.
/// @param headers Headers of a message.
/// @return The headers that are neither hop-by-hop nor set by the gateway
/// itself.
[[nodiscard]] http::Headers EndToEndHeaders(const http::Headers& headers);

}  // namespace camphormux::gateway

#endif  // CAMPHORMUX_GATEWAY_REQUEST_OPTIONS_HPP_
