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

/// @brief How an attempt at an endpoint ended, as far as routing cares.
enum class AttemptOutcome {
  kServed,        ///< A whole answer that is not a server failure.
  kFailed,        ///< Connect failure, cut, timeout, wrong echo or 5xx status.
  kRefusedSlots,  ///< All slots of the endpoint are taken.
  kRefusedDraining,
  kRefusedMisdirected,
  kCancelled,  ///< Ended by the gateway; says nothing about the endpoint.
};

/// @brief Limits of one traffic thread.
struct Limits {
  /// Connections that the thread may hold to one endpoint.
  int connection_share = 1;
  /// Consecutive failures after which an endpoint is ejected.
  int failures_to_eject = 5;
  core::Millis first_ejection = std::chrono::seconds(5);
  core::Millis longest_ejection = std::chrono::seconds(60);
  core::Millis slow_start = std::chrono::seconds(10);
  core::Millis first_hold_off{5};
  core::Millis longest_hold_off{160};
  /// The platform may lag behind the log, so a misdirected request is not
  /// final.
  core::Millis misdirected_hold_off = std::chrono::seconds(1);
  /// A closed connection is a weak sign of leaving: the endpoint is ejected for
  /// this time and then probed.
  core::Millis connection_close_ejection = std::chrono::seconds(10);
};

/// @brief A thread's own evidence about one endpoint.
struct EndpointHealth {
  core::Generation generation;
  core::LogOffset phase_offset;
  core::MonotonicTime admitted_at;  ///< When this thread first saw it.
  int outstanding = 0;
  double concurrency_limit = 1.0;  ///< Learnt from `slots` refusals.
  double latency_ms = 0.0;  ///< Moving average; 0 until the first answer.
  int consecutive_failures = 0;
  int consecutive_refusals = 0;
  int ejections = 0;  ///< Consecutive ones; sets the length of the next.
  std::optional<core::MonotonicTime> ejected_until;
  bool probing = false;  ///< The ejection ended; one request decides.
  core::MonotonicTime hold_off_until;
  bool refused_as_draining =
      false;  ///< Refused a request as draining; a new record ends it.
  bool listed_leaving = false;  ///< The platform's host list names it.
  /// The host list names it, but is doubted: a draining refusal or a closed
  /// connection confirms it.
  bool doubted_leaving = false;
};

/// @brief Evidence about all endpoints that a thread knows.
struct PoolHealth {
  std::unordered_map<core::HostId, EndpointHealth> endpoints;
};

/// @brief Computes a thread's share of the connections to an endpoint.
/// @param connections_per_host Connections that an endpoint accepts.
/// @param max_gateways Highest number of gateways of the deployment.
/// @param threads Traffic threads of this gateway.
/// @return The share; 0 if there are too many threads for one each.
[[nodiscard]] constexpr int ConnectionShare(int connections_per_host,
                                            int max_gateways,
                                            int threads) noexcept {
  return connections_per_host / max_gateways / threads;
}

/// @brief Creates and resets evidence after a new route table.
/// @param pool The evidence; endpoints that no service lists and that have no
/// request in flight are forgotten.
/// @param table The new table.
/// @param limits The limits.
/// @param now The time.
void Reconcile(PoolHealth& pool, const RouteTable& table, const Limits& limits,
               core::MonotonicTime now);

/// @brief Takes over which hosts the platform lists as leaving.
/// @param pool The evidence.
/// @param hosts The hosts.
void ApplyLeaving(PoolHealth& pool, const LeavingHosts& hosts);

/// @brief Notes that an attempt starts.
/// @param pool The evidence.
/// @param host The chosen endpoint.
void OnStart(PoolHealth& pool, const core::HostId& host);

/// @brief Result of an attempt.
struct AttemptReport {
  core::HostId host;
  core::Generation generation;  ///< That the attempt was sent with.
  AttemptOutcome outcome = AttemptOutcome::kCancelled;
  core::Millis latency{0};         ///< Until the first byte of the answer.
  bool connection_closed = false;  ///< The answer announced a close.
};

/// @brief Notes that an attempt ended: adapts the limit, ejects, marks leaving
/// endpoints.
/// @param pool The evidence.
/// @param report What happened.
/// @param routes The service's routes; bounds the share of ejected endpoints.
/// @param limits The limits.
/// @param now The time.
/// @param random Source of jitter.
void OnFinish(PoolHealth& pool, const AttemptReport& report,
              const ServiceRoutes& routes, const Limits& limits,
              core::MonotonicTime now, core::Random& random);

/// @brief Counts ejected endpoints of a service.
/// @param pool The evidence.
/// @param routes The service's routes.
/// @return Endpoints that are out on the gateway's own evidence.
[[nodiscard]] int CountEjected(const PoolHealth& pool,
                               const ServiceRoutes& routes);

/// @brief Returns the highest number of a pool's endpoints that may be ejected.
/// @param pool_size Number of endpoints of the pool.
/// @return A third, rounded down.
[[nodiscard]] constexpr int EjectionCap(std::size_t pool_size) noexcept {
  return static_cast<int>(pool_size / 3);
}

}  // namespace camphormux::routing

#endif  // CAMPHORMUX_ROUTING_ENDPOINT_HEALTH_HPP_
