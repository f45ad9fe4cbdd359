#include "camphormux/settings/reader.hpp"

#include <gtest/gtest.h>

namespace camphormux::settings {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

IniFile ParseValid(std::string_view text) {
  auto file = ParseIni("test.ini", text);
  EXPECT_TRUE(file.has_value());
  return file.has_value() ? file.value() : IniFile{};
}

// Guards against a program that reports only the first problem of its settings.
TEST(ReaderTest, ReportsAllProblemsWithTheirLines) {
  const IniFile file = ParseValid(
      "[process]\nid = a\ntimeout = 5\n\n[listen]\naddress = localhost:1\n"
      "speed = 3\n");
  Reader reader{&file, {}, {}};
  EXPECT_EQ(ReadText(reader, "process", "id"), "a");
  ReadDuration(reader, "process", "timeout", milliseconds(1), hours(1));
  ReadAddress(reader, "listen", "address");
  ReadInteger(reader, "listen", "threads", 1, 8);
  RejectUnknownKeys(reader);
  ASSERT_EQ(reader.problems.size(), 4U);
  EXPECT_EQ(reader.problems[0].line, 3);
  EXPECT_EQ(reader.problems[1].line, 6);
  EXPECT_EQ(reader.problems[2].key, "listen.threads");
  EXPECT_EQ(reader.problems[3].key, "listen.speed");
  EXPECT_EQ(reader.problems[3].expected, "a known key");
}

// Guards against guessed units and overflow.
TEST(ReaderTest, ParsesOnlyDurationsWithUnits) {
  EXPECT_EQ(ParseDuration("250ms"), milliseconds(250));
  EXPECT_EQ(ParseDuration("3 s"), seconds(3));
  EXPECT_EQ(ParseDuration("21d"), hours(21 * 24));
  EXPECT_EQ(ParseDuration("3"), std::nullopt);
  EXPECT_EQ(ParseDuration("-3s"), std::nullopt);
  EXPECT_EQ(ParseDuration("3w"), std::nullopt);
  EXPECT_EQ(ParseDuration("9223372036854775807d"), std::nullopt);
}

// Guards against host names in addresses and against invalid ports.
TEST(ReaderTest, ParsesOnlyNumericAddresses) {
  EXPECT_EQ(ParseAddress("127.0.0.1:80"), (core::Address{"127.0.0.1", 80}));
  EXPECT_EQ(ParseAddress("[::1]:80"), (core::Address{"::1", 80}));
  EXPECT_EQ(ParseAddress("localhost:80"), std::nullopt);
  EXPECT_EQ(ParseAddress("127.0.0.1:0"), std::nullopt);
  EXPECT_EQ(ParseAddress("127.0.0.1:65536"), std::nullopt);
  EXPECT_EQ(ParseAddress("::1:80"), std::nullopt);
}

// Guards against long lists that do not fit on one line.
TEST(IniTest, JoinsIndentedLinesToPrecedingValue) {
  const IniFile file = ParseValid("[s]\nlist = a,\n  b,\n  c\nother = 1\n");
  ASSERT_EQ(file.entries.size(), 2U);
  EXPECT_EQ(SplitList(file.entries[0].value),
            (std::vector<std::string>{"a", "b", "c"}));
  EXPECT_EQ(file.entries[0].line, 2);
}

// Guards against a value that silently replaces an earlier one.
TEST(IniTest, RejectsDuplicateKeysAndMalformedLines) {
  const auto duplicate = ParseIni("a.ini", "[s]\nk = 1\nk = 2\n");
  ASSERT_FALSE(duplicate.has_value());
  EXPECT_EQ(duplicate.error()[0].line, 3);
  const auto malformed = ParseIni("a.ini", "[s]\nno value here\n");
  ASSERT_FALSE(malformed.has_value());
  EXPECT_EQ(malformed.error()[0].line, 2);
}

}  // namespace
}  // namespace camphormux::settings
