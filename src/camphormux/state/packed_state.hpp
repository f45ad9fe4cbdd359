#ifndef CAMPHORMUX_STATE_PACKED_STATE_HPP_
#define CAMPHORMUX_STATE_PACKED_STATE_HPP_

#include <cstddef>
#include <string>
#include <string_view>

#include "camphormux/core/result.hpp"
#include "camphormux/state/codec.hpp"
#include "camphormux/state/fleet_state.hpp"

namespace camphormux::state {

/// Most bytes of an encoded state before compression; some 60 times the state
/// of 5,000 hosts.
inline constexpr std::size_t kMaxStateBytes = std::size_t{64} << 20;

/// @brief Encodes the whole state and compresses it (zlib). Every process reads
/// every snapshot, and most of the encoded state is repeated names.
/// @param state The state.
/// @return A header that is no CBOR, so that readers without compression refuse
/// it, then the compressed bytes.
[[nodiscard]] std::string EncodePackedState(const FleetState& state);

/// @brief Decodes a state, compressed or plain.
/// @param data The bytes.
/// @return The state, or why the bytes are not one. Nothing above
/// `kMaxStateBytes`, or above what the length of `data` can hold, is expanded.
[[nodiscard]] core::Result<FleetState, DecodeError> DecodePackedState(
    std::string_view data);

}  // namespace camphormux::state

#endif  // CAMPHORMUX_STATE_PACKED_STATE_HPP_
