#ifndef CAMPHORMUX_CONTROLLER_ASSIGNMENT_HPP_
#define CAMPHORMUX_CONTROLLER_ASSIGNMENT_HPP_

#include <map>

#include "camphormux/controller/step.hpp"
#include "camphormux/text/operator_text.hpp"

namespace camphormux::controller {

/// Hosts per pool within one zone.
using PoolSizes = std::map<core::PoolName, int>;

/// @brief Computes a zone's part of each service's `min_hosts`. The parts of
/// all zones of a service add up to `min_hosts`.
/// @param text The text in force.
/// @param zone The zone.
/// @return Hosts per pool.
[[nodiscard]] PoolSizes MinimumSizes(const text::OperatorText& text,
                                     const core::ZoneName& zone);

/// @brief Counts the zone's hosts that serve a pool or are on their way into
/// it or back to it.
/// @param input State, observations and time.
/// @return Hosts per pool.
[[nodiscard]] PoolSizes PresentSizes(const StepInput& input);

/// @brief Gives the zone's released hosts to pools: first to pools below
/// `wanted` by priority of their services, over different racks; the rest to
/// the spare pool.
/// @param input State, observations and time; a text is in force.
/// @param wanted Hosts per pool.
/// @param result Receives the records.
void AssignReleased(const StepInput& input, const PoolSizes& wanted,
                    StepResult& result);

/// @brief Drains hosts that leave the fleet and hosts of pools that the text
/// no longer has.
/// @param input State, observations and time; a text is in force.
/// @param result Receives the records.
void DrainHomeless(const StepInput& input, StepResult& result);

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_ASSIGNMENT_HPP_
