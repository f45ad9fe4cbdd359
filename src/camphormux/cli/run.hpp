#ifndef CAMPHORMUX_CLI_RUN_HPP_
#define CAMPHORMUX_CLI_RUN_HPP_

#include <iosfwd>

#include "camphormux/cli/exit_code.hpp"
#include "camphormux/cli/options.hpp"

namespace camphormux::cli {

/// @brief Output streams of a command.
struct Streams {
  std::ostream& out;
  std::ostream& err;
};

/// @brief Executes a parsed command and blocks until it is done.
/// @param command The command.
/// @param streams Receive the results (out) and error messages (err).
/// @return The process's exit code.
[[nodiscard]] ExitCode Run(const Command& command, const Streams& streams);

}  // namespace camphormux::cli

#endif  // CAMPHORMUX_CLI_RUN_HPP_
