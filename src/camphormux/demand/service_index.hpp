#ifndef CAMPHORMUX_DEMAND_SERVICE_INDEX_HPP_
#define CAMPHORMUX_DEMAND_SERVICE_INDEX_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/units.hpp"
#include "camphormux/state/fleet_state.hpp"

namespace camphormux::demand {

/// @brief The services of an operator text in the order of their names.
/// Summaries name a service by its place, which takes one byte instead of a
/// name.
struct ServiceIndex {
  std::vector<core::ServiceName> names;
  /// Of the names; a reader with other services must not use the places.
  std::uint32_t digest = 0;
};

/// @brief Makes the index of a list of services.
/// @param names The names in ascending order.
[[nodiscard]] ServiceIndex MakeServiceIndex(
    std::vector<core::ServiceName> names);

/// Index lists kept, so that summaries of gateways that have not read the
/// latest text yet can be decoded during a roll-out.
inline constexpr std::size_t kMaxIndexes = 4;

/// @brief The indexes of the latest texts, the newest first.
struct ServiceIndexes {
  std::deque<ServiceIndex> known;
  core::Revision revision;  ///< Of the newest.
};

/// @brief Takes in the accepted text; does nothing if it is known.
/// @param indexes The indexes.
/// @param text The text.
void UpdateIndexes(ServiceIndexes& indexes, const state::AcceptedText& text);

}  // namespace camphormux::demand

#endif  // CAMPHORMUX_DEMAND_SERVICE_INDEX_HPP_
