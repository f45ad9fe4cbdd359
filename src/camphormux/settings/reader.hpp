#ifndef CAMPHORMUX_SETTINGS_READER_HPP_
#define CAMPHORMUX_SETTINGS_READER_HPP_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "camphormux/core/time.hpp"
#include "camphormux/core/units.hpp"
#include "camphormux/settings/ini.hpp"

namespace camphormux::settings {

/// @brief Reads typed values from an INI file and collects every problem, so
/// that a program can report all of them at once.
struct Reader {
  const IniFile* file = nullptr;
  Problems problems;
  /// Section and key of each lookup.
  std::set<std::pair<std::string, std::string>> used;
};

/// @brief Looks up a key and marks it as known.
/// @param reader The reader.
/// @param section Section name.
/// @param key Key name.
/// @return The entry, or nullptr.
[[nodiscard]] const IniEntry* Find(Reader& reader, std::string_view section,
                                   std::string_view key);

/// @brief Records a problem with an entry.
/// @param reader The reader.
/// @param entry The invalid entry.
/// @param expected The allowed values.
void Reject(Reader& reader, const IniEntry& entry, std::string expected);

/// @brief Records that a mandatory key is missing.
/// @param reader The reader.
/// @param section Section name.
/// @param key Key name.
/// @param expected The allowed values.
void RejectMissing(Reader& reader, std::string_view section,
                   std::string_view key, std::string expected);

/// @brief Reads a text that is not empty.
/// @param reader The reader.
/// @param section Section name.
/// @param key Key name.
/// @param fallback Value if the key is absent; without one the key is
/// mandatory.
/// @return The value; empty after a problem.
std::string ReadText(Reader& reader, std::string_view section,
                     std::string_view key,
                     const std::optional<std::string>& fallback = std::nullopt);

/// @brief Reads an integer within bounds.
/// @param reader The reader.
/// @param section Section name.
/// @param key Key name.
/// @param low Lowest allowed value.
/// @param high Highest allowed value.
/// @param fallback Value if the key is absent.
/// @return The value; `low` after a problem.
std::int64_t ReadInteger(Reader& reader, std::string_view section,
                         std::string_view key, std::int64_t low,
                         std::int64_t high,
                         std::optional<std::int64_t> fallback = std::nullopt);

/// @brief Reads a real number within bounds.
/// @param reader The reader.
/// @param section Section name.
/// @param key Key name.
/// @param low Lowest allowed value.
/// @param high Highest allowed value.
/// @param fallback Value if the key is absent.
/// @return The value; `low` after a problem.
double ReadReal(Reader& reader, std::string_view section, std::string_view key,
                double low, double high,
                std::optional<double> fallback = std::nullopt);

/// @brief Reads a duration with its unit: ms, s, m, h or d.
/// @param reader The reader.
/// @param section Section name.
/// @param key Key name.
/// @param low Lowest allowed value.
/// @param high Highest allowed value.
/// @param fallback Value if the key is absent.
/// @return The value; `low` after a problem.
core::Millis ReadDuration(Reader& reader, std::string_view section,
                          std::string_view key, core::Millis low,
                          core::Millis high,
                          std::optional<core::Millis> fallback = std::nullopt);

/// @brief Reads a size with its unit: B, KiB, MiB or GiB.
/// @param reader The reader.
/// @param section Section name.
/// @param key Key name.
/// @param low Lowest allowed value.
/// @param high Highest allowed value.
/// @param fallback Value if the key is absent.
/// @return The value; `low` after a problem.
core::Bytes ReadSize(Reader& reader, std::string_view section,
                     std::string_view key, core::Bytes low, core::Bytes high,
                     std::optional<core::Bytes> fallback = std::nullopt);

/// @brief Reads an IP address with a port: "127.0.0.1:8080" or "[::1]:8080".
/// @param reader The reader.
/// @param section Section name.
/// @param key Key name.
/// @return The address; empty after a problem.
core::Address ReadAddress(Reader& reader, std::string_view section,
                          std::string_view key);

/// @brief Reads an IP address with a port; the key is optional.
/// @param reader The reader.
/// @param section Section name.
/// @param key Key name.
/// @param fallback Address if the key is absent.
/// @return The address; empty after a problem.
core::Address ReadAddressOr(Reader& reader, std::string_view section,
                            std::string_view key,
                            const core::Address& fallback);

/// @brief Reads an IP address without a port; the key is optional.
/// @param reader The reader.
/// @param section Section name.
/// @param key Key name.
/// @return The IP address; empty if the key is absent and after a problem.
std::string ReadOptionalIp(Reader& reader, std::string_view section,
                           std::string_view key);

/// @brief Reads a comma-separated list of addresses.
/// @param reader The reader.
/// @param section Section name.
/// @param key Key name.
/// @return The addresses; empty if the key is absent and after a problem.
std::vector<core::Address> ReadAddresses(Reader& reader,
                                         std::string_view section,
                                         std::string_view key);

/// @brief Reads one of several allowed words.
/// @param reader The reader.
/// @param section Section name.
/// @param key Key name.
/// @param words The allowed words; not empty.
/// @param fallback Index of the word to use if the key is absent.
/// @return Index into `words`; 0 after a problem.
std::size_t ReadChoice(Reader& reader, std::string_view section,
                       std::string_view key,
                       const std::vector<std::string>& words,
                       std::optional<std::size_t> fallback = std::nullopt);

/// @brief Records a problem for each entry that was never looked up.
/// @param reader The reader.
void RejectUnknownKeys(Reader& reader);

/// @brief Splits a comma-separated list and trims its items.
/// @param text The list.
/// @return The items that are not empty.
[[nodiscard]] std::vector<std::string> SplitList(std::string_view text);

/// @brief Parses a duration such as "250ms" or "21d".
/// @param text The text.
/// @return The duration, or nothing if the text is not a duration.
[[nodiscard]] std::optional<core::Millis> ParseDuration(std::string_view text);

/// @brief Parses "127.0.0.1:8080" or "[::1]:8080".
/// @param text The text.
/// @return The address, or nothing if the text is not an IP address and a port.
[[nodiscard]] std::optional<core::Address> ParseAddress(std::string_view text);

}  // namespace camphormux::settings

#endif  // CAMPHORMUX_SETTINGS_READER_HPP_
