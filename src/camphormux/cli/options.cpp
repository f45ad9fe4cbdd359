#include "camphormux/cli/options.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

#include "camphormux/settings/reader.hpp"

namespace camphormux::cli {
namespace internal {

/// Arguments and help of a verb. `operands` is their number without the verb.
struct VerbSpec {
  Verb verb;
  std::string_view name;
  std::size_t operands;
  bool needs_platform;
  bool needs_controller;
  std::string_view synopsis;
  std::string_view description;
};

constexpr std::array kVerbs{
    VerbSpec{Verb::kCheck, "check", 1, false, false,
             "check FILE [--platform IP:PORT]",
             "Checks an operator text and prints every problem; with\n"
             "--platform also against the hosts of the fleet.\n"
             "Exit codes: 0 valid, 2 bad usage, 3 text invalid, 5 platform\n"
             "unreachable."},
    VerbSpec{
        Verb::kDiff, "diff", 1, true, false, "diff FILE --platform IP:PORT",
        "Compares FILE with the text in force: changed lines, the minimum\n"
        "number of hosts that move, and services with too few hosts.\n"
        "Exit codes: 0 ok, 3 text invalid, 5 platform unreachable."},
    VerbSpec{Verb::kPublish, "publish", 1, true, false,
             "publish FILE --platform IP:PORT [--base N] [--author NAME] "
             "[--bootstrap IP:PORT]",
             "Publishes FILE as the operator text in force. --base is the\n"
             "revision that FILE was edited from; only the first text of a\n"
             "deployment needs none.\n"
             "Exit codes: 0 accepted, 1 outcome not known in time, 3 text\n"
             "invalid, 4 conflict with a newer revision, 5 platform\n"
             "unreachable."},
    VerbSpec{Verb::kStatus, "status", 0, false, true,
             "status --controller IP:PORT",
             "Shows revision, leases, hosts per pool and phase, moves in\n"
             "flight, maintenance and cut-off zones.\n"
             "Exit codes: 0 ok, 1 the controller does not answer."},
    VerbSpec{Verb::kExplain, "explain", 2, false, true,
             "explain (service|host|job) NAME --controller IP:PORT",
             "Shows the constraint, the figures and the revision behind a\n"
             "service's size, a host's pool or a job's placement.\n"
             "Exit codes: 0 ok, 1 unknown name or no answer."},
    VerbSpec{
        Verb::kHistory, "history", 0, true, false, "history --platform IP:PORT",
        "Lists the published texts that the log still retains, with their\n"
        "outcomes.\n"
        "Exit codes: 0 ok, 5 platform unreachable."},
};

constexpr std::string_view kFlags =
    "Flags:\n"
    "  --platform IP:PORT    the platform's log service\n"
    "  --controller IP:PORT  admin server of a controller\n"
    "  --output text|json    output format (default: text)\n"
    "  --author NAME         author of the text (default: $USER)\n"
    "  --base N              revision that the file was edited from\n"
    "  --bootstrap IP:PORT   of publish: start a new state after the log and\n"
    "                        all processes lost it; the address is the admin\n"
    "                        server of a controller that waits for a state\n"
    "  --help                show this help\n";

const VerbSpec& SpecOf(Verb verb) {
  return *std::find_if(
      kVerbs.begin(), kVerbs.end(),
      [verb](const VerbSpec& spec) { return spec.verb == verb; });
}

const VerbSpec* FindSpec(std::string_view name) {
  const auto found =
      std::find_if(kVerbs.begin(), kVerbs.end(),
                   [name](const VerbSpec& spec) { return spec.name == name; });
  return found == kVerbs.end() ? nullptr : &*found;
}

std::optional<std::string> SetAddress(std::optional<core::Address>& target,
                                      const std::string& flag,
                                      const std::string& value) {
  target = settings::ParseAddress(value);
  if (!target) {
    return flag + ": found '" + value +
           "', expected an IP address and a port, such as 127.0.0.1:80";
  }
  return std::nullopt;
}

std::optional<std::string> SetBase(Command& command, const std::string& value) {
  std::uint64_t number = 0;
  const char* end = value.data() + value.size();
  const auto [last, error] = std::from_chars(value.data(), end, number);
  if (error != std::errc{} || last != end) {
    return "--base: found '" + value + "', expected a revision number";
  }
  command.base = core::Revision{number};
  return std::nullopt;
}

/// Sets one flag. Returns an error message if the flag or its value is invalid.
std::optional<std::string> SetFlag(Command& command, const std::string& flag,
                                   const std::string& value) {
  if (flag == "--platform") {
    return SetAddress(command.platform, flag, value);
  }
  if (flag == "--controller") {
    return SetAddress(command.controller, flag, value);
  }
  if (flag == "--bootstrap") {
    return SetAddress(command.bootstrap, flag, value);
  }
  if (flag == "--author") {
    command.author = value;
    return std::nullopt;
  }
  if (flag == "--base") {
    return SetBase(command, value);
  }
  if (flag == "--output" && (value == "text" || value == "json")) {
    command.output = value == "json" ? Output::kJson : Output::kText;
    return std::nullopt;
  }
  return flag == "--output"
             ? "--output: found '" + value + "', expected text or json"
             : flag + ": unknown flag";
}

std::optional<std::string> CheckOperands(
    const VerbSpec& spec, const std::vector<std::string>& operands,
    const Command& command) {
  if (operands.size() != spec.operands) {
    return "usage: camphormux " + std::string(spec.synopsis);
  }
  if (spec.needs_platform && !command.platform) {
    return std::string(spec.name) + ": --platform is missing";
  }
  if (spec.needs_controller && !command.controller) {
    return std::string(spec.name) + ": --controller is missing";
  }
  if (spec.verb == Verb::kExplain && operands[0] != "service" &&
      operands[0] != "host" && operands[0] != "job") {
    return "explain: found '" + operands[0] +
           "', expected service, host or job";
  }
  return std::nullopt;
}

/// Sets the flags among the arguments and returns the operands.
core::Result<std::vector<std::string>, UsageError> ParseFlags(
    Command& command, const std::vector<std::string>& arguments) {
  std::vector<std::string> operands;
  for (std::size_t i = 0; i < arguments.size(); ++i) {
    const std::string& argument = arguments[i];
    if (argument == "--help") {
      command.help = true;
      continue;
    }
    if (!argument.starts_with("--")) {
      operands.push_back(argument);
      continue;
    }
    const std::size_t equals = argument.find('=');
    if (equals == std::string::npos && i + 1 == arguments.size()) {
      return UsageError{argument + ": value is missing"};
    }
    const std::string value = equals == std::string::npos
                                  ? arguments[++i]
                                  : argument.substr(equals + 1);
    const auto problem = SetFlag(command, argument.substr(0, equals), value);
    if (problem) {
      return UsageError{*problem};
    }
  }
  return operands;
}

}  // namespace internal

core::Result<Command, UsageError> ParseArguments(
    const std::vector<std::string>& arguments) {
  Command command;
  auto parsed = internal::ParseFlags(command, arguments);
  if (!parsed.has_value()) {
    return parsed.error();
  }
  std::vector<std::string> operands = std::move(parsed.value());
  if (operands.empty()) {
    if (command.help) {
      return command;
    }
    return UsageError{"a verb is missing; see camphormux --help"};
  }
  const internal::VerbSpec* spec = internal::FindSpec(operands.front());
  if (spec == nullptr) {
    return UsageError{"unknown verb '" + operands.front() +
                      "'; see camphormux --help"};
  }
  command.verb = spec->verb;
  operands.erase(operands.begin());
  if (command.help) {
    return command;
  }
  const auto problem = internal::CheckOperands(*spec, operands, command);
  if (problem) {
    return UsageError{*problem};
  }
  if (spec->verb == Verb::kExplain) {
    command.subject_kind = operands[0];
    command.subject_name = operands[1];
  } else if (spec->operands == 1) {
    command.file = operands[0];
  }
  return command;
}

std::string Usage(std::optional<Verb> verb) {
  std::string text;
  if (verb) {
    const internal::VerbSpec& spec = internal::SpecOf(*verb);
    text.append("usage: camphormux ").append(spec.synopsis).append("\n\n");
    text.append(spec.description).append("\n\n");
  } else {
    text = "usage: camphormux VERB ... [flags]\n\nVerbs:\n";
    for (const internal::VerbSpec& spec : internal::kVerbs) {
      text.append("  ").append(spec.synopsis).append("\n");
    }
    text.append("\n`camphormux VERB --help` describes a verb.\n\n");
  }
  return text.append(internal::kFlags);
}

}  // namespace camphormux::cli
