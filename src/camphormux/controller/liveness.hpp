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

/// Time without a lease renewal after which a zone counts as cut off.
inline constexpr core::Millis kZoneCutOff = std::chrono::seconds(10);

/// @brief When things of the shared state were last seen to change.
struct ZoneLiveness {
  struct Zone {
    state::ZoneLease lease;
    core::MonotonicTime changed;
  };
  std::map<core::ZoneName, Zone> zones;
};

/// @brief Notes lease renewals of all zones.
/// @param state The shared state.
/// @param now The time.
/// @param watch Updated.
void UpdateZoneLiveness(const state::FleetState& state, core::MonotonicTime now,
                        ZoneLiveness& liveness);

/// @brief Lists the zones without a renewal for `kZoneCutOff`. If the log was
/// not read for that long, the own zone is the one that is cut off.
/// @param watch The watch.
/// @param own_zone The controller's zone.
/// @param log_read_at Last time the log's end was read.
/// @param now The time.
/// @return The zones.
[[nodiscard]] std::vector<core::ZoneName> CutOffZones(
    const ZoneLiveness& liveness, const core::ZoneName& own_zone,
    core::MonotonicTime log_read_at, core::MonotonicTime now);

/// @brief Names the zone whose owner writes the snapshots.
/// @param watch The watch.
/// @param own_zone The controller's zone.
/// @param log_read_at Last time the log's end was read.
/// @param now The time.
/// @return The lowest-named zone that is not cut off; nothing if none is left.
[[nodiscard]] std::optional<core::ZoneName> LowestLiveZone(
    const ZoneLiveness& liveness, const core::ZoneName& own_zone,
    core::MonotonicTime log_read_at, core::MonotonicTime now);

/// @brief Takes the gateways from the membership's view.
/// @param view The view.
/// @param indexes Services of the latest texts.
/// @return What is known of each gateway.
[[nodiscard]] std::vector<GatewayView> CollectGatewayViews(
    const membership::View& view, const demand::ServiceIndexes& indexes);

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_LIVENESS_HPP_
