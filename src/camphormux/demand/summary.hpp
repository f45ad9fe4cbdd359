#ifndef CAMPHORMUX_DEMAND_SUMMARY_HPP_
#define CAMPHORMUX_DEMAND_SUMMARY_HPP_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "camphormux/core/ids.hpp"
#include "camphormux/demand/service_index.hpp"

namespace camphormux::demand {

/// @brief Load of one service at one gateway during the last second.
struct ServiceLoad {
  double arrivals_per_s = 0.0;
  double refused_per_s = 0.0;  ///< Part of the arrivals that was turned away.
  double queued = 0.0;         ///< Requests that wait.
  double running = 0.0;        ///< Requests at endpoints.

  friend bool operator==(const ServiceLoad&, const ServiceLoad&) = default;
};

/// @brief What a gateway tells controllers with its heartbeats.
struct Summary {
  std::map<core::ServiceName, ServiceLoad> services;

  friend bool operator==(const Summary&, const Summary&) = default;
};

/// @brief Encodes a summary as the payload of a heartbeat: a CBOR array of
/// version, digest of the service index, form and bytes; later versions append
/// elements. Figures are rounded to tenths; if that exceeds the bound, to 0.3%
/// (arrivals, running) and 3.3% (refused, queued). Services without load are
/// left out, then those with the least.
/// @param summary The summary; services that are not in the index are left out.
/// @param index Services of the operator text in force.
/// @param max_bytes Bound of the payload.
/// @return CBOR of at most `max_bytes`.
[[nodiscard]] std::string EncodeSummary(const Summary& summary,
                                        const ServiceIndex& index,
                                        std::size_t max_bytes);

/// @brief Decodes the payload of a gateway's heartbeat, of this version or the
/// one before, which has names instead of places.
/// @param payload The bytes; elements that a later version appends are ignored.
/// @param indexes Services of the latest texts.
/// @return The summary, or nothing if the bytes are malformed or made with
/// services that are not known here.
[[nodiscard]] std::optional<Summary> DecodeSummary(
    std::string_view payload, const ServiceIndexes& indexes);

}  // namespace camphormux::demand

#endif  // CAMPHORMUX_DEMAND_SUMMARY_HPP_
