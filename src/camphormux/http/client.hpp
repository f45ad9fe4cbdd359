#ifndef CAMPHORMUX_HTTP_CLIENT_HPP_
#define CAMPHORMUX_HTTP_CLIENT_HPP_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include <asio/io_context.hpp>

#include "camphormux/core/result.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/core/units.hpp"
#include "camphormux/http/message.hpp"

namespace camphormux::http {

/// @brief How a request uses connections that were kept open.
enum class ConnectionReuse {
  kNone,  ///< The request gets a connection of its own.
  /// May use a kept connection. If the server closes that one without an
  /// answer, the request fails.
  kOnce,
  /// May use a kept connection. If the server closes that one without an
  /// answer, the request is sent again, and the answer to the second copy is
  /// the result. Only for requests that have the same effect and the same
  /// answer whatever became of the first copy.
  kResend,
};

/// @brief A request of the control path. Bodies are held in memory.
struct ClientRequest {
  std::string method = "GET";
  std::string url;
  Headers headers;
  std::string body;
  core::Millis timeout = std::chrono::seconds(5);
  ConnectionReuse reuse = ConnectionReuse::kNone;  ///< Not used by GET.
  std::size_t max_response_bytes = std::size_t{16} << 20;
  /// Longest response while the client's responses fill their memory.
  std::size_t max_response_bytes_when_full = std::size_t{16} << 20;
};

/// @brief A complete response.
struct ClientResponse {
  int status = 0;
  Headers headers;
  std::string body;
};

enum class ClientError { kConnect, kTimeout, kCut, kTooLarge, kBadRequest };

/// @brief Why there is no response. If `sent` is false the server cannot have
/// seen the request.
struct ClientFailure {
  ClientError error = ClientError::kConnect;
  bool sent = false;
};

using ClientResult = core::Result<ClientResponse, ClientFailure>;

/// @brief libcurl client on an Asio event loop. Use it on the loop's thread
/// only. Callbacks run on the loop, never inside `Send`.
class Client {
 public:
  /// @param loop Event loop; outlives the client.
  /// @param source_ip Address of this host that connections come from; empty:
  /// the system chooses.
  explicit Client(asio::io_context& loop, std::string source_ip = "");
  /// @brief Bounds what unfinished responses hold together.
  /// @param limit Past it, responses that are longer than their request's
  /// `max_response_bytes_when_full` fail.
  void LimitBuffered(core::Bytes limit);

  /// Drops requests in flight without calling their callbacks.
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// @brief Sends a request. Sends it again only if its reuse of connections
  /// allows that, or if it is a GET.
  /// @param request The request.
  /// @param done Called once with the result.
  void Send(ClientRequest request, std::function<void(ClientResult)> done);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace camphormux::http

#endif  // CAMPHORMUX_HTTP_CLIENT_HPP_
