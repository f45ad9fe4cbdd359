#include "camphormux/cli/line_diff.hpp"

#include <algorithm>
#include <cstdint>

namespace camphormux::cli {
namespace internal {

/// Above this number of table cells (64 MiB) the changed range of a text is
/// shown as replaced as a whole.
constexpr std::size_t kMaxTableCells = std::size_t{16} << 20;

/// Number of unchanged lines shown before and after a change.
constexpr std::size_t kContextLines = 3;

using Lines = std::vector<std::string>;

/// Splits at line breaks; a trailing line break adds no empty line.
Lines Split(std::string_view text) {
  Lines lines;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    lines.emplace_back(text.substr(0, end));
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
  }
  return lines;
}

void AppendLines(std::vector<DiffLine>& out, DiffKind kind, const Lines& lines,
                 std::size_t begin, std::size_t end) {
  for (std::size_t i = begin; i < end; ++i) {
    out.push_back({kind, lines[i]});
  }
}

/// Lengths of the longest common subsequences of all pairs of suffixes of two
/// texts, in lines.
struct SuffixTable {
  std::size_t columns;
  std::vector<std::uint32_t> cells;

  std::uint32_t& At(std::size_t row, std::size_t column) {
    return cells[row * columns + column];
  }
};

SuffixTable MakeSuffixTable(const Lines& before, const Lines& after) {
  SuffixTable table{after.size() + 1, {}};
  table.cells.resize((before.size() + 1) * table.columns);
  for (std::size_t i = before.size(); i-- > 0;) {
    for (std::size_t j = after.size(); j-- > 0;) {
      table.At(i, j) = before[i] == after[j]
                           ? table.At(i + 1, j + 1) + 1
                           : std::max(table.At(i + 1, j), table.At(i, j + 1));
    }
  }
  return table;
}

void DiffChangedRange(const Lines& before, const Lines& after,
                      std::vector<DiffLine>& out) {
  std::size_t i = 0;
  std::size_t j = 0;
  if ((before.size() + 1) * (after.size() + 1) <= kMaxTableCells) {
    SuffixTable table = MakeSuffixTable(before, after);
    while (i < before.size() && j < after.size()) {
      if (before[i] == after[j]) {
        out.push_back({DiffKind::kSame, before[i++]});
        ++j;
      } else if (table.At(i + 1, j) >= table.At(i, j + 1)) {
        out.push_back({DiffKind::kRemoved, before[i++]});
      } else {
        out.push_back({DiffKind::kAdded, after[j++]});
      }
    }
  }
  AppendLines(out, DiffKind::kRemoved, before, i, before.size());
  AppendLines(out, DiffKind::kAdded, after, j, after.size());
}

bool IsNearChange(const std::vector<DiffLine>& lines, std::size_t index) {
  const std::size_t begin = index < kContextLines ? 0 : index - kContextLines;
  const std::size_t end = std::min(lines.size(), index + kContextLines + 1);
  return std::any_of(
      lines.begin() + static_cast<std::ptrdiff_t>(begin),
      lines.begin() + static_cast<std::ptrdiff_t>(end),
      [](const DiffLine& line) { return line.kind != DiffKind::kSame; });
}

char PrefixOf(DiffKind kind) {
  switch (kind) {
    case DiffKind::kRemoved:
      return '-';
    case DiffKind::kAdded:
      return '+';
    case DiffKind::kSame:
      break;
  }
  return ' ';
}

}  // namespace internal

std::vector<DiffLine> DiffLines(std::string_view before,
                                std::string_view after) {
  const internal::Lines old_lines = internal::Split(before);
  const internal::Lines new_lines = internal::Split(after);
  const std::size_t shorter = std::min(old_lines.size(), new_lines.size());
  std::size_t head = 0;
  while (head < shorter && old_lines[head] == new_lines[head]) {
    ++head;
  }
  std::size_t tail = 0;
  while (tail < shorter - head && old_lines[old_lines.size() - 1 - tail] ==
                                      new_lines[new_lines.size() - 1 - tail]) {
    ++tail;
  }
  const auto middle = [&](const internal::Lines& lines) {
    return internal::Lines(lines.begin() + static_cast<std::ptrdiff_t>(head),
                           lines.end() - static_cast<std::ptrdiff_t>(tail));
  };
  std::vector<DiffLine> out;
  internal::AppendLines(out, DiffKind::kSame, old_lines, 0, head);
  internal::DiffChangedRange(middle(old_lines), middle(new_lines), out);
  internal::AppendLines(out, DiffKind::kSame, old_lines,
                        old_lines.size() - tail, old_lines.size());
  return out;
}

std::string FormatDiff(const std::vector<DiffLine>& lines) {
  std::string text;
  bool skipped = false;
  for (std::size_t i = 0; i < lines.size(); ++i) {
    if (!internal::IsNearChange(lines, i)) {
      skipped = true;
      continue;
    }
    if (skipped && !text.empty()) {
      text += "...\n";
    }
    skipped = false;
    text += internal::PrefixOf(lines[i].kind);
    text.append(lines[i].line).append("\n");
  }
  return text;
}

std::vector<state::LineEdit> ToEdits(const std::vector<DiffLine>& lines) {
  std::vector<state::LineEdit> edits;
  std::uint32_t old_line = 0;
  bool open = false;
  for (const DiffLine& line : lines) {
    if (line.kind == DiffKind::kSame) {
      ++old_line;
      open = false;
      continue;
    }
    if (!open) {
      edits.push_back({old_line, 0, {}});
      open = true;
    }
    if (line.kind == DiffKind::kRemoved) {
      ++edits.back().removed_lines;
      ++old_line;
    } else {
      edits.back().added_lines.push_back(line.line);
    }
  }
  std::reverse(edits.begin(), edits.end());
  return edits;
}

}  // namespace camphormux::cli
