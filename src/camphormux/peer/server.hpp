#ifndef CAMPHORMUX_PEER_SERVER_HPP_
#define CAMPHORMUX_PEER_SERVER_HPP_

#include <cstddef>
#include <cstdint>
#include <memory>

#include <asio/io_context.hpp>

#include "camphormux/core/units.hpp"
#include "camphormux/http/connection_budget.hpp"
#include "camphormux/peer/message.hpp"

namespace camphormux::peer {

/// @brief Limits of a server.
struct ServerOptions {
  std::size_t max_body_bytes = kDefaultMaxBodyBytes;
  /// For one more, the connection that has been answered nothing, or not for
  /// the longest time, is closed.
  std::size_t max_connections = 512;
  /// What the streams of all connections hold; null: a budget of its own.
  std::shared_ptr<http::ConnectionBudget> budget = nullptr;
};

/// @brief Answers requests of other own processes. Use it on the loop's thread
/// only. A connection that sends malformed frames is closed; a request above
/// the bound is answered with `kStatusTooLarge` and does not reach the handler.
/// A request for which there is no memory is refused, so that its client fails
/// with `Error::kRefused`; it does not reach the handler either.
class Server {
 public:
  /// @param loop Event loop; outlives the server.
  /// @param address Where to listen; port 0 takes a free one.
  /// @param handler Handles each request.
  /// @param options Limits.
  /// @throws std::system_error if the address cannot be bound.
  Server(asio::io_context& loop, const core::Address& address, Handler handler,
         const ServerOptions& options = {});
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// @return The port on which the server listens.
  [[nodiscard]] std::uint16_t port() const;

  /// @brief Stops listening and closes all connections.
  void Close();

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace camphormux::peer

#endif  // CAMPHORMUX_PEER_SERVER_HPP_
