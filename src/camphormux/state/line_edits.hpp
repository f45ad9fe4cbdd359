#ifndef CAMPHORMUX_STATE_LINE_EDITS_HPP_
#define CAMPHORMUX_STATE_LINE_EDITS_HPP_

#include <optional>
#include <string>
#include <vector>

#include "camphormux/state/records.hpp"

namespace camphormux::state {

/// @brief Applies line edits to a text. Lines are what stands between newline
/// characters; a text that ends with a newline has an empty last line.
/// @param base The text.
/// @param edits In descending order of lines, without overlap.
/// @return The edited text, or nothing if an edit is out of order or range.
[[nodiscard]] std::optional<std::string> ApplyEdits(
    const std::string& base, const std::vector<LineEdit>& edits);

}  // namespace camphormux::state

#endif  // CAMPHORMUX_STATE_LINE_EDITS_HPP_
