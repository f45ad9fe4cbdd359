#include "camphormux/cli/line_diff.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace camphormux::cli {
namespace {

std::string Join(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines) {
    text += line + "\n";
  }
  return text;
}

std::string TextWithout(const std::vector<DiffLine>& diff, DiffKind excluded) {
  std::vector<std::string> lines;
  for (const DiffLine& line : diff) {
    if (line.kind != excluded) {
      lines.push_back(line.line);
    }
  }
  return Join(lines);
}

/// Few distinct lines, so that texts have many lines in common.
rc::Gen<std::vector<std::string>> Lines() {
  return rc::gen::container<std::vector<std::string>>(
      rc::gen::element<std::string>("a", "b", "c", ""));
}

// Guards against a diff that omits lines of either text or adds lines that are
// in neither.
RC_GTEST_PROP(LineDiffTest, PreservesBothTexts, ()) {
  const std::string before = Join(*Lines());
  const std::string after = Join(*Lines());
  const auto diff = DiffLines(before, after);
  RC_ASSERT(TextWithout(diff, DiffKind::kAdded) == before);
  RC_ASSERT(TextWithout(diff, DiffKind::kRemoved) == after);
}

// Guards against edits that do not turn the old text into the new one.
RC_GTEST_PROP(LineDiffTest, EditsProduceTheNewText, ()) {
  std::vector<std::string> lines = *Lines();
  const std::string before = Join(lines);
  const std::string after = Join(*Lines());
  for (const state::LineEdit& edit : ToEdits(DiffLines(before, after))) {
    const auto first = lines.begin() + edit.first_line;
    const auto place = lines.erase(first, first + edit.removed_lines);
    lines.insert(place, edit.added_lines.begin(), edit.added_lines.end());
  }
  RC_ASSERT(Join(lines) == after);
}

// Guards against a conflict message that omits the change in a long text.
TEST(LineDiffTest, ShowsChangesWithContext) {
  const std::string before = "1\n2\n3\n4\n5\n6\n7\n8\n9\n";
  const std::string after = "1\n2\n3\n4\n5\n6\nx\n8\n9\n";
  EXPECT_EQ(FormatDiff(DiffLines(before, after)),
            " 4\n 5\n 6\n-7\n+x\n 8\n 9\n");
  EXPECT_EQ(FormatDiff(DiffLines(before, before)), "");
}

}  // namespace
}  // namespace camphormux::cli
