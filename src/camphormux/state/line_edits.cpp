#include "camphormux/state/line_edits.hpp"

#include <cstddef>

namespace camphormux::state {
namespace internal {

std::vector<std::string> SplitLines(const std::string& text) {
  std::vector<std::string> lines;
  std::size_t start = 0;
  for (;;) {
    const std::size_t end = text.find('\n', start);
    if (end == std::string::npos) {
      lines.push_back(text.substr(start));
      return lines;
    }
    lines.push_back(text.substr(start, end - start));
    start = end + 1;
  }
}

std::string JoinLines(const std::vector<std::string>& lines) {
  std::string text;
  for (std::size_t i = 0; i < lines.size(); ++i) {
    if (i > 0) {
      text += '\n';
    }
    text += lines[i];
  }
  return text;
}

}  // namespace internal

std::optional<std::string> ApplyEdits(const std::string& base,
                                      const std::vector<LineEdit>& edits) {
  std::vector<std::string> lines = internal::SplitLines(base);
  std::size_t limit = lines.size();
  for (const LineEdit& edit : edits) {
    const std::size_t first = edit.first_line;
    const std::size_t last = first + edit.removed_lines;
    if (last > limit) {
      return std::nullopt;
    }
    const auto begin = lines.begin() + static_cast<std::ptrdiff_t>(first);
    const auto end = lines.begin() + static_cast<std::ptrdiff_t>(last);
    const auto position = lines.erase(begin, end);
    lines.insert(position, edit.added_lines.begin(), edit.added_lines.end());
    limit = first;
  }
  return internal::JoinLines(lines);
}

}  // namespace camphormux::state
