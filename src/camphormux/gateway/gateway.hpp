#ifndef CAMPHORMUX_GATEWAY_GATEWAY_HPP_
#define CAMPHORMUX_GATEWAY_GATEWAY_HPP_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <prometheus/registry.h>

#include "camphormux/core/time.hpp"
#include "camphormux/gateway/gateway_settings.hpp"
#include "camphormux/gateway/service_metrics.hpp"
#include "camphormux/gateway/traffic_thread.hpp"
#include "camphormux/http/server.hpp"
#include "camphormux/routing/leaving_hosts.hpp"
#include "camphormux/routing/route_table.hpp"
#include "camphormux/state/fleet_state.hpp"
#include "camphormux/state/log_contact.hpp"
#include "camphormux/telemetry/trace.hpp"

namespace camphormux::gateway {

/// @brief Functions that the gateway calls to query the state it follows.
struct StateQueries {
  /// Digest of the state.
  std::function<std::uint64_t()> digest;
  /// Latest time at which the state is known to have been up to date with the
  /// log.
  std::function<core::MonotonicTime()> confirmed;
  /// Time of the last answer from the log.
  std::function<core::MonotonicTime()> answered;
  /// Reason why the gateway must not serve from the state yet; empty if it may.
  std::function<std::string()> not_ready;
};

/// @brief Control part of the gateway: publishes routes to the traffic threads,
/// serves the admin endpoints and shuts down gracefully. Use it on the control
/// thread only.
class Gateway {
 public:
  /// @param control Event loop of the control thread; outlives the gateway.
  /// @param settings Validated settings.
  /// @param registry Metric registry.
  /// @param keys Makes the key store of each traffic thread.
  /// @throws std::exception if an address cannot be bound.
  Gateway(asio::io_context& control, GatewaySettings settings,
          std::shared_ptr<prometheus::Registry> registry,
          const KeyStoreFactory& keys);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /// @brief Publishes the routes of a new state. Traffic threads get a new
  /// route table only if the operator text or hosts changed; otherwise only the
  /// new offset.
  /// @param state The fleet state.
  void Publish(const state::FleetState& state);

  /// @brief Forwards the hosts that the platform lists as leaving to the
  /// traffic threads.
  /// @param hosts The hosts.
  void SetLeaving(const std::shared_ptr<const routing::LeavingHosts>& hosts);

  /// @brief Sets the functions that query the followed state.
  /// @param queries The functions; they are called on the control thread.
  void SetStateQueries(StateQueries queries);

  /// @return Lowest offset that some traffic thread has not applied yet.
  [[nodiscard]] core::LogOffset applied_offset() const;

  /// @return Metrics of all services.
  [[nodiscard]] const MetricsStore& metrics() const { return metrics_; }

  /// @brief Shuts down gracefully: reports not ready, keeps accepting
  /// connections for the grace period, then waits for open requests. The
  /// settings limit both times. Further calls have no effect.
  /// @param done Called when the process may exit.
  void Shutdown(std::function<void()> done);

 private:
  void Tick();
  void UpdateOwnZoneOnly();
  void UpdateLogContact();
  void WaitUntilIdle(core::MonotonicTime deadline);
  void EndOpenRequests();
  void ForEachThread(const std::function<void(Dispatcher&)>& action);
  [[nodiscard]] http::ServerResponse AnswerAdmin(const std::string& path) const;
  [[nodiscard]] core::Millis ViewAge() const;
  [[nodiscard]] std::string NotReadyReason() const;
  [[nodiscard]] std::string StateJson() const;

  asio::io_context& control_;
  GatewaySettings settings_;
  std::shared_ptr<prometheus::Registry> registry_;
  MetricsStore metrics_;
  telemetry::SpanExporter spans_;
  prometheus::Gauge& view_age_;
  prometheus::Gauge& cut_off_;
  prometheus::Gauge& converge_seconds_;
  prometheus::Counter& spans_dropped_;
  std::vector<std::unique_ptr<TrafficThread>> threads_;
  std::shared_ptr<const routing::RouteTable> table_;
  state::FleetMark
      /// Mark of the state that `table_` was built from.
      published_mark_;
  core::LogOffset next_offset_;  ///< First offset after the latest state.
  StateQueries state_queries_;
  bool own_zone_only_ = false;
  state::LogContact contact_;
  bool stopping_ = false;
  std::function<void()> on_stopped_;
  asio::steady_timer tick_;
  asio::steady_timer shutdown_;
  http::Server admin_;
};

}  // namespace camphormux::gateway

#endif  // CAMPHORMUX_GATEWAY_GATEWAY_HPP_
