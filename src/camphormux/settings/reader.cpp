#include "camphormux/settings/reader.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

#include <arpa/inet.h>

namespace camphormux::settings {
namespace internal {

struct Unit {
  std::string_view suffix;
  std::int64_t factor;
};

constexpr std::array<Unit, 5> kDurationUnits{{{"ms", 1},
                                              {"s", 1000},
                                              {"m", 60 * 1000},
                                              {"h", 60 * 60 * 1000},
                                              {"d", 24 * 60 * 60 * 1000}}};
constexpr std::array<Unit, 4> kSizeUnits{{{"B", 1},
                                          {"KiB", std::int64_t{1} << 10},
                                          {"MiB", std::int64_t{1} << 20},
                                          {"GiB", std::int64_t{1} << 30}}};

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kSpace = " \t\r\n";
  const std::size_t first = text.find_first_not_of(kSpace);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kSpace) - first + 1);
}

template <typename T>
std::optional<T> ParseNumber(std::string_view text) {
  T number{};
  const char* end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc{} || last != end) {
    return std::nullopt;
  }
  return number;
}

/// Parses an integer that is followed by one of the units, and multiplies it by
/// the unit's factor.
template <std::size_t N>
std::optional<std::int64_t> ParseAmount(std::string_view text,
                                        const std::array<Unit, N>& units) {
  const std::size_t digits = text.find_first_not_of("0123456789");
  if (digits == 0 || digits == std::string_view::npos) {
    return std::nullopt;
  }
  const auto number = ParseNumber<std::int64_t>(text.substr(0, digits));
  const std::string_view suffix = Trim(text.substr(digits));
  const auto unit = std::find_if(
      units.begin(), units.end(),
      [suffix](const Unit& candidate) { return candidate.suffix == suffix; });
  if (!number || unit == units.end()) {
    return std::nullopt;
  }
  if (*number > std::numeric_limits<std::int64_t>::max() / unit->factor) {
    return std::nullopt;
  }
  return *number * unit->factor;
}

/// Reads a value with `parse` and checks its bounds.
template <typename T, typename Parse>
T ReadBounded(Reader& reader, std::string_view section, std::string_view key,
              T low, T high, std::optional<T> fallback, Parse parse,
              const std::string& expected) {
  const IniEntry* entry = Find(reader, section, key);
  if (entry == nullptr) {
    if (!fallback) {
      RejectMissing(reader, section, key, expected);
    }
    return fallback.value_or(low);
  }
  const std::optional<T> parsed = parse(entry->value);
  if (!parsed || *parsed < low || high < *parsed) {
    Reject(reader, *entry, expected);
    return low;
  }
  return *parsed;
}

}  // namespace internal

const IniEntry* Find(Reader& reader, std::string_view section,
                     std::string_view key) {
  reader.used.emplace(section, key);
  const auto& entries = reader.file->entries;
  const auto found =
      std::find_if(entries.begin(), entries.end(), [&](const IniEntry& entry) {
        return entry.section == section && entry.key == key;
      });
  return found == entries.end() ? nullptr : &*found;
}

void Reject(Reader& reader, const IniEntry& entry, std::string expected) {
  reader.problems.push_back({reader.file->name, entry.line,
                             entry.section + "." + entry.key,
                             "'" + entry.value + "'", std::move(expected)});
}

void RejectMissing(Reader& reader, std::string_view section,
                   std::string_view key, std::string expected) {
  reader.problems.push_back({reader.file->name, 0,
                             std::string(section).append(".").append(key),
                             "no such key", std::move(expected)});
}

std::string ReadText(Reader& reader, std::string_view section,
                     std::string_view key,
                     const std::optional<std::string>& fallback) {
  const IniEntry* entry = Find(reader, section, key);
  if (entry != nullptr && !entry->value.empty()) {
    return entry->value;
  }
  if (entry != nullptr) {
    Reject(reader, *entry, "non-empty text");
  } else if (!fallback) {
    RejectMissing(reader, section, key, "non-empty text");
  }
  return fallback.value_or("");
}

std::int64_t ReadInteger(Reader& reader, std::string_view section,
                         std::string_view key, std::int64_t low,
                         std::int64_t high,
                         std::optional<std::int64_t> fallback) {
  return internal::ReadBounded<std::int64_t>(
      reader, section, key, low, high, fallback,
      internal::ParseNumber<std::int64_t>,
      "an integer from " + std::to_string(low) + " to " + std::to_string(high));
}

double ReadReal(Reader& reader, std::string_view section, std::string_view key,
                double low, double high, std::optional<double> fallback) {
  return internal::ReadBounded<double>(
      reader, section, key, low, high, fallback, internal::ParseNumber<double>,
      "a number from " + std::to_string(low) + " to " + std::to_string(high));
}

