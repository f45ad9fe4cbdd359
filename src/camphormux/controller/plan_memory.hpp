#ifndef CAMPHORMUX_CONTROLLER_PLAN_MEMORY_HPP_
#define CAMPHORMUX_CONTROLLER_PLAN_MEMORY_HPP_

#include <optional>
#include <set>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/maintenance/maintenance.hpp"
#include "camphormux/moves/moves.hpp"
#include "camphormux/sizing/sizing.hpp"

namespace camphormux::controller {

/// @brief Sizes, moves and maintenance of one planning run.
struct Plan {
  sizing::Sizes sizes;
  moves::MoveDecision moves;
  maintenance::MaintenanceDecision maintenance;
};

/// @brief State that planning keeps between steps. A new lease holder rebuilds
/// it.
struct PlanMemory {
  sizing::SizingState sizing;
  Plan last;
  std::optional<core::MonotonicTime> planned_at;
  core::Revision revision;  ///< Operator text that the last plan is based on.
  /// Hosts that may restart by the last plan.
  std::set<core::HostId> may_restart;
};

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_PLAN_MEMORY_HPP_
