#ifndef TEST_MAINTENANCE_PERIOD_FLEET_HPP_
#define TEST_MAINTENANCE_PERIOD_FLEET_HPP_

#include <map>
#include <set>
#include <vector>

#include "camphormux/core/random.hpp"
#include "camphormux/maintenance/maintenance.hpp"
#include "camphormux/moves/moves.hpp"
#include "camphormux/sizing/sizing.hpp"

namespace camphormux::maintenance {

/// @brief Hosts of a deployment in steps of five minutes; each phase of a host
/// takes one step.
struct PeriodFleet {
  const text::OperatorText* text = nullptr;
  std::map<core::ZoneName, std::vector<state::Host>> zones;
  std::set<core::HostId> missing;
  std::set<core::HostId> confirmed_dead;
  std::set<core::HostId> rebooting;
  std::map<core::HostId, core::WallTime> last_done;
  std::map<core::PoolName, std::map<core::ZoneName, int>> reserve;
  sizing::SizingState sizing;
  core::Random random;

  // What happened.
  int maintained = 0;
  int late = 0;  ///< Maintained after the deadline.
  int give_backs = 0;
  int moves = 0;
  int drains_while_stopped = 0;
  int zone_breaches = 0;     ///< Zone floors, without a failure in the zone.
  int service_breaches = 0;  ///< Availability budgets, always.
  std::map<PostponeCause, int> postponed;
};

/// @brief Makes the fleet with maintenance spread over the period before.
/// @param text The deployment; must outlive the fleet.
/// @param hosts Number of hosts, four to a rack.
/// @param start First step.
/// @param seed Fixes surges.
/// @return The fleet.
[[nodiscard]] PeriodFleet MakePeriodFleet(const text::OperatorText& text,
                                          int hosts, core::WallTime start,
                                          std::uint64_t seed);

/// @brief Decides and carries out one step.
/// @param fleet The fleet.
/// @param now The time.
void StepFleet(PeriodFleet& fleet, core::WallTime now);

/// Length of a step.
constexpr core::Millis kStep = std::chrono::minutes(5);

}  // namespace camphormux::maintenance

#endif  // TEST_MAINTENANCE_PERIOD_FLEET_HPP_
