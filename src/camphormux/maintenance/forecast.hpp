#ifndef CAMPHORMUX_MAINTENANCE_FORECAST_HPP_
#define CAMPHORMUX_MAINTENANCE_FORECAST_HPP_

#include <optional>

#include "camphormux/maintenance/maintenance.hpp"

namespace camphormux::maintenance::internal {

/// @brief Start of the time in which a host is due: early enough that
/// postponed waves can be caught up.
/// @param plan The plan.
/// @param deadline End of the host's period.
/// @return The time from which the host is due.
[[nodiscard]] core::WallTime DueFrom(const text::MaintenancePlan& plan,
                                     core::WallTime deadline);

/// @brief Whether the plan's daily window is open.
/// @param plan The plan.
/// @param now The time.
/// @return True within the window.
[[nodiscard]] bool InWindow(const text::MaintenancePlan& plan,
                            core::WallTime now);

/// @brief Estimates whether the hosts of the zone can be maintained in time
/// when racks follow each other and every pool gives what its budget allows.
/// @param input The input.
/// @return The expected miss, if any.
[[nodiscard]] std::optional<Forecast> ForecastMiss(
    const MaintenanceInput& input);

}  // namespace camphormux::maintenance::internal

#endif  // CAMPHORMUX_MAINTENANCE_FORECAST_HPP_
