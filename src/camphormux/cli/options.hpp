#ifndef CAMPHORMUX_CLI_OPTIONS_HPP_
#define CAMPHORMUX_CLI_OPTIONS_HPP_

#include <optional>
#include <string>
#include <vector>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/result.hpp"
#include "camphormux/core/units.hpp"

namespace camphormux::cli {

enum class Verb { kCheck, kDiff, kPublish, kStatus, kExplain, kHistory };

enum class Output { kText, kJson };

/// @brief A parsed command line.
struct Command {
  std::optional<Verb> verb;  ///< Empty for the general help.
  bool help = false;
  std::string file;          ///< Of `check`, `diff` and `publish`.
  std::string subject_kind;  ///< Of `explain`: service, host or job.
  std::string subject_name;  ///< Of `explain`.
  std::optional<core::Address> platform;
  std::optional<core::Address> controller;
  Output output = Output::kText;
  std::string author;
  std::optional<core::Revision> base;
  /// Of `publish`: a controller that waits for a state because it is lost.
  std::optional<core::Address> bootstrap;
};

/// @brief Why a command line is invalid.
struct UsageError {
  std::string message;
};

/// @brief Parses the arguments after the program's name.
/// @param arguments The arguments.
/// @return The command, or the first error in the arguments.
[[nodiscard]] core::Result<Command, UsageError> ParseArguments(
    const std::vector<std::string>& arguments);

/// @brief Formats the help text.
/// @param verb The verb, or nothing for the general help.
/// @return The text with line breaks.
[[nodiscard]] std::string Usage(std::optional<Verb> verb);

}  // namespace camphormux::cli

#endif  // CAMPHORMUX_CLI_OPTIONS_HPP_
