#ifndef CAMPHORMUX_STATE_STATE_CODEC_HPP_
#define CAMPHORMUX_STATE_STATE_CODEC_HPP_

#include <string>
#include <string_view>

#include "camphormux/core/result.hpp"
#include "camphormux/state/codec.hpp"
#include "camphormux/state/fleet_state.hpp"

namespace camphormux::state {

/// @brief Encodes the whole state (CBOR). Equal states have equal bytes.
/// @param state The state.
/// @return The bytes.
[[nodiscard]] std::string EncodeState(const FleetState& state);

/// @brief Decodes the whole state.
/// @param data The bytes.
/// @return The state, or why the bytes are not one.
[[nodiscard]] core::Result<FleetState, DecodeError> DecodeState(
    std::string_view data);

/// @brief Computes the digest of encoded bytes.
/// @param data The bytes.
/// @return An xxHash64 value.
[[nodiscard]] std::uint64_t DigestBytes(std::string_view data);

}  // namespace camphormux::state

#endif  // CAMPHORMUX_STATE_STATE_CODEC_HPP_
