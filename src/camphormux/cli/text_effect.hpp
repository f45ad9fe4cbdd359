#ifndef CAMPHORMUX_CLI_TEXT_EFFECT_HPP_
#define CAMPHORMUX_CLI_TEXT_EFFECT_HPP_

#include <string>
#include <vector>

#include "camphormux/core/ids.hpp"
#include "camphormux/state/fleet_state.hpp"
#include "camphormux/text/operator_text.hpp"

namespace camphormux::cli {

/// @brief A service that gets fewer hosts than its text demands.
struct Shortage {
  core::ServiceName service;
  int wanted = 0;
  int possible = 0;

  friend bool operator==(const Shortage&, const Shortage&) = default;
};

/// @brief What a new text means for the hosts.
struct TextEffect {
  int moved_hosts = 0;  ///< Least number of hosts that change pools.
  std::vector<Shortage> shortages;
};

/// @brief Estimates the effect of a text on the present hosts. Hosts go to
/// services by priority up to `min_hosts`; the rest may stay where they are.
/// @param state The shared state.
/// @param text The new text.
/// @return The estimate.
[[nodiscard]] TextEffect EstimateEffect(const state::FleetState& state,
                                        const text::OperatorText& text);

}  // namespace camphormux::cli

#endif  // CAMPHORMUX_CLI_TEXT_EFFECT_HPP_
