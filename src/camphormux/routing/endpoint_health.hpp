#ifndef CAMPHORMUX_ROUTING_ENDPOINT_HEALTH_HPP_
#define CAMPHORMUX_ROUTING_ENDPOINT_HEALTH_HPP_

#include <optional>
#include <unordered_map>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/random.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/routing/leaving_hosts.hpp"
#include "camphormux/routing/route_table.hpp"

namespace camphormux::routing {

/// @brief How an attempt at an endpoint ended, as far as it matters to routing.
enum class AttemptOutcome {
  kServed,  ///< A complete response without a server error.
  kFailed,  ///< Connect failure, cut-off, timeout, wrong echo or 5xx status.
  kRefusedSlots,  ///< All slots of the endpoint are taken.
  kRefusedDraining,
  kRefusedMisdirected,
  kCancelled,  ///< Ended by the gateway; not evidence about the endpoint.
};

/// @brief Routing limits of one traffic thread.
struct Limits {
  /// Maximum connections of the thread to one endpoint.
  int connection_share = 1;
  /// Consecutive failures after which an endpoint is ejected.
  int failures_to_eject = 5;
  core::Millis first_ejection = std::chrono::seconds(5);
  core::Millis longest_ejection = std::chrono::seconds(60);
  core::Millis slow_start = std::chrono::seconds(10);
  core::Millis first_hold_off{5};
  core::Millis longest_hold_off{160};
  /// A misdirected refusal holds the endpoint off only for this time: the
  /// platform may lag behind the log, so the refusal is not final.
  core::Millis misdirected_hold_off = std::chrono::seconds(1);
  /// A closed connection is weak evidence that the endpoint is leaving, so it
  /// is ejected for this time and then probed.
  core::Millis connection_close_ejection = std::chrono::seconds(10);
};

/// @brief Health of one endpoint as observed by one thread.
struct EndpointHealth {
  core::Generation generation;
  core::LogOffset phase_offset;
  core::MonotonicTime admitted_at;  ///< Slow start counts from this time.
  int outstanding = 0;
  double concurrency_limit = 1.0;  ///< Adapts to `slots` refusals.
  double latency_ms = 0.0;         ///< Moving average; 0 before any response.
  int consecutive_failures = 0;
  int consecutive_refusals = 0;
  int ejections = 0;  ///< Consecutive; determines the next duration.
  std::optional<core::MonotonicTime> ejected_until;
  /// The ejection time is over and the outcome of one request in flight decides
  /// whether the endpoint is ejected again.
  bool probing = false;
  core::MonotonicTime hold_off_until;  ///< No requests before this time.
  /// Refused a request as draining; lasts until a new record of the host.
  bool refused_as_draining = false;
  bool listed_leaving = false;  ///< The platform's host list names it.
  /// The host list names it, but the list is doubted. A draining refusal or a
  /// closed connection confirms that the host is leaving.
  bool doubted_leaving = false;
};

/// @brief Health of all endpoints that a thread knows.
struct PoolHealth {
  std::unordered_map<core::HostId, EndpointHealth> endpoints;
};

/// @brief Computes how many connections to an endpoint a thread may hold.
/// @param connections_per_host Connections that an endpoint accepts.
/// @param max_gateways Maximum number of gateways in the deployment.
/// @param threads Traffic threads of this gateway.
/// @return The share; 0 if there are too few connections for one per thread.
[[nodiscard]] constexpr int ConnectionShare(int connections_per_host,
                                            int max_gateways,
                                            int threads) noexcept {
  return connections_per_host / max_gateways / threads;
}

/// @brief Adapts the health data to a new route table: adds new endpoints and
/// resets those with a new generation or admission record.
/// @param pool Health data. Endpoints that no service lists and that have no
/// request in flight are removed.
/// @param table The new table.
/// @param limits Limits of the thread.
/// @param now Current time.
void Reconcile(PoolHealth& pool, const RouteTable& table, const Limits& limits,
               core::MonotonicTime now);

/// @brief Applies the set of hosts that the platform lists as leaving.
/// @param pool Health data.
/// @param hosts The trusted and the doubted hosts.
void ApplyLeaving(PoolHealth& pool, const LeavingHosts& hosts);

/// @brief Records that an attempt starts.
/// @param pool Health data.
/// @param host The chosen endpoint.
void OnStart(PoolHealth& pool, const core::HostId& host);

/// @brief Result of an attempt.
struct AttemptReport {
  core::HostId host;
  core::Generation generation;  ///< Sent with the attempt.
  AttemptOutcome outcome = AttemptOutcome::kCancelled;
  core::Millis latency{0};         ///< Until the first response byte.
  bool connection_closed = false;  ///< Announced by the response.
};

/// @brief Records that an attempt ended: adapts the concurrency limit, ejects
/// failing endpoints and marks leaving ones.
/// @param pool Health data.
/// @param report Result of the attempt.
/// @param routes The service's routes; their number bounds how many endpoints
/// may be ejected.
/// @param limits Limits of the thread.
/// @param now Current time.
/// @param random Source of jitter.
void OnFinish(PoolHealth& pool, const AttemptReport& report,
              const ServiceRoutes& routes, const Limits& limits,
              core::MonotonicTime now, core::Random& random);

/// @brief Counts ejected endpoints of a service.
/// @param pool Health data.
/// @param routes The service's routes.
/// @return Endpoints ejected by this thread, including those that await a
/// probe. Drain refusals and the platform's host list are not ejections.
[[nodiscard]] int CountEjected(const PoolHealth& pool,
                               const ServiceRoutes& routes);

/// @brief Returns how many of a pool's endpoints may be ejected at a time.
/// @param pool_size Number of endpoints of the pool.
/// @return A third of the pool, rounded down.
[[nodiscard]] constexpr int EjectionCap(std::size_t pool_size) noexcept {
  return static_cast<int>(pool_size / 3);
}

}  // namespace camphormux::routing

#endif  // CAMPHORMUX_ROUTING_ENDPOINT_HEALTH_HPP_
