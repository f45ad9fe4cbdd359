#ifndef CAMPHORMUX_CONTROLLER_APP_HPP_
#define CAMPHORMUX_CONTROLLER_APP_HPP_

#include <functional>
#include <memory>

#include <asio/io_context.hpp>

#include "camphormux/controller/settings.hpp"

namespace camphormux::controller {

/// @brief A controller process on one event loop. Follows the shared state,
/// holds or contends for the zone's lease, runs the control steps and serves
/// the admin server.
class App {
 public:
  /// @param loop Event loop; outlives the app.
  /// @param settings Validated settings.
  /// @throws std::exception if the admin address cannot be bound.
  App(asio::io_context& loop, const Settings& settings);
  ~App();
  App(const App&) = delete;
  App& operator=(const App&) = delete;

  /// @brief Starts to follow the shared state and to run control steps.
  void Start();

  /// @brief Stops making decisions, waits for records and calls in flight and
  /// then calls back. Hosts keep their phases for the next lease holder.
  /// @param done Called once on the loop.
  void Stop(std::function<void()> done);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_APP_HPP_
