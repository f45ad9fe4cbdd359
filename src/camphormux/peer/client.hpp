#ifndef CAMPHORMUX_PEER_CLIENT_HPP_
#define CAMPHORMUX_PEER_CLIENT_HPP_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <asio/io_context.hpp>

#include "camphormux/core/time.hpp"
#include "camphormux/core/units.hpp"
#include "camphormux/peer/backoff.hpp"
#include "camphormux/peer/message.hpp"

namespace camphormux::peer {

/// @brief Limits of a client.
struct ClientOptions {
  std::size_t max_body_bytes = kDefaultMaxBodyBytes;
  /// Requests that may wait for a connection or be in flight.
  std::size_t max_requests = 4096;
  core::Millis connect_timeout = std::chrono::seconds(2);
  /// A connection on which nothing arrives for this long after a request
  /// timed out is closed.
  core::Millis probe_timeout = std::chrono::seconds(2);
  BackoffPolicy backoff;
  std::string source_ip;  ///< Of connections; empty: the system chooses.
  std::optional<std::uint64_t> jitter_seed;  ///< Random if not set.
};

/// @brief Sends requests to one own process over one long-lived connection
/// with many concurrent streams. Connects on the first request and reconnects
/// with back-off; requests fail at once while it waits to reconnect. Never
/// sends a request twice. Use it on the loop's thread only.
class Client {
 public:
  /// @param loop Event loop; outlives the client.
  /// @param address Where the peer listens.
  /// @param options Limits.
  Client(asio::io_context& loop, core::Address address,
         const ClientOptions& options = {});
  /// Drops requests in flight without calling their callbacks.
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// @brief Sends a request.
  /// @param request The request.
  /// @param timeout Bound on the whole exchange.
  /// @param done Called once on the loop, never inside `Send`.
  void Send(Request request, core::Millis timeout,
            std::function<void(Result)> done);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace camphormux::peer

#endif  // CAMPHORMUX_PEER_CLIENT_HPP_
