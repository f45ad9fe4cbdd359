#ifndef CAMPHORMUX_STATE_FOLD_HPP_
#define CAMPHORMUX_STATE_FOLD_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "camphormux/core/ids.hpp"
#include "camphormux/state/fleet_state.hpp"
#include "camphormux/state/records.hpp"

namespace camphormux::state {

/// @brief Applies one record. Deterministic: every reader of the log reaches
/// the same state at the same offset.
/// @param state The state; its `next` becomes the offset after `offset`.
/// @param record The decoded record.
/// @param offset Offset of the record; not below `state.next`.
/// @return Why the record was skipped, or nothing if it took effect.
[[nodiscard]] std::optional<std::string> Apply(FleetState& state,
                                               const Record& record,
                                               core::LogOffset offset);

/// @brief Applies the bytes of one log record, which may be a batch of several
/// records or not decodable at all.
/// @param state The state.
/// @param data The bytes as read from the log.
/// @param offset Offset of the record.
/// @return Why something was skipped, or nothing.
[[nodiscard]] std::optional<std::string> ApplyEncoded(FleetState& state,
                                                      std::string_view data,
                                                      core::LogOffset offset);

/// @brief Computes a digest of the whole state.
/// @param state The state.
/// @return An xxHash64 value; equal for equal states.
[[nodiscard]] std::uint64_t Digest(const FleetState& state);

/// @brief Digests of the parts of a state that rarely change.
struct DigestCache {
  std::optional<FleetMark> mark;
  std::optional<FleetMark> maintenance_mark;
  std::uint64_t fleet = 0;
  std::uint64_t maintenance = 0;
};

/// @brief The same with what is known from earlier calls. At 5,000 hosts nearly
/// all of the time goes into parts that did not change.
/// @param state The state; always of the same follower.
/// @param cache What earlier calls left.
/// @return The digest.
[[nodiscard]] std::uint64_t Digest(const FleetState& state, DigestCache& cache);

/// @brief Formats a digest for operators, who compare those of processes.
/// @param digest The digest.
/// @return 16 hexadecimal digits.
[[nodiscard]] std::string FormatDigest(std::uint64_t digest);

}  // namespace camphormux::state

#endif  // CAMPHORMUX_STATE_FOLD_HPP_
