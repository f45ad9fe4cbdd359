#ifndef CAMPHORMUX_ROUTING_FWD_HPP_
#define CAMPHORMUX_ROUTING_FWD_HPP_

namespace camphormux::routing {

struct Endpoint;
struct ServiceRoutes;
struct RouteTable;
struct Limits;
struct EndpointHealth;
struct PoolHealth;
struct AttemptReport;
struct Query;
struct LeavingHosts;
struct LeavingHostTracker;
enum class AttemptOutcome;
enum class ChoiceFailure;

}  // namespace camphormux::routing

#endif  // CAMPHORMUX_ROUTING_FWD_HPP_
