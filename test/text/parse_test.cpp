#include "camphormux/text/parse.hpp"

#include <fstream>
#include <iterator>

#include <gtest/gtest.h>

namespace camphormux::text {
namespace {

std::string ReadExample(const std::string& deployment) {
  std::ifstream file(std::string(EXAMPLES_DIR) + "/" + deployment +
                     "/fleet.ini");
  return {std::istreambuf_iterator<char>(file), {}};
}

// Guards against examples that operators cannot publish.
TEST(ParseOperatorTextTest, AcceptsTheExamples) {
  for (const char* deployment : {"tazi", "brushwick"}) {
    const auto text = ParseOperatorText("fleet.ini", ReadExample(deployment));
    if (!text.has_value()) {
      for (const auto& problem : text.error()) {
        ADD_FAILURE() << settings::Describe(problem);
      }
      continue;
    }
    EXPECT_EQ(text.value().deployment, deployment);
    EXPECT_EQ(text.value().services.size(), 5U);
  }
}

// Guards against a text that refers to what it does not define.
TEST(ParseOperatorTextTest, ReportsEveryBrokenReference) {
  const auto text = ParseOperatorText("bad.ini",
                                      "[deployment]\n"
                                      "name = x\n"
                                      "spare_pool = nowhere\n"
                                      "[zone a]\n"
                                      "region = r\n"
                                      "[service s]\n"
                                      "depends_on = t:0.5\n"
                                      "zones = b\n"
                                      "colour = red\n");
  ASSERT_FALSE(text.has_value());
  ASSERT_EQ(text.error().size(), 4U);
  EXPECT_EQ(text.error()[0].key, "service s.depends_on");
  EXPECT_EQ(text.error()[1].key, "service s.zones");
  EXPECT_EQ(text.error()[2].key, "deployment.spare_pool");
  EXPECT_EQ(text.error()[3].key, "service s.colour");
}

// Guards against a request that runs twice because its pattern was missed.
TEST(IsNonRepeatableTest, MatchesMethodAndPrefix) {
  Service service;
  service.non_repeatable = {{"POST", "/holds"}, {"*", "/recipes"}};
  EXPECT_TRUE(IsNonRepeatable(service, "POST", "/holds/7"));
  EXPECT_FALSE(IsNonRepeatable(service, "GET", "/holds/7"));
  EXPECT_TRUE(IsNonRepeatable(service, "PUT", "/recipes"));
}

}  // namespace
}  // namespace camphormux::text