core::Millis ReadDuration(Reader& reader, std::string_view section,
                          std::string_view key, core::Millis low,
                          core::Millis high,
                          std::optional<core::Millis> fallback) {
  return internal::ReadBounded<core::Millis>(
      reader, section, key, low, high, fallback, ParseDuration,
      "a duration from " + std::to_string(low.count()) + "ms to " +
          std::to_string(high.count()) + "ms with a unit (ms, s, m, h, d)");
}

core::Bytes ReadSize(Reader& reader, std::string_view section,
                     std::string_view key, core::Bytes low, core::Bytes high,
                     std::optional<core::Bytes> fallback) {
  const auto parse = [](std::string_view text) -> std::optional<core::Bytes> {
    const auto amount = internal::ParseAmount(text, internal::kSizeUnits);
    return amount ? std::optional(core::Bytes{*amount}) : std::nullopt;
  };
  return internal::ReadBounded<core::Bytes>(
      reader, section, key, low, high, fallback, parse,
      "a size from " + std::to_string(low.value) + "B to " +
          std::to_string(high.value) + "B with a unit (B, KiB, MiB, GiB)");
}

core::Address ReadAddress(Reader& reader, std::string_view section,
                          std::string_view key) {
  constexpr const char* kExpected =
      "an IP address and a port such as 127.0.0.1:80";
  const IniEntry* entry = Find(reader, section, key);
  if (entry == nullptr) {
    RejectMissing(reader, section, key, kExpected);
    return {};
  }
  const std::optional<core::Address> address = ParseAddress(entry->value);
  if (!address) {
    Reject(reader, *entry, kExpected);
  }
  return address.value_or(core::Address{});
}

core::Address ReadAddressOr(Reader& reader, std::string_view section,
                            std::string_view key,
                            const core::Address& fallback) {
  return Find(reader, section, key) == nullptr
             ? fallback
             : ReadAddress(reader, section, key);
}

std::string ReadOptionalIp(Reader& reader, std::string_view section,
                           std::string_view key) {
  const IniEntry* entry = Find(reader, section, key);
  if (entry == nullptr) {
    return "";
  }
  const bool v6 = entry->value.find(':') != std::string::npos;
  if (!ParseAddress((v6 ? "[" + entry->value + "]" : entry->value) + ":1")) {
    Reject(reader, *entry, "an IP address such as 127.0.0.1");
    return "";
  }
  return entry->value;
}

std::vector<core::Address> ReadAddresses(Reader& reader,
                                         std::string_view section,
                                         std::string_view key) {
  std::vector<core::Address> addresses;
  const IniEntry* entry = Find(reader, section, key);
  if (entry == nullptr) {
    return addresses;
  }
  for (const std::string& item : SplitList(entry->value)) {
    const std::optional<core::Address> address = ParseAddress(item);
    if (!address) {
      Reject(reader, *entry, "IP addresses with ports, separated by commas");
      return {};
    }
    addresses.push_back(*address);
  }
  return addresses;
}

std::size_t ReadChoice(Reader& reader, std::string_view section,
                       std::string_view key,
                       const std::vector<std::string>& words,
                       std::optional<std::size_t> fallback) {
  std::string expected = "one of";
  for (const std::string& word : words) {
    expected += " " + word;
  }
  const IniEntry* entry = Find(reader, section, key);
  if (entry == nullptr) {
    if (!fallback) {
      RejectMissing(reader, section, key, expected);
    }
    return fallback.value_or(0);
  }
  const auto found = std::find(words.begin(), words.end(), entry->value);
  if (found == words.end()) {
    Reject(reader, *entry, expected);
    return 0;
  }
  return static_cast<std::size_t>(found - words.begin());
}

void RejectUnknownKeys(Reader& reader) {
  for (const IniEntry& entry : reader.file->entries) {
    if (!reader.used.contains({entry.section, entry.key})) {
      Reject(reader, entry, "a known key");
    }
  }
}

std::vector<std::string> SplitList(std::string_view text) {
  std::vector<std::string> items;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    const std::string_view item = internal::Trim(text.substr(0, comma));
    if (!item.empty()) {
      items.emplace_back(item);
    }
    if (comma == std::string_view::npos) {
      break;
    }
    text.remove_prefix(comma + 1);
  }
  return items;
}

std::optional<core::Millis> ParseDuration(std::string_view text) {
  const auto amount = internal::ParseAmount(text, internal::kDurationUnits);
  return amount ? std::optional(core::Millis{*amount}) : std::nullopt;
}

std::optional<core::Address> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string ip{text.substr(0, colon)};
  const bool bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
  if (bracketed) {
    ip = ip.substr(1, ip.size() - 2);
  }
  std::array<unsigned char, sizeof(in6_addr)> binary{};
  const int family = bracketed ? AF_INET6 : AF_INET;
  const auto port =
      internal::ParseNumber<std::uint16_t>(text.substr(colon + 1));
  if (!port || *port == 0 ||
      inet_pton(family, ip.c_str(), binary.data()) != 1) {
    return std::nullopt;
  }
  return core::Address{std::move(ip), *port};
}

}  // namespace camphormux::settings
