#ifndef CAMPHORMUX_MAINTENANCE_FWD_HPP_
#define CAMPHORMUX_MAINTENANCE_FWD_HPP_

namespace camphormux::maintenance {

enum class PostponeCause;
enum class GiveBackCause;
struct PoolBudget;
struct MaintenanceInput;
struct Drain;
struct GiveBack;
struct Postponement;
struct Forecast;
struct MaintenanceDecision;

}  // namespace camphormux::maintenance

#endif  // CAMPHORMUX_MAINTENANCE_FWD_HPP_
