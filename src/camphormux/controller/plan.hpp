#ifndef CAMPHORMUX_CONTROLLER_PLAN_HPP_
#define CAMPHORMUX_CONTROLLER_PLAN_HPP_

#include "camphormux/controller/step.hpp"

namespace camphormux::controller {

/// Time between plans. Sizing smooths its figures over samples of a second.
/// Released hosts are assigned in every step.
inline constexpr core::Millis kPlanPeriod = std::chrono::seconds(1);

/// @brief Decides sizes, moves and maintenance of the zone when the last plan
/// is `kPlanPeriod` old, and makes their records.
/// @param input State, observations and time; text and list are known.
/// @param memory The step's memory; keeps the plan.
/// @param result Receives the records; its `missing` is set.
void PlanZone(const StepInput& input, StepMemory& memory, StepResult& result);

/// @brief Sums the load that the live gateways report.
/// @param gateways What is known of the gateways.
/// @return Demand for each service.
[[nodiscard]] std::map<core::ServiceName, sizing::DemandSample> SumDemand(
    const std::vector<GatewayView>& gateways);

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_PLAN_HPP_
