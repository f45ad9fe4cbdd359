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

/// @brief One try to get an answer from one endpoint.
struct AttemptRequest {
  core::Address address;
  std::string method;
  std::string target;  ///< Path and query.
  http::Headers headers;
  std::shared_ptr<const std::string> body;
  core::Millis timeout{0};
  /// The attempt ends as timed out if no head came until then; 0: no bound.
  core::Millis head_timeout{0};
  /// Uses a new connection and does not keep it. libcurl resends on a reused
  /// connection that was closed before the first byte of the answer.
  bool single_use_connection = true;
};

/// @brief Head of an answer.
struct ResponseHead {
  int status = 0;
  http::Headers headers;
  std::optional<std::uint64_t> content_length;
  /// The end of the body is marked by a length or chunks; otherwise a truncated
  /// answer could not be told from a whole one.
  bool framed = false;
  bool closes_connection = false;
};

/// @brief Why an attempt has no whole answer.
enum class AttemptError {
  kConnect,
  kTimeout,
  kBrokenResponse,  ///< The connection ended or the answer is malformed.
  kStopped,         ///< An observer ended it.
};

/// @brief How an attempt ended.
struct AttemptEnd {
  std::optional<AttemptError> error;  ///< None: the answer is whole.
  /// False only if no byte of the request was handed to the network.
  bool may_have_started = false;
};

/// @brief What to do with the transfer after a part of the body.
enum class BodyAction {
  kContinue,
  kPause,  ///< The part was not taken; it comes again after `Resume`.
  kStop,
};

/// @brief Receives an answer. `on_head` and `on_body` must not call Upstream.
struct AttemptObserver {
  std::function<BodyAction(ResponseHead head)>
      on_head;  ///< kContinue or kStop.
  std::function<BodyAction(std::string_view part)> on_body;
  std::function<void(AttemptEnd end)> on_end;  ///< Called once, last.
};

/// @brief Streaming libcurl client of one traffic thread.
class Upstream {
 public:
  using AttemptId = std::uint64_t;

  /// @param loop Event loop; outlives the client.
  /// @param connections_per_endpoint Highest number of connections, idle ones
  /// included, to each endpoint.
  /// @param source_ip Address of this host that connections come from; empty:
  /// the system chooses.
  Upstream(asio::io_context& loop, int connections_per_endpoint,
           std::string source_ip = "");
  /// Drops attempts in flight without calling their observers.
  ~Upstream();
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  /// @brief Starts an attempt. Its observer is never called inside `Start`.
  /// @param request The request.
  /// @param observer Receives the answer.
  /// @return Identifies the attempt until its end.
  AttemptId Start(AttemptRequest request, AttemptObserver observer);

  /// @brief Continues an attempt whose body was paused.
  /// @param attempt The attempt; unknown ones are ignored.
  void Resume(AttemptId attempt);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace camphormux::gateway

#endif  // CAMPHORMUX_GATEWAY_UPSTREAM_HPP_
