#ifndef CAMPHORMUX_GATEWAY_LEAVING_HOSTS_POLLER_HPP_
#define CAMPHORMUX_GATEWAY_LEAVING_HOSTS_POLLER_HPP_

#include <cstdint>
#include <functional>
#include <memory>
#include <set>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <prometheus/registry.h>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/random.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/http/client.hpp"
#include "camphormux/routing/leaving_hosts.hpp"
#include "camphormux/state/fleet_state.hpp"

namespace camphormux::gateway {

/// @brief Functions that the poller calls.
struct LeavingHostsPollerCallbacks {
  /// Returns the fleet state, which contains the hosts of each zone.
  std::function<const state::FleetState&()> state;
  /// Receives the leaving hosts after each successful read.
  std::function<void(std::shared_ptr<const routing::LeavingHosts>)> publish;
};

/// @brief Polls the platform about once a second for the hosts that it lists as
/// leaving, so that they get no new requests even without a drain record in the
/// log. Use it on the control thread only.
class LeavingHostsPoller {
 public:
  /// @param loop Event loop; outlives the poller.
  /// @param client HTTP client on the loop; outlives the poller's callbacks.
  /// @param platform Address of the platform.
  /// @param registry Metric registry.
  /// @param callbacks Functions to read the state and publish the hosts.
  /// @param random Random generator for the jitter, seeded.
  LeavingHostsPoller(asio::io_context& loop, http::Client& client,
                     const core::Address& platform,
                     prometheus::Registry& registry,
                     LeavingHostsPollerCallbacks callbacks,
                     core::Random random);

  /// @brief Polls until the poller is destroyed.
  void Start();

 private:
  void Read();
  void OnAnswer(std::uint64_t read_number, const http::ClientResult& result);
  void LogDoubts(const std::set<core::ZoneName>& zones);

  http::Client& client_;
  std::string url_;
  LeavingHostsPollerCallbacks callbacks_;
  core::Random random_;
  asio::steady_timer timer_;
  prometheus::Gauge& listed_;
  prometheus::Gauge& doubted_;
  prometheus::Counter& failures_;
  routing::LeavingHostTracker list_;
  std::set<core::ZoneName> doubted_zones_;
  std::uint64_t last_read_ = 0;  ///< Number of the last read sent.
  /// Highest number of a read whose answer was used.
  std::uint64_t last_answered_ = 0;
  /// Expired for answers that arrive after the poller was destroyed.
  std::shared_ptr<LeavingHostsPoller*> alive_;
};

}  // namespace camphormux::gateway

#endif  // CAMPHORMUX_GATEWAY_LEAVING_HOSTS_POLLER_HPP_
