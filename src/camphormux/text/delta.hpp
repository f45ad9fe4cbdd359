#ifndef CAMPHORMUX_TEXT_DELTA_HPP_
#define CAMPHORMUX_TEXT_DELTA_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace camphormux::text {

/// @brief Replaces a range of lines of a base text.
struct LineChange {
  std::uint32_t first_line = 0;  ///< 0-based line of the base text.
  std::uint32_t removed_lines = 0;
  std::vector<std::string> added_lines;  ///< Without line ends.

  friend bool operator==(const LineChange&, const LineChange&) = default;
};

/// @brief Splits a text into lines. A text that ends with a line end has an
/// empty last line, so that joining the lines gives the text again.
/// @param source The text.
/// @return Its lines without line ends; at least one.
[[nodiscard]] std::vector<std::string> SplitLines(std::string_view source);

/// @brief Computes line changes between two texts; the fewest lines for
/// ordinary edits.
/// @param base The old text.
/// @param target The new text.
/// @return Changes in descending order of lines; empty for equal texts.
[[nodiscard]] std::vector<LineChange> ComputeDelta(std::string_view base,
                                                   std::string_view target);

/// @brief Applies line changes.
/// @param base The old text.
/// @param changes In descending order of lines, without overlap.
/// @return The new text, or nothing if a change does not fit the base text.
[[nodiscard]] std::optional<std::string> ApplyDelta(
    std::string_view base, const std::vector<LineChange>& changes);

/// @brief Size of changes on the log, to choose between delta and full text.
/// @param changes The changes.
/// @return Approximate bytes.
[[nodiscard]] std::size_t EncodedSize(const std::vector<LineChange>& changes);

}  // namespace camphormux::text

#endif  // CAMPHORMUX_TEXT_DELTA_HPP_
