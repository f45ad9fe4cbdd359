#ifndef CAMPHORMUX_CONTROLLER_LIVENESS_HPP_
#define CAMPHORMUX_CONTROLLER_LIVENESS_HPP_

#include <map>
#include <optional>
#include <vector>

#include "camphormux/controller/observation.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/membership/view.hpp"
#include "camphormux/state/fleet_state.hpp"

namespace camphormux::controller {

/// Time without a change of its lease after which a zone counts as cut off.
inline constexpr core::Millis kZoneCutOff = std::chrono::seconds(10);

/// @brief When this process last saw each zone's lease change.
struct ZoneLiveness {
  struct Zone {
    state::ZoneLease lease;
    core::MonotonicTime changed;
  };
  std::map<core::ZoneName, Zone> zones;
};

/// @brief Records the lease renewals of all zones.
/// @param state The shared state.
/// @param now The time.
/// @param liveness Updated.
void UpdateZoneLiveness(const state::FleetState& state, core::MonotonicTime now,
                        ZoneLiveness& liveness);

/// @brief Lists the zones whose lease has not changed for `kZoneCutOff`. If the
/// log was not read for that long, only the own zone counts as cut off.
/// @param liveness Last lease changes.
/// @param own_zone The controller's zone.
/// @param log_read_at Send time of the last read that reached the log's end.
/// @param now The time.
/// @return The zones.
[[nodiscard]] std::vector<core::ZoneName> CutOffZones(
    const ZoneLiveness& liveness, const core::ZoneName& own_zone,
    core::MonotonicTime log_read_at, core::MonotonicTime now);

/// @brief Chooses the zone whose lease holder writes the snapshots.
/// @param liveness Last lease changes.
/// @param own_zone The controller's zone.
/// @param log_read_at Send time of the last read that reached the log's end.
/// @param now The time.
/// @return The first zone by name that is not cut off, or nothing if all are.
[[nodiscard]] std::optional<core::ZoneName> LowestLiveZone(
    const ZoneLiveness& liveness, const core::ZoneName& own_zone,
    core::MonotonicTime log_read_at, core::MonotonicTime now);

/// @brief Collects the gateways from the membership view.
/// @param view The membership view.
/// @param indexes Services of the latest operator texts.
/// @return The gateways.
[[nodiscard]] std::vector<GatewayView> CollectGatewayViews(
    const membership::View& view, const demand::ServiceIndexes& indexes);

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_LIVENESS_HPP_
