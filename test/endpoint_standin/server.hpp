#ifndef CAMPHORMUX_TEST_ENDPOINT_STANDIN_SERVER_HPP_
#define CAMPHORMUX_TEST_ENDPOINT_STANDIN_SERVER_HPP_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include "test/endpoint_standin/host.hpp"
#include "test/endpoint_standin/journal.hpp"
#include "test/endpoint_standin/service_time.hpp"

namespace camphormux::endpoint_standin {

class Connection;

/// @brief State and settings that all hosts of the process share.
struct SharedState {
  asio::io_context& loop;
  Journal& journal;
  core::Random random;
  ServiceTime service_time;
  core::Millis reboot_time = std::chrono::seconds(2);
  /// If false, requests run regardless of their service and generation; for
  /// measurements without a control plane.
  bool check_assignment = true;
};

/// @brief Accepts the connections of one host and owns its state.
class HostServer {
 public:
  /// @param shared Outlives the server.
  /// @param spec The host.
  /// @throws std::exception if the address cannot be bound.
  HostServer(SharedState& shared, HostSpec spec);
  ~HostServer();
  HostServer(const HostServer&) = delete;
  HostServer& operator=(const HostServer&) = delete;

  [[nodiscard]] Host& host() { return host_; }
  [[nodiscard]] SharedState& shared() { return shared_; }

  /// @brief Closes the listener and all connections, which aborts runs, and
  /// listens again after the reboot time.
  void Reboot();
  /// @brief Closes the listener and all connections.
  void Stop();
  /// @brief Removes a closed connection.
  void Remove(const std::shared_ptr<Connection>& connection);

 private:
  void Listen();
  void Accept();
  void CloseConnections();

  SharedState& shared_;
  Host host_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer reboot_timer_;
  std::set<std::shared_ptr<Connection>> connections_;
};

/// Hosts by id.
using Fleet = std::map<std::string, std::unique_ptr<HostServer>>;

}  // namespace camphormux::endpoint_standin

#endif  // CAMPHORMUX_TEST_ENDPOINT_STANDIN_SERVER_HPP_
