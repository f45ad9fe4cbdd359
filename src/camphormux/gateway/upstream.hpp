#ifndef CAMPHORMUX_GATEWAY_UPSTREAM_HPP_
#define CAMPHORMUX_GATEWAY_UPSTREAM_HPP_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <asio/io_context.hpp>

#include "camphormux/core/time.hpp"
#include "camphormux/core/units.hpp"
#include "camphormux/http/message.hpp"

namespace camphormux::gateway {

/// @brief A request to one endpoint.
struct AttemptRequest {
  core::Address address;
  std::string method;
  std::string target;  ///< Path and query.
  http::Headers headers;
  std::shared_ptr<const std::string> body;
  core::Millis timeout{0};
  /// The attempt ends with kTimeout if no response head arrives within this
  /// time; 0: no limit.
  core::Millis head_timeout{0};
  /// Whether to use a new connection and close it afterwards. On a reused
  /// connection that is closed before the first byte of the response, libcurl
  /// sends the request again.
  bool single_use_connection = true;
};

/// @brief Status and headers of an endpoint's response.
struct ResponseHead {
  int status = 0;
  http::Headers headers;
  std::optional<std::uint64_t> content_length;
  /// Whether the end of the body is known, by a length, by chunks or because
  /// there is no body; otherwise a truncated response could not be
  /// distinguished from a complete one.
  bool framed = false;
  bool closes_connection = false;
};

/// @brief Why an attempt has no complete response.
enum class AttemptError {
  kConnect,
  kTimeout,
  /// The connection was closed early or the response is malformed.
  kBrokenResponse,
  kStopped,  ///< The observer returned kStop.
};

/// @brief How an attempt ended.
struct AttemptEnd {
  std::optional<AttemptError> error;  ///< Not set if the response is complete.
  /// False only if no byte of the request was handed to the network.
  bool may_have_started = false;
};

/// @brief What to do with the transfer after a part of the response.
enum class BodyAction {
  kContinue,
  kPause,  ///< The part was not consumed; it is delivered again after `Resume`.
  kStop,
};

/// @brief Receives a response. `on_head` and `on_body` must not call Upstream.
struct AttemptObserver {
  std::function<BodyAction(ResponseHead head)>
      on_head;  ///< Returns kContinue or kStop.
  std::function<BodyAction(std::string_view part)> on_body;
  /// Called exactly once, as the last callback.
  std::function<void(AttemptEnd end)> on_end;
};

/// @brief Streaming HTTP client of one traffic thread, based on libcurl.
class Upstream {
 public:
  using AttemptId = std::uint64_t;

  /// @param loop Event loop; outlives the client.
  /// @param connections_per_endpoint Limit of connections to each endpoint,
  /// including idle ones.
  /// @param source_ip Source address of connections; empty: the system chooses.
  Upstream(asio::io_context& loop, int connections_per_endpoint,
           std::string source_ip = "");
  /// Cancels running attempts without calling their observers.
  ~Upstream();
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  /// @brief Starts an attempt. Its observer is never called inside `Start`.
  /// @param request The request.
  /// @param observer Receives the response.
  /// @return Id of the attempt, valid until its end.
  AttemptId Start(AttemptRequest request, AttemptObserver observer);

  /// @brief Resumes an attempt whose observer returned kPause.
  /// @param attempt Id of the attempt; unknown ids are ignored.
  void Resume(AttemptId attempt);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace camphormux::gateway

#endif  // CAMPHORMUX_GATEWAY_UPSTREAM_HPP_
