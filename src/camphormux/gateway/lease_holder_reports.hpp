#ifndef CAMPHORMUX_GATEWAY_LEASE_HOLDER_REPORTS_HPP_
#define CAMPHORMUX_GATEWAY_LEASE_HOLDER_REPORTS_HPP_

#include <map>
#include <set>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/demand/summary.hpp"
#include "camphormux/state/fleet_state.hpp"

namespace camphormux::gateway {

/// Shortest time between two direct reports of a process.
inline constexpr core::Millis kMinDirectReportInterval{100};

/// @brief What a zone's lease holder was last told directly.
struct SentReport {
  core::ProcessId holder;
  core::LogOffset applied;
  demand::Summary demand;
};

/// @brief What the lease holders of all zones were told.
struct LeaseHolderReports {
  std::map<core::ZoneName, SentReport> sent;
};

/// @brief Chooses the lease holders that must not wait for the next heartbeats,
/// which take seconds to pass on a report between zones: those that wait for
/// this process to apply a drain, and all when the load changed clearly. Pure.
/// @param state The shared state.
/// @param applied First offset that this process has not applied.
/// @param demand The load of the last second.
/// @param news What was told before; updated as if the chosen ones were told.
/// @return The holders.
[[nodiscard]] std::set<core::ProcessId> HoldersToReportTo(
    const state::FleetState& state, core::LogOffset applied,
    const demand::Summary& demand, LeaseHolderReports& reports);

}  // namespace camphormux::gateway

#endif  // CAMPHORMUX_GATEWAY_HOLDER_NEWS_HPP_
