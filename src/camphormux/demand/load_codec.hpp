#ifndef CAMPHORMUX_DEMAND_LOAD_CODEC_HPP_
#define CAMPHORMUX_DEMAND_LOAD_CODEC_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "camphormux/demand/summary.hpp"

namespace camphormux::demand::internal {

/// @brief The load of the service at a place of the index.
struct IndexedLoad {
  std::uint64_t index_position = 0;
  ServiceLoad load;
};

/// Places above this are malformed.
inline constexpr std::uint64_t kMaxServices = 1 << 16;

/// @brief Encodes figures as whole tenths in variable length.
/// @param loads In ascending order of places.
[[nodiscard]] std::string EncodeExact(const std::vector<IndexedLoad>& loads);

/// @brief Encodes figures on logarithmic scales: arrivals and running requests
/// within 0.3% in 12 bits, refused and queued ones within 3.3% in 8 bits. Takes
/// 6 bytes a service if the places are dense.
/// @param loads In ascending order of places.
[[nodiscard]] std::string EncodeRounded(const std::vector<IndexedLoad>& loads);

/// @brief Decodes what the functions above made.
/// @param data The bytes.
/// @param rounded Whether the figures are on logarithmic scales.
/// @return The loads, or nothing if the bytes are malformed.
[[nodiscard]] std::optional<std::vector<IndexedLoad>> DecodeLoads(
    std::string_view data, bool rounded);

}  // namespace camphormux::demand::internal

#endif  // CAMPHORMUX_DEMAND_LOAD_CODEC_HPP_
