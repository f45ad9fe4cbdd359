#ifndef CAMPHORMUX_CONTROLLER_LEASE_MANAGER_HPP_
#define CAMPHORMUX_CONTROLLER_LEASE_MANAGER_HPP_

#include <functional>
#include <memory>
#include <optional>

#include <asio/io_context.hpp>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/log/appender.hpp"
#include "camphormux/ownership/lease.hpp"
#include "camphormux/state/tailer.hpp"

namespace camphormux::controller {

/// @brief Claims, renews and releases a zone's lease on the log. Use it only on
/// the event loop's thread.
class LeaseManager {
 public:
  /// @param loop Event loop; outlives the lease manager.
  /// @param appender Appender of the state stream; outlives the lease manager.
  /// @param tailer Reader of the state stream; outlives the lease manager.
  /// @param lease Lease state of a contender.
  LeaseManager(asio::io_context& loop, log::Appender& appender,
               const state::Tailer& tailer, ownership::Lease lease);
  ~LeaseManager();
  LeaseManager(const LeaseManager&) = delete;
  LeaseManager& operator=(const LeaseManager&) = delete;

  /// @brief Sends a claim or a renewal when it is due.
  /// @param now The time.
  void Step(core::MonotonicTime now);

  /// @param now The time.
  /// @return The epoch of the lease, while the lease is provably held.
  [[nodiscard]] std::optional<core::Epoch> HeldEpoch(
      core::MonotonicTime now) const;

  /// @brief Releases the lease if it is held. Call it when no record or
  /// platform call of this process is in flight.
  /// @param deadline Latest time to wait for the log's answer.
  /// @param done Called once, when the log answered or the deadline passed.
  void Release(core::MonotonicTime deadline, std::function<void()> done);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_LEASE_MANAGER_HPP_
