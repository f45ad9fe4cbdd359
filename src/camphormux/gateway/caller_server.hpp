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

/// @brief A caller's request with its complete body.
struct CallerRequest {
  std::string method;
  std::string target;  ///< Path and query as received.
  http::Headers headers;
  std::string body;
  std::string remote_ip;
};

/// @brief Sends the response to a caller. Use it on the server's event loop
/// only. Call either `Send`, or `Begin`, then `Write` any number of times and
/// `End` once.
class CallerResponse {
 public:
  virtual ~CallerResponse() = default;

  /// @brief Sends a complete response.
  /// @param status HTTP status.
  /// @param headers Headers except those that frame the message.
  /// @param body The body.
  virtual void Send(int status, http::Headers headers, std::string body) = 0;

  /// @brief Starts a streamed response. The connection is closed after it.
  /// @param status HTTP status.
  /// @param headers Headers except those that frame the message.
  /// @param length Length of the body in bytes; if not set, the body is sent
  /// with chunked transfer encoding.
  virtual void Begin(int status, http::Headers headers,
                     std::optional<std::uint64_t> length) = 0;

  /// @brief Sends a part of the body.
  /// @param part The bytes.
  /// @param written Called with true when the part was handed to the network,
  /// with false if the caller's connection is closed.
  virtual void Write(std::string part,
                     std::function<void(bool ok)> written) = 0;

  /// @brief Ends a streamed response.
  /// @param complete If false, the connection is closed without the end of the
  /// body so that the caller detects the truncation.
  virtual void End(bool complete) = 0;

  /// @brief Closes the connection after this response.
  virtual void CloseAfter() = 0;
};

using CallerHandler =
    std::function<void(CallerRequest, std::shared_ptr<CallerResponse>)>;

/// @brief Limits of a caller server. Requests above `max_body` or `max_header`
/// reach the handler, which answers them with 413 or 431; at a multiple of
/// these limits the server closes the connection without an answer.
struct CallerServerOptions {
  core::Bytes max_body;
  core::Bytes max_header;
  core::Millis idle_timeout = std::chrono::seconds(60);
  core::Millis handle_timeout = std::chrono::minutes(15);
  core::Millis write_timeout = std::chrono::seconds(30);
};

/// @brief RESTinio server for callers on a port that several threads share. It
/// binds the address at construction but refuses connections until it is
/// opened, so that callers of a process that has no state yet try another
/// gateway.
class CallerServer {
 public:
  /// @param loop Event loop of one thread; outlives the server.
  /// @param address Address to listen on.
  /// @param handler Handles each request.
  /// @param options Limits.
  /// @throws std::exception if the address cannot be bound.
  CallerServer(asio::io_context& loop, const core::Address& address,
               CallerHandler handler, const CallerServerOptions& options);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  /// @brief Starts accepting connections. No effect if the server is open or
  /// was stopped.
  void Open();

  /// @brief Stops accepting connections; open connections are kept.
  void StopAccepting();

  /// @return Number of finished responses that are not handed to the network
  /// yet. Thread-safe.
  [[nodiscard]] int unwritten_responses() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
  std::shared_ptr<std::atomic<int>> unwritten_;
};

}  // namespace camphormux::gateway

#endif  // CAMPHORMUX_GATEWAY_CALLER_SERVER_HPP_
