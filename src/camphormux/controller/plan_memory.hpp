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

/// @brief Sizes, moves and maintenance that were decided together.
struct Plan {
  sizing::Sizes sizes;
  moves::MoveDecision moves;
  maintenance::MaintenanceDecision maintenance;
};

/// @brief What planning remembers between steps; rebuilt by a new holder.
struct PlanMemory {
  sizing::SizingState sizing;
  Plan last;
  std::optional<core::MonotonicTime> planned_at;
  core::Revision revision;  ///< Of the text that the last plan follows.
  std::set<core::HostId> may_restart;  ///< Of the last plan.
};

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_PLAN_MEMORY_HPP_
