#ifndef CAMPHORMUX_RECOVERY_STATE_FETCHER_HPP_
#define CAMPHORMUX_RECOVERY_STATE_FETCHER_HPP_

#include <memory>
#include <string>

#include <asio/io_context.hpp>

#include "camphormux/core/random.hpp"
#include "camphormux/membership/node.hpp"
#include "camphormux/state/tailer.hpp"

namespace camphormux::recovery {

/// @brief Loads the state from a peer while the log holds no complete snapshot.
/// Use it only on the event loop's thread.
class StateFetcher {
 public:
  /// @param loop Event loop; outlives the fetcher.
  /// @param tailer Receives the state; outlives the fetcher.
  /// @param members Known processes; outlives the fetcher.
  /// @param random Random number generator for peer choice and jitter.
  StateFetcher(asio::io_context& loop, state::Tailer& tailer,
               const membership::Node& members, core::Random random);
  ~StateFetcher();
  StateFetcher(const StateFetcher&) = delete;
  StateFetcher& operator=(const StateFetcher&) = delete;

  /// @brief Starts periodic checks, which end when the fetcher is destroyed.
  void Start();

  /// @return Whether the process is ready to serve; if not, the reason names
  /// what the tailer lacks and the progress of the transfer.
  [[nodiscard]] state::Readiness ready() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace camphormux::recovery

#endif  // CAMPHORMUX_RECOVERY_STATE_FETCHER_HPP_
