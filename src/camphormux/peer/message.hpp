#ifndef CAMPHORMUX_PEER_MESSAGE_HPP_
#define CAMPHORMUX_PEER_MESSAGE_HPP_

#include <cstddef>
#include <functional>
#include <string>

#include "camphormux/core/result.hpp"

namespace camphormux::peer {

/// Status of a response; the values are those of HTTP.
inline constexpr int kStatusOk = 200;
inline constexpr int kStatusBadRequest = 400;
inline constexpr int kStatusNotFound = 404;
inline constexpr int kStatusTooLarge = 413;
/// The request failed in an unknown way; it may have taken effect.
inline constexpr int kStatusInternalError = 500;
inline constexpr int kStatusUnavailable = 503;

/// Default bound of a request or response body.
inline constexpr std::size_t kDefaultMaxBodyBytes = std::size_t{4} << 20;

/// Bound of a path; longer ones are answered with `kStatusBadRequest`.
inline constexpr std::size_t kMaxPathBytes = 1024;

/// @brief A request between own processes.
struct Request {
  std::string path;  ///< Names the handler; begins with a slash.
  std::string body;  ///< CBOR made by the caller.
};

/// @brief A complete response.
struct Response {
  int status = kStatusOk;
  std::string body;
};

enum class Error {
  kConnect,     ///< No connection, or the client waits to reconnect.
  kOverloaded,  ///< Too many requests wait for the connection.
  kTimeout,
  kCut,       ///< The connection or the stream ended early.
  kRefused,   ///< The peer refused the stream before it looked at it.
  kTooLarge,  ///< The request or the response is above the bound.
};

/// @brief Whether a peer that answers with a status has not acted on the
/// request.
/// @param status The status of a complete response.
[[nodiscard]] constexpr bool IsRejection(int status) noexcept {
  return status == kStatusBadRequest || status == kStatusNotFound ||
         status == kStatusTooLarge || status == kStatusUnavailable;
}

/// @brief Why there is no response.
struct Failure {
  Error error = Error::kConnect;
  /// False only if the peer's handler cannot have seen the request.
  bool may_have_reached = false;
};

using Result = core::Result<Response, Failure>;

/// @brief Answers a request; to be called once, at once or later, on the
/// server's event loop. Without a call the client's timeout ends the request.
using Respond = std::function<void(Response response)>;

using Handler = std::function<void(Request request, Respond respond)>;

}  // namespace camphormux::peer

#endif  // CAMPHORMUX_PEER_MESSAGE_HPP_
