#include "camphormux/idempotency/key.hpp"

namespace camphormux::idempotency {
namespace internal {

constexpr std::size_t kTextLength = 36;

bool IsDash(std::size_t position) {
  return position == 8 || position == 13 || position == 18 || position == 23;
}

int HexDigit(char digit) {
  if (digit >= '0' && digit <= '9') {
    return digit - '0';
  }
  if (digit >= 'a' && digit <= 'f') {
    return digit - 'a' + 10;
  }
  if (digit >= 'A' && digit <= 'F') {
    return digit - 'A' + 10;
  }
  return -1;
}

}  // namespace internal

std::optional<Key> ParseKey(std::string_view text) {
  if (text.size() != internal::kTextLength) {
    return std::nullopt;
  }
  Key key;
  std::size_t nibble = 0;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (internal::IsDash(i)) {
      if (text[i] != '-') {
        return std::nullopt;
      }
      continue;
    }
    const int digit = internal::HexDigit(text[i]);
    if (digit < 0) {
      return std::nullopt;
    }
    std::uint8_t& byte = key.bytes[nibble / 2];
    byte = static_cast<std::uint8_t>((byte << 4) | digit);
    ++nibble;
  }
  const bool version_7 = (key.bytes[6] >> 4) == 7;
  const bool variant = (key.bytes[8] >> 6) == 2;
  return version_7 && variant ? std::optional(key) : std::nullopt;
}

std::string FormatKey(const Key& key) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const std::uint8_t byte : key.bytes) {
    if (internal::IsDash(text.size())) {
      text.push_back('-');
    }
    text.push_back(kDigits[byte >> 4]);
    text.push_back(kDigits[byte & 15]);
  }
  return text;
}

Key MakeKey(core::WallTime time, const std::array<std::uint8_t, 10>& random) {
  Key key;
  auto millis = static_cast<std::uint64_t>(time.time_since_epoch().count());
  for (std::size_t i = 6; i-- > 0;) {
    key.bytes[i] = static_cast<std::uint8_t>(millis & 0xff);
    millis >>= 8;
  }
  for (std::size_t i = 0; i < random.size(); ++i) {
    key.bytes[6 + i] = random[i];
  }
  key.bytes[6] = static_cast<std::uint8_t>((key.bytes[6] & 0x0f) | 0x70);
  key.bytes[8] = static_cast<std::uint8_t>((key.bytes[8] & 0x3f) | 0x80);
  return key;
}

core::WallTime KeyTime(const Key& key) {
  std::int64_t millis = 0;
  for (std::size_t i = 0; i < 6; ++i) {
    millis = (millis << 8) | key.bytes[i];
  }
  return core::WallTime(core::Millis(millis));
}

std::optional<KeyProblem> CheckAge(const Key& key, core::WallTime now) {
  const core::WallTime time = KeyTime(key);
  if (now - time > kKeyLifetime) {
    return KeyProblem::kExpired;
  }
  if (time - now > kMaxKeyLead) {
    return KeyProblem::kTooFarAhead;
  }
  return std::nullopt;
}

}  // namespace camphormux::idempotency
