#ifndef TEST_GATEWAY_FAKE_ENDPOINT_HPP_
#define TEST_GATEWAY_FAKE_ENDPOINT_HPP_

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "camphormux/core/time.hpp"

namespace camphormux::gateway {

/// @brief Response of a fake endpoint to one request.
struct FakeReply {
  /// Raw bytes to send; `{id}` is replaced by the request's id.
  std::string bytes;
  bool close = false;
  core::Millis delay{0};
  /// Number of filler bytes to send after `bytes`, in parts.
  std::size_t filler = 0;
};

/// @brief Formats a complete response that echoes the request id.
/// @param body The body.
/// @param status_line Status code and reason phrase.
/// @param more Additional header lines, each ending with CRLF.
/// @return Raw bytes for FakeReply::bytes.
[[nodiscard]] std::string CompleteResponse(
    const std::string& body, const std::string& status_line = "200 OK",
    const std::string& more = "");

/// @brief A TCP endpoint that sends scripted bytes. It listens on a free port
/// and runs on its own thread.
class FakeEndpoint {
 public:
  /// @param script Returns the response to a request, given its head and its
  /// number, counted from 1.
  explicit FakeEndpoint(
      std::function<FakeReply(const std::string& head, int number)> script);
  ~FakeEndpoint();
  FakeEndpoint(const FakeEndpoint&) = delete;
  FakeEndpoint& operator=(const FakeEndpoint&) = delete;

  [[nodiscard]] std::uint16_t port() const;
  /// @return Number of requests received completely.
  [[nodiscard]] int requests() const;
  /// @return Number of accepted connections.
  [[nodiscard]] int connections() const;
  /// @return Number of filler bytes handed to the network.
  [[nodiscard]] std::size_t filler_sent() const;

 private:
  struct Session;
  void Accept();

  asio::io_context loop_;
  asio::ip::tcp::acceptor acceptor_;
  std::function<FakeReply(const std::string&, int)> script_;
  std::atomic<int> requests_ = 0;
  std::atomic<int> connections_ = 0;
  std::atomic<std::size_t> filler_sent_ = 0;
  std::thread thread_;
};

}  // namespace camphormux::gateway

#endif  // TEST_GATEWAY_FAKE_ENDPOINT_HPP_
