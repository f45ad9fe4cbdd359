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

/// @brief What a reader needs and feeds.
struct LeavingHostsPollerCallbacks {
  /// State with the zones' hosts.
  std::function<const state::FleetState&()> state;
  /// Gets the result of each read.
  std::function<void(std::shared_ptr<const routing::LeavingHosts>)> publish;
};

/// @brief Reads about once a second which hosts the platform lists as leaving,
/// so that they get no new requests even without a drain record. Use it on the
/// control thread only.
class LeavingHostsPoller {
 public:
  /// @param loop Event loop; outlives the reader.
  /// @param client Client on the loop; outlives the reader's callbacks.
  /// @param platform Address of the platform.
  /// @param registry Metric registry.
  /// @param ports State and consumer.
  /// @param random Seeded source of jitter.
  LeavingHostsPoller(asio::io_context& loop, http::Client& client,
                     const core::Address& platform,
                     prometheus::Registry& registry,
                     LeavingHostsPollerCallbacks callbacks,
                     core::Random random);

  /// @brief Reads until the reader is destroyed.
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
  routing::LeavingList list_;
  std::set<core::ZoneName> doubted_zones_;
  std::uint64_t last_read_ = 0;      ///< Number of the last read sent.
  std::uint64_t last_answered_ = 0;  ///< Highest number of a used answer.
  /// Answers that arrive after the end of the reader find this expired.
  std::shared_ptr<LeavingHostsPoller*> alive_;
};

}  // namespace camphormux::gateway

#endif  // CAMPHORMUX_GATEWAY_LEAVING_READER_HPP_
