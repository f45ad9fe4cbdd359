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

/// @brief Holds or contends for a zone's lease on the log. Use it on the loop's
/// thread only.
class LeaseManager {
 public:
  /// @param loop Event loop; outlives the keeper.
  /// @param appender Of the state stream; outlives the keeper.
  /// @param tailer Of the state stream; outlives the keeper.
  /// @param lease The lease of a contender.
  LeaseManager(asio::io_context& loop, log::Appender& appender,
               const state::Tailer& tailer, ownership::Lease lease);
  ~LeaseManager();
  LeaseManager(const LeaseManager&) = delete;
  LeaseManager& operator=(const LeaseManager&) = delete;

  /// @brief Claims or renews when due.
  /// @param now The time.
  void Step(core::MonotonicTime now);

  /// @param now The time.
  /// @return The epoch of decisions while the lease is provably held.
  [[nodiscard]] std::optional<core::Epoch> HeldEpoch(
      core::MonotonicTime now) const;

  /// @brief Gives a held lease up. Call it when no record or effect of this
  /// process is on its way.
  /// @param deadline Longest wait for the record to be on the log.
  /// @param done Called once, when the wait is over.
  void Release(core::MonotonicTime deadline, std::function<void()> done);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_LEASE_MANAGER_HPP_
