#ifndef CAMPHORMUX_TEXT_DIFF_HPP_
#define CAMPHORMUX_TEXT_DIFF_HPP_

#include <string>
#include <vector>

#include "camphormux/text/fleet_host.hpp"
#include "camphormux/text/operator_text.hpp"

namespace camphormux::text {

/// @brief A key whose value differs between two texts.
struct KeyChange {
  std::string key;     ///< Section and key.
  std::string before;  ///< Empty if the key is new.
  std::string after;   ///< Empty if the key is gone.

  friend bool operator==(const KeyChange&, const KeyChange&) = default;
};

/// @brief Hosts that a pool gains or loses at least because of a change.
struct PoolChange {
  core::PoolName pool;
  int hosts = 0;     ///< At present.
  int required = 0;  ///< By the new text, without regard to demand.

  friend bool operator==(const PoolChange&, const PoolChange&) = default;
};

/// @brief A service that has fewer hosts than the new text demands until
/// hosts moved.
struct UnderBudget {
  core::ServiceName service;
  int hosts = 0;
  int min_hosts = 0;

  friend bool operator==(const UnderBudget&, const UnderBudget&) = default;
};

/// @brief What a change of the text would do.
struct TextDiff {
  std::vector<KeyChange> keys;
  std::vector<PoolChange> pools;  ///< Pools that must gain or lose hosts.
  int hosts_moved = 0;            ///< Fewest moves that meet the new text.
  std::vector<UnderBudget> under_budget;
};

/// @brief Compares two texts over the present fleet.
/// @param before The text in force.
/// @param after The new text.
/// @param hosts All hosts with their present pools.
/// @return Changed keys and their effects.
[[nodiscard]] TextDiff DiffTexts(const OperatorText& before,
                                 const OperatorText& after,
                                 const std::vector<FleetHost>& hosts);

}  // namespace camphormux::text

#endif  // CAMPHORMUX_TEXT_DIFF_HPP_
