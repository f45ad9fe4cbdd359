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

/// @brief A request for an endpoint.
struct Query {
  core::ZoneName own_zone;
  /// The view of the log is too old to send to other zones.
  bool own_zone_only = false;
  /// Host of the previous attempt; not chosen again.
  std::optional<core::HostId> previous;
  /// Requests that may not be repeated do not probe ejected endpoints.
  bool may_probe = true;
  core::MonotonicTime now;
};

/// @brief Why no endpoint was chosen.
enum class ChoiceFailure {
  kNoEndpoint,  ///< None will become free without a change of the fleet.
  kAllBusy,     ///< Some may become free: at their limit, held off or ejected.
};

/// @brief Tells whether an endpoint may get a new request now.
/// @param health The evidence about it.
/// @param query The request.
/// @param limits The limits.
/// @return Whether it is below its limits, not leaving, held off or ejected.
[[nodiscard]] bool IsEligible(const EndpointHealth& health, const Query& query,
                              const Limits& limits);

/// @brief Returns how many requests an endpoint may have in flight.
/// @param health The evidence about it.
/// @param limits The limits.
/// @param now The time; the limit rises during slow start.
/// @return At least 1.
[[nodiscard]] int EffectiveLimit(const EndpointHealth& health,
                                 const Limits& limits, core::MonotonicTime now);

/// @brief Returns an endpoint's cost for one more request; lower is better.
/// @param health The evidence about it.
/// @param limits The limits.
/// @param now The time.
/// @return Expected work ahead in milliseconds, scaled up in slow start.
[[nodiscard]] double Cost(const EndpointHealth& health, const Limits& limits,
                          core::MonotonicTime now);

/// @brief Chooses an endpoint: own zone first, then others; the less costly of
/// two random eligible ones.
/// @param routes The service's routes.
/// @param pool The evidence.
/// @param query The request.
/// @param limits The limits.
/// @param random Source of the two choices.
/// @return The endpoint, valid as long as `routes`, or why there is none.
[[nodiscard]] core::Result<const Endpoint*, ChoiceFailure> Choose(
    const ServiceRoutes& routes, const PoolHealth& pool, const Query& query,
    const Limits& limits, core::Random& random);

}  // namespace camphormux::routing

#endif  // CAMPHORMUX_ROUTING_CHOICE_HPP_
