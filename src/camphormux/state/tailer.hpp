#ifndef CAMPHORMUX_STATE_TAILER_HPP_
#define CAMPHORMUX_STATE_TAILER_HPP_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <asio/io_context.hpp>

#include "camphormux/core/time.hpp"
#include "camphormux/log/log_port.hpp"
#include "camphormux/state/fleet_state.hpp"
#include "camphormux/state/follower.hpp"

namespace camphormux::state {

/// @brief Whether a process may serve from the state.
struct Readiness {
  bool ready = false;
  std::string reason;  ///< Why not.
};

/// @brief Follows the state stream and keeps the fold of its records. Use it
/// on the loop's thread only.
class Tailer {
 public:
  /// @param loop Event loop; outlives the tailer.
  /// @param port The log.
  /// @param on_change Called after each answer that changed the state.
  Tailer(asio::io_context& loop, log::LogPort port,
         std::function<void(const FleetState&)> on_change);
  ~Tailer();
  Tailer(const Tailer&) = delete;
  Tailer& operator=(const Tailer&) = delete;

  /// @brief Starts to read; goes on until the tailer is destroyed.
  void Start();

  /// @brief Takes the state of another process while the log holds no complete
  /// snapshot; see `state::TakeBase`.
  /// @param base The state.
  /// @return Why the state does not fit the log, or nothing.
  [[nodiscard]] std::optional<std::string> TakeBase(FleetState base);

  /// @return The state so far.
  [[nodiscard]] const FleetState& state() const;

  /// @return Whether the state was complete at least once; a process that
  /// starts must not serve before.
  [[nodiscard]] Readiness ready() const;

  /// @return How the log was read; for snapshots and metrics.
  [[nodiscard]] const Follower& follower() const;

  /// @return Whether the state is that of the log's end as last read; false
  /// until the end was reached, and again while lost records are made up for.
  [[nodiscard]] bool at_end() const;

  /// @return When the last answer that showed the log's end arrived; the
  /// clock's epoch if none did.
  [[nodiscard]] core::MonotonicTime last_confirmed() const;

  /// @return When a read was last answered, even if not with the log's end; the
  /// clock's epoch if none was.
  [[nodiscard]] core::MonotonicTime last_answered() const;

  /// @return When the read was sent whose answer last showed the log's end. All
  /// records that were on the log then are in the state.
  [[nodiscard]] core::MonotonicTime last_confirmed_sent() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace camphormux::state

#endif  // CAMPHORMUX_STATE_TAILER_HPP_
