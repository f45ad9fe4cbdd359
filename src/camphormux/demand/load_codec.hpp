#ifndef CAMPHORMUX_DEMAND_LOAD_CODEC_HPP_
#define CAMPHORMUX_DEMAND_LOAD_CODEC_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "camphormux/demand/summary.hpp"

namespace camphormux::demand::internal {

/// @brief The load of one service, identified by its position in a
/// ServiceIndex.
struct IndexedLoad {
  std::uint64_t index_position = 0;
  ServiceLoad load;
};

/// Positions must be below this; a payload with a larger one is malformed.
inline constexpr std::uint64_t kMaxServices = 1 << 16;

/// @brief Encodes load values as variable-length whole tenths.
/// @param loads In ascending order of positions.
/// @return The encoded bytes.
[[nodiscard]] std::string EncodeExact(const std::vector<IndexedLoad>& loads);

/// @brief Encodes load values on logarithmic scales: arrivals and running
/// requests in 12 bits with an error of at most 0.3%, refused and queued
/// requests in 8 bits with an error of at most 3.3%. Takes 6 bytes per service
/// if the positions are dense.
/// @param loads In ascending order of positions.
/// @return The encoded bytes.
[[nodiscard]] std::string EncodeRounded(const std::vector<IndexedLoad>& loads);

/// @brief Decodes the output of EncodeExact() or EncodeRounded().
/// @param data The encoded bytes.
/// @param rounded Whether EncodeRounded() made the bytes.
/// @return The loads, or nothing if the bytes are malformed.
[[nodiscard]] std::optional<std::vector<IndexedLoad>> DecodeLoads(
    std::string_view data, bool rounded);

}  // namespace camphormux::demand::internal

#endif  // CAMPHORMUX_DEMAND_LOAD_CODEC_HPP_
