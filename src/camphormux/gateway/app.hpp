#ifndef CAMPHORMUX_GATEWAY_APP_HPP_
#define CAMPHORMUX_GATEWAY_APP_HPP_

#include <functional>
#include <memory>

#include <asio/io_context.hpp>

#include "camphormux/gateway/gateway_settings.hpp"

namespace camphormux::gateway {

/// @brief A gateway process: follows the shared state, claims idempotency keys,
/// exchanges heartbeats, reports its load to controllers and serves callers.
/// Use it on the control thread only; destroy it after the control loop has
/// stopped.
class App {
 public:
  /// @param control Event loop of the control thread; outlives the app.
  /// @param settings Validated settings.
  /// @throws std::exception if an address cannot be bound.
  App(asio::io_context& control, const GatewaySettings& settings);
  ~App();
  App(const App&) = delete;
  App& operator=(const App&) = delete;

  /// @brief Starts following the log and exchanging heartbeats.
  void Start();

  /// @brief Shuts down gracefully. Requests of other processes are answered
  /// until `done` is called.
  /// @param done Called when the process may exit.
  void Shutdown(std::function<void()> done);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace camphormux::gateway

#endif  // CAMPHORMUX_GATEWAY_APP_HPP_
