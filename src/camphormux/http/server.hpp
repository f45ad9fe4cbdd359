#ifndef CAMPHORMUX_HTTP_SERVER_HPP_
#define CAMPHORMUX_HTTP_SERVER_HPP_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <asio/io_context.hpp>

#include "camphormux/core/time.hpp"
#include "camphormux/core/units.hpp"
#include "camphormux/http/connection_budget.hpp"
#include "camphormux/http/message.hpp"

namespace camphormux::http {

/// @brief A request of the control path or an operator. Bodies are held in
/// memory.
struct ServerRequest {
  std::string method;
  std::string path;  ///< Decoded, without the query.
  std::map<std::string, std::string> query;
  Headers headers;
  std::string body;
};

/// @brief A response.
struct ServerResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  Headers headers;
  bool close = false;  ///< Closes the connection afterwards.
};

using Respond = std::function<void(ServerResponse)>;

/// @brief Handles a request; calls `respond` once, at once or later, on the
/// server's event loop. The connection is closed without a response if
/// `respond` is destroyed unused or the handling timeout passes.
using Handler = std::function<void(ServerRequest request, Respond respond)>;

/// @brief Limits that may change while a server runs.
struct RequestLimits {
  /// Past this a body is no longer stored, and answered with 413 at its end.
  core::Bytes max_stored_body{std::int64_t{4} << 20};
  /// Request line and fields; the connection is closed past it.
  core::Bytes max_head{64 << 10};
};

/// @brief Limits of a server.
struct ServerOptions {
  /// A body that goes on past this is cut off.
  core::Bytes max_body{std::int64_t{4} << 20};
  /// Limits of the next request; asked at its first byte.
  std::function<RequestLimits()> request_limits = [] {
    return RequestLimits{};
  };
  /// For one more, the connection that has not moved for longest is closed.
  std::size_t max_connections = 10'000;
  /// Shared by the servers of a process; null: a budget of its own.
  std::shared_ptr<ConnectionBudget> budget;
  core::Millis idle_timeout = std::chrono::seconds(60);
  core::Millis handle_timeout = std::chrono::seconds(60);
};

/// @brief RESTinio server on an event loop that the caller runs on one thread.
class Server {
 public:
  /// @param loop Event loop; outlives the server.
  /// @param address Where to listen.
  /// @param handler Handles each request.
  /// @param options Limits.
  /// @throws std::exception if the address cannot be bound.
  Server(asio::io_context& loop, const core::Address& address, Handler handler,
         const ServerOptions& options = {});
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// @brief Stops accepting and closes the server.
  void Close();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace camphormux::http

#endif  // CAMPHORMUX_HTTP_SERVER_HPP_
