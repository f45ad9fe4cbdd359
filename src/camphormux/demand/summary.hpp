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

/// @brief Load of one service at one gateway over the last second.
struct ServiceLoad {
  double arrivals_per_s = 0.0;
  double refused_per_s = 0.0;  ///< Arrivals that were refused.
  double queued = 0.0;         ///< Requests in the queue.
  double running = 0.0;        ///< Requests being served by endpoints.

  friend bool operator==(const ServiceLoad&, const ServiceLoad&) = default;
};

/// @brief Per-service load that a gateway reports to controllers in its
/// heartbeats.
struct Summary {
  std::map<core::ServiceName, ServiceLoad> services;

  friend bool operator==(const Summary&, const Summary&) = default;
};

/// @brief Encodes a summary as the payload of a heartbeat: a CBOR array of
/// version, digest of the service index, encoding and a byte string; later
/// versions append elements. Values are rounded to tenths; if the payload would
/// exceed `max_bytes`, to 0.3% (arrivals, running) and 3.3% (refused, queued).
/// Services without load are omitted; if the payload is still too large, the
/// services with the least load are omitted as well.
/// @param summary The summary; services that are not in the index are omitted.
/// @param index Index of the operator text in force.
/// @param max_bytes Largest payload in bytes.
/// @return CBOR of at most `max_bytes` bytes.
[[nodiscard]] std::string EncodeSummary(const Summary& summary,
                                        const ServiceIndex& index,
                                        std::size_t max_bytes);

/// @brief Decodes the payload of a gateway's heartbeat. Accepts this version
/// and the previous one, which has service names instead of positions.
/// @param payload The bytes; elements that a later version appends are ignored.
/// @param indexes Indexes of the latest operator texts.
/// @return The summary, or nothing if the bytes are malformed or were encoded
/// with an index that is not among `indexes`.
[[nodiscard]] std::optional<Summary> DecodeSummary(
    std::string_view payload, const ServiceIndexes& indexes);

}  // namespace camphormux::demand

#endif  // CAMPHORMUX_DEMAND_SUMMARY_HPP_
