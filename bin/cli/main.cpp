#include <iostream>
#include <string>
#include <vector>

#include "camphormux/cli/options.hpp"
#include "camphormux/cli/run.hpp"

int main(int argc, char** argv) {
  namespace cli = camphormux::cli;
  const auto command =
      cli::ParseArguments(std::vector<std::string>(argv + 1, argv + argc));
  if (!command.has_value()) {
    std::cerr << "camphormux: " << command.error().message << "\n";
    return static_cast<int>(cli::ExitCode::kUsage);
  }
  return static_cast<int>(cli::Run(command.value(), {std::cout, std::cerr}));
}
