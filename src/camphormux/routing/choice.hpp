#ifndef CAMPHORMUX_ROUTING_CHOICE_HPP_
#define CAMPHORMUX_ROUTING_CHOICE_HPP_

#include <optional>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/random.hpp"
#include "camphormux/core/result.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/routing/endpoint_health.hpp"
#include "camphormux/routing/route_table.hpp"

namespace camphormux::routing {

/// @brief What a request requires of its endpoint.
struct Query {
  core::ZoneName own_zone;
  /// Set when the view of the log is too old to send to other zones.
  bool own_zone_only = false;
  /// Host of the previous attempt; excluded from the choice.
  std::optional<core::HostId> previous;
  /// False for requests that must not be repeated: they do not probe ejected
  /// endpoints.
  bool may_probe = true;
  core::MonotonicTime now;
};

/// @brief Why no endpoint was chosen.
enum class ChoiceFailure {
  kNoEndpoint,  ///< None can become free unless the fleet changes.
  kAllBusy,     ///< Some can become free: at the limit, held off or ejected.
};

/// @brief Tells whether an endpoint may receive a new request now.
/// @param health Health of the endpoint.
/// @param query The request's requirements.
/// @param limits Limits of the thread.
/// @return True if it is below its concurrency limit and not leaving, held off
/// or ejected. An idle endpoint whose ejection time is over is eligible for one
/// probe.
[[nodiscard]] bool IsEligible(const EndpointHealth& health, const Query& query,
                              const Limits& limits);

/// @brief Returns how many requests an endpoint may have in flight.
/// @param health Health of the endpoint.
/// @param limits Limits of the thread.
/// @param now Current time; the limit rises during slow start.
/// @return At least 1.
[[nodiscard]] int EffectiveLimit(const EndpointHealth& health,
                                 const Limits& limits, core::MonotonicTime now);

/// @brief Returns an endpoint's cost for one more request; lower is better.
/// @param health Health of the endpoint.
/// @param limits Limits of the thread.
/// @param now Current time.
/// @return Average latency times the requests in flight including the new one,
/// in milliseconds, divided by the slow start factor.
[[nodiscard]] double Cost(const EndpointHealth& health, const Limits& limits,
                          core::MonotonicTime now);

/// @brief Chooses an endpoint: the cheaper of two random eligible ones (power
/// of two choices). Other zones are used only if the own zone has none.
/// @param routes The service's routes.
/// @param pool Health of the endpoints.
/// @param query The request's requirements.
/// @param limits Limits of the thread.
/// @param random Source of randomness for the two candidates.
/// @return The endpoint, valid as long as `routes`, or why none was chosen.
[[nodiscard]] core::Result<const Endpoint*, ChoiceFailure> Choose(
    const ServiceRoutes& routes, const PoolHealth& pool, const Query& query,
    const Limits& limits, core::Random& random);

}  // namespace camphormux::routing

#endif  // CAMPHORMUX_ROUTING_CHOICE_HPP_
