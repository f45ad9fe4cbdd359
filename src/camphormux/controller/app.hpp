#ifndef CAMPHORMUX_CONTROLLER_APP_HPP_
#define CAMPHORMUX_CONTROLLER_APP_HPP_

#include <functional>
#include <memory>

#include <asio/io_context.hpp>

#include "camphormux/controller/settings.hpp"

namespace camphormux::controller {

/// @brief A controller process on one event loop: follows the state, holds or
/// contends for the zone's lease, steps and serves the admin server.
class App {
 public:
  /// @param loop Event loop; outlives the app.
  /// @param settings Checked settings.
  /// @throws std::exception if the admin address cannot be bound.
  App(asio::io_context& loop, const Settings& settings);
  ~App();
  App(const App&) = delete;
  App& operator=(const App&) = delete;

  /// @brief Starts to follow the state and to step.
  void Start();

  /// @brief Stops deciding, waits for records on their way to the log and
  /// calls back. Hosts stay in their phases for the next holder.
  /// @param done Called once on the loop.
  void Stop(std::function<void()> done);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_APP_HPP_
