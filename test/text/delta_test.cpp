#include "camphormux/text/delta.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace camphormux::text {
namespace {

// Guards against edits that publish another text than the operator wrote.
RC_GTEST_PROP(DeltaTest, AppliesToTheTarget, ()) {
  const auto lines = rc::gen::container<std::string>(
      rc::gen::element('a', 'b', '\n', '\n', 'c'));
  const std::string base = *lines;
  const std::string target = *lines;
  const auto result = ApplyDelta(base, ComputeDelta(base, target));
  RC_ASSERT(result.has_value());
  RC_ASSERT(*result == target);
}

// Guards against a delta that repeats unchanged lines.
TEST(DeltaTest, KeepsUnchangedLines) {
  const auto changes = ComputeDelta("a\nb\nc\nd\ne\n", "a\nB\nc\ne\nf\n");
  const std::vector<LineChange> expected{
      {5, 0, {"f"}}, {3, 1, {}}, {1, 1, {"B"}}};
  EXPECT_EQ(changes, expected);
  EXPECT_TRUE(ComputeDelta("a\n", "a\n").empty());
}

// Guards against edits of another base that read past its end.
TEST(DeltaTest, RejectsChangesThatDoNotFit) {
  EXPECT_FALSE(ApplyDelta("a\nb", {{3, 0, {"x"}}}).has_value());
  EXPECT_FALSE(ApplyDelta("a\nb", {{1, 2, {}}}).has_value());
  EXPECT_FALSE(ApplyDelta("a\nb", {{0, 1, {}}, {1, 1, {}}}).has_value());
  EXPECT_EQ(ApplyDelta("a\nb", {{2, 0, {"c"}}}), "a\nb\nc");
}

}  // namespace
}  // namespace camphormux::text
