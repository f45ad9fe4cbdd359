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

/// @brief What a controller knows at the time of a step.
struct Situation {
  const state::FleetState& state;
  /// Set while the zone's lease is provably held and the log is fresh.
  std::optional<core::Epoch> lease;
  std::set<core::HostId> missing;       ///< Hosts that do not answer.
  std::vector<core::ZoneName> cut_off;  ///< Zones without news.
};

/// @brief Runs the jobs of a zone: follows the jobs stream, steps the driver,
/// sends its calls and appends its records. Use it on the loop's thread only.
class Runner {
 public:
  /// @param loop Event loop; outlives the runner.
  /// @param log Access to the log.
  /// @param tasks Access to the platform's tasks.
  /// @param zone Zone whose workers it uses.
  /// @param retention How long the log keeps records.
  Runner(asio::io_context& loop, const log::LogPort& log, TaskPort tasks,
         core::ZoneName zone, core::Millis retention);
  ~Runner();
  Runner(const Runner&) = delete;
  Runner& operator=(const Runner&) = delete;

  /// @brief Starts to read the jobs stream.
  void Start();

  /// @brief Makes a step; call it regularly.
  /// @param situation What is known.
  /// @param now The time.
  void Step(const Situation& situation, core::MonotonicTime now);

  /// @brief Lists the zone's hosts that must not be emptied yet.
  [[nodiscard]] std::set<core::HostId> BusyHosts(
      const state::FleetState& state) const;

  [[nodiscard]] const jobs::Fold& fold() const;
  [[nodiscard]] const Driver& driver() const;

  /// @return Records that are on their way to the log.
  [[nodiscard]] std::size_t unconfirmed() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace camphormux::dispatch

#endif  // CAMPHORMUX_DISPATCH_RUNNER_HPP_
