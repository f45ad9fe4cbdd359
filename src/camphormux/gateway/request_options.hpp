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

/// @brief What a caller asks for, from target and headers.
struct RequestOptions {
  core::ServiceName service;
  std::string target;  ///< Path and query below the service's name.
  core::Millis timeout{0};
  admission::Priority priority = admission::Priority::kNormal;
  std::optional<core::RequestKey> key;
  std::optional<telemetry::TraceContext> trace;
  std::string caller;  ///< For fair load shedding.
};

/// @brief A request that is refused before admission.
struct BadRequest {
  int status = 0;
  std::string code;
  std::string field;
  std::string message;
};

/// @brief Parses and checks a request.
/// @param request The request.
/// @param max_header Limit of the request's head in bytes.
/// @param max_body Limit of the request's body in bytes.
/// @return The options, or the first thing that is wrong.
[[nodiscard]] core::Result<RequestOptions, BadRequest> ParseRequestOptions(
    const CallerRequest& request, core::Bytes max_header, core::Bytes max_body);

/// @brief Tells whether a request must not run more than once. Escapes,
/// repeated slashes and dot segments do not hide a path from the declaration.
/// @param service The service.
/// @param method Method in upper case.
/// @param target Path and query below the service's name.
/// @return Whether the operator text declares it non-repeatable.
[[nodiscard]] bool MustRunOnce(const text::Service& service,
                               std::string_view method,
                               std::string_view target);

/// @brief Returns the headers that are passed on in either direction.
/// @param headers Headers of a message.
/// @return Those that are neither hop-by-hop nor the gateway's own.
[[nodiscard]] http::Headers EndToEndHeaders(const http::Headers& headers);

}  // namespace camphormux::gateway

#endif  // CAMPHORMUX_GATEWAY_REQUEST_OPTIONS_HPP_
