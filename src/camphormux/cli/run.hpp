#ifndef CAMPHORMUX_CLI_RUN_HPP_
#define CAMPHORMUX_CLI_RUN_HPP_

#include <iosfwd>

#include "camphormux/cli/exit_code.hpp"
#include "camphormux/cli/options.hpp"

namespace camphormux::cli {

/// @brief Where a verb writes.
struct Streams {
  std::ostream& out;
  std::ostream& err;
};

/// @brief Runs a parsed command to its end.
/// @param command The command.
/// @param streams Receive results and messages.
/// @return The process's exit code.
[[nodiscard]] ExitCode Run(const Command& command, const Streams& streams);

}  // namespace camphormux::cli

#endif  // CAMPHORMUX_CLI_RUN_HPP_
