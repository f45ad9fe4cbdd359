#ifndef CAMPHORMUX_IDEMPOTENCY_KEY_HPP_
#define CAMPHORMUX_IDEMPOTENCY_KEY_HPP_

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "camphormux/core/time.hpp"

namespace camphormux::idempotency {

/// How long a key is remembered, counted from the time in the key.
inline constexpr core::Millis kKeyLifetime = std::chrono::minutes(15);

/// Furthest that a key's time may be ahead of the log's clock. Some lead is
/// permitted because the clocks of callers differ.
inline constexpr core::Millis kMaxKeyLead = std::chrono::seconds(60);

/// @brief An idempotency key, which is a UUIDv7. Keys order by their time
/// first.
struct Key {
  std::array<std::uint8_t, 16> bytes{};

  friend auto operator<=>(const Key&, const Key&) = default;
};

/// @brief Why a key's time is not accepted.
enum class KeyProblem { kExpired, kTooFarAhead };

/// @brief Parses the text form of a UUIDv7.
/// @param text 36 characters, hexadecimal digits in any case.
/// @return The key, or nothing if it is not a UUID of version 7.
[[nodiscard]] std::optional<Key> ParseKey(std::string_view text);

/// @brief Formats a key in lower case.
/// @param key The key.
/// @return 36 characters.
[[nodiscard]] std::string FormatKey(const Key& key);

/// @brief Makes a key from a time and random bits, for callers and tests.
/// @param time The key's time.
/// @param random 80 random bits, of which 74 are used.
/// @return The key.
[[nodiscard]] Key MakeKey(core::WallTime time,
                          const std::array<std::uint8_t, 10>& random);

/// @param key The key.
/// @return The time that the key contains.
[[nodiscard]] core::WallTime KeyTime(const Key& key);

/// @brief Checks whether a key's time is within the accepted range.
/// @param key The key.
/// @param now The log's clock when a claim is decided, or this process's wall
/// clock for an early rejection.
/// @return Why a request with the key must not run, or nothing.
[[nodiscard]] std::optional<KeyProblem> CheckAge(const Key& key,
                                                 core::WallTime now);

}  // namespace camphormux::idempotency

#endif  // CAMPHORMUX_IDEMPOTENCY_KEY_HPP_
