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

/// @brief What a fake endpoint does with one request.
struct FakeReply {
  std::string bytes;  ///< Raw bytes; `{id}` becomes the request's id.
  bool close = false;
  core::Millis delay{0};
  std::size_t filler = 0;  ///< Bytes to send after `bytes`, in parts.
};

/// @brief Formats a whole answer with the echoed request id.
/// @param body The body.
/// @param status_line Status and reason.
/// @param more Further header lines, each with CRLF.
/// @return Raw bytes.
[[nodiscard]] std::string CompleteResponse(
    const std::string& body, const std::string& status_line = "200 OK",
    const std::string& more = "");

/// @brief A raw TCP endpoint on a free port with a thread of its own.
class FakeEndpoint {
 public:
  /// @param script Called for each request with its head and its 1-based
  /// number.
  explicit FakeEndpoint(
      std::function<FakeReply(const std::string& head, int number)> script);
  ~FakeEndpoint();
  FakeEndpoint(const FakeEndpoint&) = delete;
  FakeEndpoint& operator=(const FakeEndpoint&) = delete;

  [[nodiscard]] std::uint16_t port() const;
  /// @return Requests that arrived whole.
  [[nodiscard]] int requests() const;
  /// @return Connections that were accepted.
  [[nodiscard]] int connections() const;
  /// @return Filler bytes that the network took.
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
