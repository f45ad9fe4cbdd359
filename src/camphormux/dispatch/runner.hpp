#ifndef CAMPHORMUX_DISPATCH_RUNNER_HPP_
#define CAMPHORMUX_DISPATCH_RUNNER_HPP_

#include <cstddef>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include <asio/io_context.hpp>

#include "camphormux/dispatch/driver.hpp"
#include "camphormux/dispatch/task_port.hpp"
#include "camphormux/jobs/fold.hpp"
#include "camphormux/log/log_port.hpp"

namespace camphormux::dispatch {

/// @brief Input of a step from the controller.
struct Situation {
  const state::FleetState& state;
  /// Epoch of the zone's lease while it is provably held and the view of the
  /// log is fresh; none otherwise.
  std::optional<core::Epoch> lease;
  std::set<core::HostId> missing;       ///< Hosts that do not answer.
  std::vector<core::ZoneName> cut_off;  ///< Zones without recent records.
};

/// @brief Dispatches the jobs of a zone: follows the jobs stream, steps the
/// driver, sends its calls and appends its records. Use it on the event loop's
/// thread only.
class Runner {
 public:
  /// @param loop Event loop; outlives the runner.
  /// @param log Access to the log.
  /// @param tasks Access to the platform's tasks.
  /// @param zone Zone whose workers run the jobs.
  /// @param retention Retention of the jobs stream.
  Runner(asio::io_context& loop, const log::LogPort& log, TaskPort tasks,
         core::ZoneName zone, core::Millis retention);
  ~Runner();
  Runner(const Runner&) = delete;
  Runner& operator=(const Runner&) = delete;

  /// @brief Starts to read the jobs stream.
  void Start();

  /// @brief Steps the driver and carries out its output. Call it regularly.
  /// @param situation The input.
  /// @param now The current time.
  void Step(const Situation& situation, core::MonotonicTime now);

  /// @brief Returns the zone's draining hosts that may still have tasks.
  [[nodiscard]] std::set<core::HostId> BusyHosts(
      const state::FleetState& state) const;

  [[nodiscard]] const jobs::Fold& fold() const;
  [[nodiscard]] const Driver& driver() const;

  /// @return Entries that the log has not confirmed.
  [[nodiscard]] std::size_t unconfirmed() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace camphormux::dispatch

#endif  // CAMPHORMUX_DISPATCH_RUNNER_HPP_
