#ifndef CAMPHORMUX_CLI_LINE_DIFF_HPP_
#define CAMPHORMUX_CLI_LINE_DIFF_HPP_

#include <string>
#include <string_view>
#include <vector>

#include "camphormux/state/records.hpp"

namespace camphormux::cli {

enum class DiffKind { kSame, kRemoved, kAdded };

/// @brief One line of a comparison of two texts.
struct DiffLine {
  DiffKind kind = DiffKind::kSame;
  std::string line;

  friend bool operator==(const DiffLine&, const DiffLine&) = default;
};

/// @brief Compares two texts line by line.
/// @param before The old text.
/// @param after The new text.
/// @return All lines of both texts in order; unchanged lines appear once.
[[nodiscard]] std::vector<DiffLine> DiffLines(std::string_view before,
                                              std::string_view after);

/// @brief Formats the changed lines with up to 3 unchanged lines around them.
/// @param lines Result of DiffLines().
/// @return Lines that begin with "+", "-" or " "; empty if nothing changed.
[[nodiscard]] std::string FormatDiff(const std::vector<DiffLine>& lines);

/// @brief Converts a comparison to edits of the old text.
/// @param lines Result of DiffLines().
/// @return The edits in descending order of their line numbers, so that
/// applying one does not shift the lines of the next.
[[nodiscard]] std::vector<state::LineEdit> ToEdits(
    const std::vector<DiffLine>& lines);

}  // namespace camphormux::cli

#endif  // CAMPHORMUX_CLI_LINE_DIFF_HPP_
