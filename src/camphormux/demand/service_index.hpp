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

/// @brief The services of an operator text, sorted by name. Summaries refer to
/// a service by its position in this list, which takes one byte instead of a
/// whole name.
struct ServiceIndex {
  std::vector<core::ServiceName> names;
  /// Hash of the names. Positions are valid only for a reader whose index has
  /// the same digest.
  std::uint32_t digest = 0;
};

/// @brief Builds the index of a list of services.
/// @param names The service names in ascending order.
/// @return The index with its digest.
[[nodiscard]] ServiceIndex MakeServiceIndex(
    std::vector<core::ServiceName> names);

/// Number of indexes kept. During a roll-out, some gateways have not read the
/// latest text yet; their summaries use an older index.
inline constexpr std::size_t kMaxIndexes = 4;

/// @brief The indexes of the latest operator texts, newest first.
struct ServiceIndexes {
  std::deque<ServiceIndex> known;
  core::Revision revision;  ///< Revision of the newest text.
};

/// @brief Adds the index of the accepted text and drops the oldest index above
/// the limit. Does nothing if the revision is already known.
/// @param indexes The indexes; updated.
/// @param text The accepted operator text.
void UpdateIndexes(ServiceIndexes& indexes, const state::AcceptedText& text);

}  // namespace camphormux::demand

#endif  // CAMPHORMUX_DEMAND_SERVICE_INDEX_HPP_
