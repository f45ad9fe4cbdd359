#include "camphormux/cli/run.hpp"

#include <fstream>
#include <sstream>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "camphormux/cli/options.hpp"

namespace camphormux::cli {
namespace {

struct CheckOutput {
  ExitCode code;
  std::string out;
  std::string err;
};

CheckOutput Check(const std::string& text, Output output) {
  const std::string path = testing::TempDir() + "camphormux_run_test.ini";
  std::ofstream(path) << text;
  std::ostringstream out;
  std::ostringstream err;
  Command command;
  command.verb = Verb::kCheck;
  command.file = path;
  command.output = output;
  const ExitCode code = Run(command, {out, err});
  return {code, out.str(), err.str()};
}

// Guards against a check that accepts a text that no fleet can satisfy, and
// against JSON output that is mixed with other messages and does not parse.
TEST(RunTest, CheckReportsFindingsAndProblems) {
  const std::string valid =
      "[deployment]\nname = test\nspare_pool = web\n[zone a]\nregion = r\n"
      "[service web]\nmin_hosts = 1\n";
  const std::string cycle = valid +
                            "depends_on = api:1\n[service api]\nmin_hosts = 1\n"
                            "depends_on = web:1\n";
  EXPECT_EQ(Check(valid, Output::kText).code, ExitCode::kOk);
  const CheckOutput text = Check(cycle, Output::kText);
  EXPECT_EQ(text.code, ExitCode::kTextInvalid);
  EXPECT_NE(text.err.find("dependency"), std::string::npos) << text.err;
  const CheckOutput json = Check(cycle, Output::kJson);
  EXPECT_EQ(json.code, ExitCode::kTextInvalid);
  EXPECT_EQ(json.err, "");
  EXPECT_EQ(nlohmann::json::parse(json.out).at("findings").size(), 1U);
  const CheckOutput problem = Check(valid + "bad = 1\n", Output::kJson);
  EXPECT_EQ(problem.code, ExitCode::kTextInvalid);
  EXPECT_EQ(problem.err, "");
  EXPECT_EQ(nlohmann::json::parse(problem.out).at("problems").size(), 1U);
}

}  // namespace
}  // namespace camphormux::cli
