#ifndef CAMPHORMUX_DEMAND_SUMMARY_HPP_
#define CAMPHORMUX_DEMAND_SUMMARY_HPP_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "camphormux/core/ids.hpp"

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

/// @brief Encodes a summary as the payload of a heartbeat. Figures are rounded
/// to tenths; services without load are left out, then those with the least.
/// @param summary The summary.
/// @param max_bytes Bound of the payload.
/// @return CBOR of at most `max_bytes`.
[[nodiscard]] std::string EncodeSummary(const Summary& summary,
                                        std::size_t max_bytes);

/// @brief Decodes the payload of a gateway's heartbeat.
/// @param payload The bytes; elements that a later version appends are ignored.
/// @return The summary, or nothing if the bytes are malformed.
[[nodiscard]] std::optional<Summary> DecodeSummary(std::string_view payload);

}  // namespace camphormux::demand

#endif  // CAMPHORMUX_DEMAND_SUMMARY_HPP_
