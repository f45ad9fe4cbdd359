#ifndef CAMPHORMUX_CONTROLLER_PLAN_HPP_
#define CAMPHORMUX_CONTROLLER_PLAN_HPP_

#include "camphormux/controller/step.hpp"

namespace camphormux::controller {

/// Time between plans. Sizing smooths its values over samples of one second.
/// Released hosts are assigned in every step.
inline constexpr core::Millis kPlanPeriod = std::chrono::seconds(1);

/// @brief Plans pool sizes, moves and maintenance of the zone when the last
/// plan is `kPlanPeriod` old, and makes their records.
/// @param input State, observations and time. Operator text and host list must
/// be known.
/// @param memory The controller's step memory; stores the plan.
/// @param result Records are added to it. Its `missing` must be set.
void PlanZone(const StepInput& input, StepMemory& memory, StepResult& result);

/// @brief Sums the demand that the live gateways report.
/// @param gateways The gateways.
/// @return Demand of each service.
[[nodiscard]] std::map<core::ServiceName, sizing::DemandSample> SumDemand(
    const std::vector<GatewayView>& gateways);

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_PLAN_HPP_
