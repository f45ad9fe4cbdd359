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

/// @brief What the gateway asks about the state it follows.
struct StateQueries {
  std::function<std::uint64_t()> digest;
  /// Time at which the state is known to have been complete.
  std::function<core::MonotonicTime()> confirmed;
  /// Time at which the log last answered.
  std::function<core::MonotonicTime()> answered;
  /// Why the state must not be served from yet; empty if it may.
  std::function<std::string()> not_ready;
};

/// @brief The gateway's control side: publishes routes to the traffic threads,
/// answers operators, ends the process gracefully. Use it on the control
/// thread only.
class Gateway {
 public:
  /// @param control Event loop of the control thread; outlives the gateway.
  /// @param settings Checked settings.
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
  /// table only if text or hosts changed; otherwise just the offset.
  /// @param state The fleet state.
  void Publish(const state::FleetState& state);

  /// @brief Passes on which hosts the platform lists as leaving.
  /// @param hosts The hosts.
  void SetLeaving(const std::shared_ptr<const routing::LeavingHosts>& hosts);

  /// @brief Sets where the gateway reads about the followed state.
  /// @param view The functions; called on the control thread.
  void SetStateQueries(StateQueries view);

  /// @return First offset that some traffic thread has not applied yet.
  [[nodiscard]] core::LogOffset applied_offset() const;

  /// @return Time series of all services.
  [[nodiscard]] const MetricsStore& metrics() const { return metrics_; }

  /// @brief Ends the process gracefully: not ready, grace, no new connections,
  /// open requests, bounded by the settings. Further calls have no effect.
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
      published_mark_;           ///< Of the state that `table_` is made from.
  core::LogOffset next_offset_;  ///< Of the latest state.
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
