#include "camphormux/text/delta.hpp"

#include <algorithm>
#include <limits>

namespace camphormux::text {
namespace internal {

using Lines = std::vector<std::string>;

/// Part of a text, as a range of lines.
struct Range {
  std::size_t begin = 0;
  std::size_t end = 0;

  [[nodiscard]] std::size_t size() const { return end - begin; }
};

/// Above this product of differing lines the middle is replaced as a whole;
/// the table of common lines would take more than 16 MB.
constexpr std::size_t kMaxTableCells = 4'000'000;

LineChange Replace(const Lines& target, Range old_range, Range new_range) {
  LineChange change;
  change.first_line = static_cast<std::uint32_t>(old_range.begin);
  change.removed_lines = static_cast<std::uint32_t>(old_range.size());
  change.added_lines.assign(
      target.begin() + static_cast<std::ptrdiff_t>(new_range.begin),
      target.begin() + static_cast<std::ptrdiff_t>(new_range.end));
  return change;
}

/// Lengths of the longest common subsequences of all pairs of suffixes.
std::vector<std::uint32_t> CommonTable(const Lines& base, const Lines& target,
                                       Range old_range, Range new_range) {
  const std::size_t width = new_range.size() + 1;
  std::vector<std::uint32_t> table((old_range.size() + 1) * width, 0);
  for (std::size_t i = old_range.size(); i-- > 0;) {
    for (std::size_t j = new_range.size(); j-- > 0;) {
      const bool equal =
          base[old_range.begin + i] == target[new_range.begin + j];
      table[i * width + j] = equal ? table[(i + 1) * width + j + 1] + 1
                                   : std::max(table[(i + 1) * width + j],
                                              table[i * width + j + 1]);
    }
  }
  return table;
}

/// Walks along the longest common subsequence and collects what lies between
/// its lines.
std::vector<LineChange> DiffMiddle(const Lines& base, const Lines& target,
                                   Range old_range, Range new_range) {
  const std::vector<std::uint32_t> table =
      CommonTable(base, target, old_range, new_range);
  const std::size_t width = new_range.size() + 1;
  std::vector<LineChange> changes;
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < old_range.size() || j < new_range.size()) {
    const std::size_t old_start = i;
    const std::size_t new_start = j;
    while (i < old_range.size() || j < new_range.size()) {
      const bool both = i < old_range.size() && j < new_range.size();
      if (both && base[old_range.begin + i] == target[new_range.begin + j]) {
        break;
      }
      const bool remove =
          j == new_range.size() ||
          (i < old_range.size() &&
           table[(i + 1) * width + j] >= table[i * width + j + 1]);
      ++(remove ? i : j);
    }
    if (i > old_start || j > new_start) {
      changes.push_back(
          Replace(target, {old_range.begin + old_start, old_range.begin + i},
                  {new_range.begin + new_start, new_range.begin + j}));
    }
    while (i < old_range.size() && j < new_range.size() &&
           base[old_range.begin + i] == target[new_range.begin + j]) {
      ++i;
      ++j;
    }
  }
  std::reverse(changes.begin(), changes.end());
  return changes;
}

}  // namespace internal

std::vector<std::string> SplitLines(std::string_view source) {
  std::vector<std::string> lines;
  std::size_t start = 0;
  for (std::size_t end = source.find('\n'); end != std::string_view::npos;
       end = source.find('\n', start)) {
    lines.emplace_back(source.substr(start, end - start));
    start = end + 1;
  }
  lines.emplace_back(source.substr(start));
  return lines;
}

std::vector<LineChange> ComputeDelta(std::string_view base,
                                     std::string_view target) {
  const internal::Lines old_lines = SplitLines(base);
  const internal::Lines new_lines = SplitLines(target);
  internal::Range old_range{0, old_lines.size()};
  internal::Range new_range{0, new_lines.size()};
  while (old_range.size() > 0 && new_range.size() > 0 &&
         old_lines[old_range.begin] == new_lines[new_range.begin]) {
    ++old_range.begin;
    ++new_range.begin;
  }
  while (old_range.size() > 0 && new_range.size() > 0 &&
         old_lines[old_range.end - 1] == new_lines[new_range.end - 1]) {
    --old_range.end;
    --new_range.end;
  }
  if (old_range.size() == 0 && new_range.size() == 0) {
    return {};
  }
  if ((old_range.size() + 1) * (new_range.size() + 1) >
      internal::kMaxTableCells) {
    return {internal::Replace(new_lines, old_range, new_range)};
  }
  return internal::DiffMiddle(old_lines, new_lines, old_range, new_range);
}

std::optional<std::string> ApplyDelta(std::string_view base,
                                      const std::vector<LineChange>& changes) {
  internal::Lines lines = SplitLines(base);
  std::size_t bound = lines.size();
  for (const LineChange& change : changes) {
    const std::size_t first = change.first_line;
    const std::size_t removed = change.removed_lines;
    if (first > bound || removed > bound - first) {
      return std::nullopt;
    }
    const auto begin = lines.begin() + static_cast<std::ptrdiff_t>(first);
    const auto position =
        lines.erase(begin, begin + static_cast<std::ptrdiff_t>(removed));
    lines.insert(position, change.added_lines.begin(),
                 change.added_lines.end());
    bound = first;
  }
  std::string result;
  for (std::size_t i = 0; i < lines.size(); ++i) {
    result += i == 0 ? "" : "\n";
    result += lines[i];
  }
  return result;
}

std::size_t EncodedSize(const std::vector<LineChange>& changes) {
  // Keys, line numbers and array heads of one change in CBOR.
  constexpr std::size_t kChangeOverhead = 48;
  constexpr std::size_t kLineOverhead = 3;
  std::size_t size = 0;
  for (const LineChange& change : changes) {
    size += kChangeOverhead;
    for (const std::string& line : change.added_lines) {
      size += kLineOverhead + line.size();
    }
  }
  return size;
}

}  // namespace camphormux::text
