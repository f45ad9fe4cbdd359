#include "camphormux/cli/options.hpp"

#include <gtest/gtest.h>

namespace camphormux::cli {
namespace {

// Guards against flags that are ignored after or before the operands.
TEST(OptionsTest, AcceptsFlagsAnywhere) {
  const auto command =
      ParseArguments({"--output=json", "publish", "fleet.ini", "--platform",
                      "127.0.0.1:80", "--base", "7", "--author", "amina"});
  ASSERT_TRUE(command.has_value()) << command.error().message;
  EXPECT_EQ(command.value().verb, Verb::kPublish);
  EXPECT_EQ(command.value().file, "fleet.ini");
  EXPECT_EQ(command.value().platform, (core::Address{"127.0.0.1", 80}));
  EXPECT_EQ(command.value().base, core::Revision{7});
  EXPECT_EQ(command.value().author, "amina");
  EXPECT_EQ(command.value().output, Output::kJson);
}

// Guards against an invalid command line that runs with default values.
TEST(OptionsTest, RejectsBadUsage) {
  const std::vector<std::vector<std::string>> cases{
      {},
      {"drain", "h1"},
      {"check"},
      {"check", "a", "b"},
      {"diff", "a"},
      {"status"},
      {"history", "--platform", "localhost:80"},
      {"history", "--platform"},
      {"check", "a", "--base", "x"},
      {"check", "a", "--output", "xml"},
      {"check", "a", "--colour", "no"},
      {"explain", "rack", "r1", "--controller", "127.0.0.1:80"}};
  for (const auto& arguments : cases) {
    EXPECT_FALSE(ParseArguments(arguments).has_value())
        << testing::PrintToString(arguments);
  }
}

// Guards against a verb whose help lacks its synopsis or exit codes.
TEST(OptionsTest, PrintsHelpForEachVerb) {
  for (const std::string verb :
       {"check", "diff", "publish", "status", "explain", "history"}) {
    const auto command = ParseArguments({verb, "--help"});
    ASSERT_TRUE(command.has_value());
    EXPECT_TRUE(command.value().help);
    const std::string text = Usage(command.value().verb);
    EXPECT_NE(text.find("usage: camphormux " + verb), std::string::npos);
    EXPECT_NE(text.find("Exit codes:"), std::string::npos);
  }
}

}  // namespace
}  // namespace camphormux::cli
