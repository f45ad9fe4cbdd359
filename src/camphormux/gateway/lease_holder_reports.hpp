#ifndef CAMPHORMUX_GATEWAY_LEASE_HOLDER_REPORTS_HPP_
#define CAMPHORMUX_GATEWAY_LEASE_HOLDER_REPORTS_HPP_

#include <map>
#include <set>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/demand/summary.hpp"
#include "camphormux/state/fleet_state.hpp"

namespace camphormux::gateway {

/// Minimum time between two direct reports of a process.
inline constexpr core::Millis kMinDirectReportInterval{100};

/// @brief The last direct report to the lease holder of a zone.
struct SentReport {
  core::ProcessId holder;
  core::LogOffset applied;
  demand::Summary demand;
};

/// @brief The last direct reports to the lease holders of all zones.
struct LeaseHolderReports {
  std::map<core::ZoneName, SentReport> sent;
};

/// @brief Chooses the lease holders that get a direct report, because
/// heartbeats take seconds to relay a report between zones: new holders,
/// holders that wait for this process to apply a drain, and all holders if the
/// load changed significantly. Pure.
/// @param state The shared state.
/// @param applied First offset that this process has not applied.
/// @param demand The load of the last second.
/// @param reports The last direct reports; updated as if the chosen holders got
/// one.
/// @return The holders.
[[nodiscard]] std::set<core::ProcessId> HoldersToReportTo(
    const state::FleetState& state, core::LogOffset applied,
    const demand::Summary& demand, LeaseHolderReports& reports);

}  // namespace camphormux::gateway

#endif  // CAMPHORMUX_GATEWAY_LEASE_HOLDER_REPORTS_HPP_
