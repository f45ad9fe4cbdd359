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

/// A key may be this far ahead of the log's clock, because the clocks of
/// callers differ.
inline constexpr core::Millis kMaxKeyLead = std::chrono::seconds(60);

/// @brief A UUIDv7. Keys are ordered by their time first.
struct Key {
  std::array<std::uint8_t, 16> bytes{};

  friend auto operator<=>(const Key&, const Key&) = default;
};

enum class KeyProblem { kExpired, kTooFarAhead };

/// @brief Parses the text form of a UUIDv7.
/// @param text 36 characters, hexadecimal digits in any case.
/// @return The key, or nothing if it is not a UUID of version 7.
[[nodiscard]] std::optional<Key> ParseKey(std::string_view text);

/// @brief Formats a key in lower case.
/// @param key The key.
/// @return 36 characters.
[[nodiscard]] std::string FormatKey(const Key& key);

/// @brief Makes a key from its parts, for callers and tests.
/// @param time The time it carries.
/// @param random Random bits, of which 74 are used.
/// @return The key.
[[nodiscard]] Key MakeKey(core::WallTime time,
                          const std::array<std::uint8_t, 10>& random);

/// @param key The key.
/// @return The time it carries.
[[nodiscard]] core::WallTime KeyTime(const Key& key);

/// @brief Checks a key's age.
/// @param key The key.
/// @param now The log's clock for a decision, or the own wall clock for an
/// early refusal.
/// @return Why the key must not run, or nothing.
[[nodiscard]] std::optional<KeyProblem> CheckAge(const Key& key,
                                                 core::WallTime now);

}  // namespace camphormux::idempotency

#endif  // CAMPHORMUX_IDEMPOTENCY_KEY_HPP_
