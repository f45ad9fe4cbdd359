#ifndef CAMPHORMUX_SETTINGS_INI_HPP_
#define CAMPHORMUX_SETTINGS_INI_HPP_

#include <string>
#include <string_view>
#include <vector>

#include "camphormux/core/result.hpp"

namespace camphormux::settings {

/// @brief A problem in a settings file or an operator text.
struct Problem {
  std::string file;
  int line = 0;          ///< 1-based; 0 if the key is missing.
  std::string key;       ///< "section.key", or the section alone.
  std::string found;     ///< What the file contains.
  std::string expected;  ///< What is allowed.
};

/// @brief A key with its value and line.
struct IniEntry {
  std::string section;
  std::string key;
  std::string value;
  int line = 0;
};

/// @brief The entries of an INI text in the order of the file.
struct IniFile {
  std::string name;
  std::vector<IniEntry> entries;
};

using Problems = std::vector<Problem>;

/// @brief Parses an INI text. A line has fewer than 200 bytes; an indented line
/// continues the value above it.
/// @param name File name for messages.
/// @param text The text.
/// @return The entries, or one problem for each line that is not INI and each
/// duplicate key of a section.
[[nodiscard]] core::Result<IniFile, Problems> ParseIni(std::string name,
                                                       std::string_view text);

/// @brief Reads and parses an INI file.
/// @param path Path of the file.
/// @return The entries, or the problems; an unreadable file is one problem.
[[nodiscard]] core::Result<IniFile, Problems> ReadIniFile(
    const std::string& path);

/// @brief Formats a problem as one line.
/// @param problem The problem.
/// @return "file:line: key: found ..., expected ...".
[[nodiscard]] std::string Describe(const Problem& problem);

}  // namespace camphormux::settings

#endif  // CAMPHORMUX_SETTINGS_INI_HPP_
