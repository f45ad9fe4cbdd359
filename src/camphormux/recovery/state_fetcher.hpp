#ifndef CAMPHORMUX_RECOVERY_STATE_FETCHER_HPP_
#define CAMPHORMUX_RECOVERY_STATE_FETCHER_HPP_

#include <memory>
#include <string>

#include <asio/io_context.hpp>

#include "camphormux/core/random.hpp"
#include "camphormux/membership/node.hpp"
#include "camphormux/state/tailer.hpp"

namespace camphormux::recovery {

/// @brief Takes the state from a peer while the log holds no complete
/// snapshot. Use it on the loop's thread only.
class StateFetcher {
 public:
  /// @param loop Event loop; outlives the fetcher.
  /// @param tailer Gets the state; outlives the fetcher.
  /// @param members Whom to ask; outlives the fetcher.
  /// @param random Source of choices and jitter.
  StateFetcher(asio::io_context& loop, state::Tailer& tailer,
               const membership::Node& members, core::Random random);
  ~StateFetcher();
  StateFetcher(const StateFetcher&) = delete;
  StateFetcher& operator=(const StateFetcher&) = delete;

  /// @brief Starts to check regularly; goes on until the fetcher is destroyed.
  void Start();

  /// @return Whether the process may serve; the reason names what the tailer
  /// lacks and how the last transfer went.
  [[nodiscard]] state::Readiness ready() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace camphormux::recovery

#endif  // CAMPHORMUX_RECOVERY_STATE_FETCHER_HPP_
