#ifndef CAMPHORMUX_GATEWAY_CALLER_SERVER_HPP_
#define CAMPHORMUX_GATEWAY_CALLER_SERVER_HPP_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <asio/io_context.hpp>

#include "camphormux/core/time.hpp"
#include "camphormux/core/units.hpp"
#include "camphormux/http/message.hpp"

namespace camphormux::gateway {

/// @brief A caller's request with its whole body.
struct CallerRequest {
  std::string method;
  std::string target;  ///< As received: path and query.
  http::Headers headers;
  std::string body;
  std::string remote_ip;
};

/// @brief The way back to a caller. Use it on the server's event loop only.
/// Either `Send`, or `Begin`, any number of `Write` and one `End`.
class CallerResponse {
 public:
  virtual ~CallerResponse() = default;

  /// @brief Sends a whole response.
  /// @param status HTTP status.
  /// @param headers Headers without those that frame the message.
  /// @param body The body.
  virtual void Send(int status, http::Headers headers, std::string body) = 0;

  /// @brief Starts a streamed response. Its connection ends with it.
  /// @param status HTTP status.
  /// @param headers Headers without those that frame the message.
  /// @param length Length of the body; without one it is sent in chunks.
  virtual void Begin(int status, http::Headers headers,
                     std::optional<std::uint64_t> length) = 0;

  /// @brief Sends a part of the body.
  /// @param part The bytes.
  /// @param written Called when the part was handed to the network; with false
  /// when the caller's connection is gone.
  virtual void Write(std::string part,
                     std::function<void(bool ok)> written) = 0;

  /// @brief Ends a streamed response.
  /// @param whole If false, the connection is closed so that the caller sees
  /// that the body is truncated.
  virtual void End(bool complete) = 0;

  /// @brief Makes this response the last one of its connection.
  virtual void CloseAfter() = 0;
};

using CallerHandler =
    std::function<void(CallerRequest, std::shared_ptr<CallerResponse>)>;

/// @brief Limits of a callers' server; requests above the body limit are closed
/// without an answer, so it is above the limit that is answered with 413.
struct CallerServerOptions {
  core::Bytes max_body;
  core::Bytes max_header;
  core::Millis idle_timeout = std::chrono::seconds(60);
  core::Millis handle_timeout = std::chrono::minutes(15);
  core::Millis write_timeout = std::chrono::seconds(30);
};

/// @brief RESTinio server for callers on a port that several threads share. It
/// holds the address from the start but refuses connections until it is opened,
/// so that callers of a process without a state try another one.
class CallerServer {
 public:
  /// @param loop Event loop of one thread; outlives the server.
  /// @param address Where to listen.
  /// @param handler Handles each request.
  /// @param options Limits.
  /// @throws std::exception if the address cannot be bound.
  CallerServer(asio::io_context& loop, const core::Address& address,
               CallerHandler handler, const CallerServerOptions& options);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  /// @brief Starts to accept connections. No effect when it already does or was
  /// stopped.
  void Open();

  /// @brief Stops accepting connections; open ones go on.
  void StopAccepting();

  /// @return Responses that were ended but are not handed to the network yet.
  /// Thread-safe.
  [[nodiscard]] int unwritten_responses() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
  std::shared_ptr<std::atomic<int>> unwritten_;
};

}  // namespace camphormux::gateway

#endif  // CAMPHORMUX_GATEWAY_CALLER_SERVER_HPP_
