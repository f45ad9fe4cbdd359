#ifndef CAMPHORMUX_CLI_EXIT_CODE_HPP_
#define CAMPHORMUX_CLI_EXIT_CODE_HPP_

namespace camphormux::cli {

/// @brief Exit codes of the command line. Scripts depend on the numbers.
enum class ExitCode {
  kOk = 0,
  kFailure = 1,
  kUsage = 2,
  kTextInvalid = 3,
  kConflict = 4,
  kPlatformUnreachable = 5,
};

}  // namespace camphormux::cli

#endif  // CAMPHORMUX_CLI_EXIT_CODE_HPP_
