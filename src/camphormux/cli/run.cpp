#include "camphormux/cli/run.hpp"

#include <cstdlib>
#include <fstream>
#include <ostream>
#include <random>
#include <sstream>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "camphormux/cli/bootstrap.hpp"
#include "camphormux/cli/history.hpp"
#include "camphormux/cli/line_diff.hpp"
#include "camphormux/cli/publish.hpp"
#include "camphormux/cli/report.hpp"
#include "camphormux/controller/platform_client.hpp"
#include "camphormux/http/client.hpp"
#include "camphormux/log/http_log_port.hpp"
#include "camphormux/recovery/fetch.hpp"
#include "camphormux/text/check.hpp"
#include "camphormux/text/diff.hpp"
#include "camphormux/text/parse.hpp"

namespace camphormux::cli {
namespace internal {

using nlohmann::json;

/// Timeout of one request to the log or a controller.
constexpr core::Millis kExchangeTimeout = std::chrono::seconds(5);
/// An accepted text is in force within 5 s; the rest allows for a slow log.
constexpr core::Millis kPublishTimeout = std::chrono::seconds(30);

/// An operator text that was read and parsed without errors.
struct CheckedText {
  std::string source;
  text::OperatorText parsed;
};

/// Event loop, HTTP client and log session for one platform.
struct PlatformAccess {
  explicit PlatformAccess(const core::Address& platform)
      : client(loop),
        session(loop, log::MakeHttpLogPort(client, platform),
                kExchangeTimeout) {}

  asio::io_context loop;
  http::Client client;
  LogSession session;
};

json ToJson(const settings::Problems& problems) {
  json list = json::array();
  for (const settings::Problem& problem : problems) {
    list.push_back({{"file", problem.file},
                    {"line", problem.line},
                    {"key", problem.key},
                    {"found", problem.found},
                    {"expected", problem.expected}});
  }
  return list;
}

ExitCode ReportProblems(const Command& command, const Streams& streams,
                        const settings::Problems& problems) {
  if (command.output == Output::kJson) {
    streams.out << json{{"valid", false}, {"problems", ToJson(problems)}}.dump(
                       2)
                << "\n";
    return ExitCode::kTextInvalid;
  }
  for (const settings::Problem& problem : problems) {
    streams.err << settings::Describe(problem) << "\n";
  }
  return ExitCode::kTextInvalid;
}

core::Result<std::string, UsageError> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    return UsageError{"cannot read " + path};
  }
  return text.str();
}

/// Reads and parses the command's file. Reports errors and sets `code`.
std::optional<CheckedText> ReadText(const Command& command,
                                    const Streams& streams, ExitCode& code) {
  const auto source = ReadFile(command.file);
  if (!source.has_value()) {
    streams.err << source.error().message << "\n";
    code = ExitCode::kUsage;
    return std::nullopt;
  }
  auto parsed = text::ParseOperatorText(command.file, source.value());
  if (!parsed.has_value()) {
    code = ReportProblems(command, streams, parsed.error());
    return std::nullopt;
  }
  return CheckedText{source.value(), std::move(parsed.value())};
}

ExitCode ReportUnreachable(const Command& command, const Streams& streams) {
  streams.err << fmt::format("the platform at {}:{} does not answer\n",
                             command.platform->ip, command.platform->port);
  return ExitCode::kPlatformUnreachable;
}

/// Prints the findings; returns whether there are any.
bool ReportFindings(const Command& command, const Streams& streams,
                    const std::vector<text::Finding>& findings) {
  if (findings.empty()) {
    return false;
  }
  if (command.output == Output::kJson) {
    streams.out << json{{"valid", false},
                        {"problems", json::array()},
                        {"findings", FindingsJson(findings)}}
                       .dump(2)
                << "\n";
  } else {
    streams.err << FindingsText(command.file, findings);
  }
  return true;
}

/// Fetches the host list of the platform; empty if it does not answer.
std::optional<std::vector<text::FleetHost>> ListHosts(
    const core::Address& platform) {
  std::optional<std::vector<text::FleetHost>> hosts;
  asio::io_context loop;
  http::Client client(loop);
  const controller::PlatformPort port =
      controller::MakePlatformPort(client, platform);
  port.list([&](const std::shared_ptr<const controller::HostList>& list) {
    if (list) {
      hosts.emplace();
      for (const auto& [id, host] : *list) {
        hosts->push_back({id,
                          host.zone,
                          host.rack,
                          host.shape.cores,
                          host.shape.memory,
                          host.shape.accelerators,
                          {}});
      }
    }
    loop.stop();
  });
  loop.run_for(kExchangeTimeout);
  return hosts;
}

std::vector<text::FleetHost> HostsOf(const state::FleetState& state) {
  std::vector<text::FleetHost> hosts;
  hosts.reserve(state.hosts.size());
  for (const auto& [id, host] : state.hosts) {
    hosts.push_back({id, host.zone, host.rack, host.shape.cores,
                     host.shape.memory, host.shape.accelerators, host.pool});
  }
  return hosts;
}

ExitCode RunCheck(const Command& command, const Streams& streams) {
  ExitCode code = ExitCode::kOk;
  const auto checked = ReadText(command, streams, code);
  if (!checked) {
    return code;
  }
  std::vector<text::FleetHost> hosts;
  if (command.platform) {
    auto listed = ListHosts(*command.platform);
    if (!listed) {
      return ReportUnreachable(command, streams);
    }
    hosts = std::move(*listed);
  }
  if (ReportFindings(command, streams,
                     text::CheckText(checked->parsed, hosts))) {
    return ExitCode::kTextInvalid;
  }
  if (command.output == Output::kJson) {
    streams.out << json{{"valid", true},
                        {"problems", json::array()},
                        {"findings", json::array()}}
                       .dump(2)
                << "\n";
    return ExitCode::kOk;
  }
  streams.out << fmt::format(
      "{}: valid{}\n", command.file,
      command.platform ? fmt::format(" for {} hosts", hosts.size()) : "");
  return ExitCode::kOk;
}

ExitCode ReportNoState(const Command& command, const Streams& streams,
                       LogFailure failure) {
  if (failure == LogFailure::kUnreachable) {
    return ReportUnreachable(command, streams);
  }
  streams.err << "the log holds no complete snapshot; see /readyz of the "
                 "controllers\n";
  return ExitCode::kFailure;
}

ExitCode RunDiff(const Command& command, const Streams& streams) {
  ExitCode code = ExitCode::kOk;
  const auto checked = ReadText(command, streams, code);
  if (!checked) {
    return code;
  }
  PlatformAccess access(*command.platform);
  state::Follower follower;
  const ReadOutcome read = access.session.Follow(follower);
  if (!read.has_value()) {
    return ReportNoState(command, streams, read.error());
  }
  const state::FleetState& state = follower.state;
  const std::string diff =
      FormatDiff(DiffLines(state.text.source, checked->source));
  const text::OperatorText none;
  const text::TextDiff effect =
      text::DiffTexts(state.text.parsed ? *state.text.parsed : none,
                      checked->parsed, HostsOf(state));
  if (command.output == Output::kJson) {
    json body = EffectJson(effect);
    body["revision"] = state.text.revision.value;
    body["diff"] = diff;
    streams.out << body.dump(2) << "\n";
    return ExitCode::kOk;
  }
  streams.out << fmt::format("compared with revision {}\n",
                             state.text.revision.value)
              << diff << EffectText(effect);
  return ExitCode::kOk;
}

core::AppendId NewAppendId() {
  std::random_device device;
  const auto part = [&device] {
    return (std::uint64_t{device()} << 32) | device();
  };
  return core::AppendId{fmt::format("{:016x}{:016x}", part(), part())};
}

std::string AuthorOf(const Command& command) {
  if (!command.author.empty()) {
    return command.author;
  }
  const char* user = std::getenv("USER");
  return user == nullptr ? "unknown" : user;
}

ExitCode ReportPublishError(const Command& command, const Streams& streams,
                            PublishError error) {
  switch (error) {
    case PublishError::kBaseMissing:
      streams.err << "publish: a text is in force; pass the revision that "
                     "the file was edited from as --base N (see status)\n";
      return ExitCode::kUsage;
    case PublishError::kNoSnapshot:
      return ReportNoState(command, streams, LogFailure::kNoSnapshot);
    case PublishError::kTooLarge:
      streams.err
          << "publish: the text exceeds the record size limit of the log\n";
      return ExitCode::kTextInvalid;
    case PublishError::kOutcomeUnknown:
      streams.err << "publish: the outcome is unknown; check history before "
                     "publishing again\n";
      return ExitCode::kFailure;
    case PublishError::kUnreachable:
      break;
  }
  return ReportUnreachable(command, streams);
}

ExitCode ReportAccepted(const Command& command, const Streams& streams,
                        const state::PublishOutcome& outcome) {
  if (command.output == Output::kJson) {
    streams.out << json{{"outcome", "accepted"},
                        {"revision", outcome.accepted->value},
                        {"offset", outcome.offset.value}}
                       .dump(2)
                << "\n";
  } else {
    streams.out << fmt::format("accepted as revision {}\n",
                               outcome.accepted->value);
  }
  return ExitCode::kOk;
}

ExitCode ReportRejected(const Command& command, const Streams& streams,
                        const PublishReport& report,
                        const std::string& source) {
  const std::string diff =
      FormatDiff(DiffLines(report.in_force.source, source));
  if (command.output == Output::kJson) {
    streams.out << json{{"outcome", "rejected"},
                        {"reason", report.outcome.reason},
                        {"base", report.outcome.base.value},
                        {"in_force", report.in_force.revision.value},
                        {"diff", diff}}
                       .dump(2)
                << "\n";
    return ExitCode::kConflict;
  }
  streams.err << fmt::format(
      "rejected: {}\nrevision {} by {} is in force; lines with - are from its "
      "text, with + from {}\n",
      report.outcome.reason, report.in_force.revision.value,
      report.in_force.author, command.file);
  streams.err << diff;
  return ExitCode::kConflict;
}

/// Sends a GET request to an admin server; empty if it does not answer.
std::optional<http::ClientResponse> Get(const core::Address& address,
                                        const std::string& path) {
  asio::io_context loop;
  http::Client client(loop);
  http::ClientRequest request;
  request.timeout = kExchangeTimeout;
  request.url = fmt::format("http://{}:{}{}", address.ip, address.port, path);
  std::optional<http::ClientResult> result;
  client.Send(std::move(request), [&](http::ClientResult answer) {
    result = std::move(answer);
    loop.stop();
  });
  loop.run();
  return result && result->has_value()
             ? std::optional(std::move(result->value()))
             : std::nullopt;
}

/// Tells whether the controller is not ready because no live process is known
/// to have the state. Prints an error if not.
bool ControllerAwaitsBootstrap(const Command& command, const Streams& streams) {
  const auto answer = Get(*command.bootstrap, "/readyz");
  const bool awaits_bootstrap =
      answer && answer->status != 200 &&
      answer->body.find(recovery::kNoPeerHasState) != std::string::npos;
  if (!awaits_bootstrap) {
    streams.err
        << "publish: bootstrap refused; the controller does not report that "
        << recovery::kNoPeerHasState << ": "
        << (answer ? answer->body : "it does not answer") << "\n";
  }
  return awaits_bootstrap;
}

ExitCode ReportBootstrap(const Command& command, const Streams& streams,
                         BootstrapError error) {
  switch (error) {
    case BootstrapError::kUnreachable:
      return ReportUnreachable(command, streams);
    case BootstrapError::kLogHasState:
      streams.err << "publish: bootstrap refused; the log has a state, publish "
                     "without --bootstrap\n";
      return ExitCode::kConflict;
    case BootstrapError::kLogInUse:
      streams.err
          << "publish: bootstrap refused; a live process appends records\n";
      return ExitCode::kConflict;
    case BootstrapError::kPeerHasState:
      return ExitCode::kConflict;  // ControllerAwaitsBootstrap printed it.
    case BootstrapError::kSuperseded:
      streams.err << "publish: another state was written first and is in "
                     "force; see history\n";
      return ExitCode::kConflict;
    case BootstrapError::kIncompleteWrite:
      break;
  }
  streams.err
      << "publish: the state was not written completely; repeat the command\n";
  return ExitCode::kFailure;
}

ExitCode RunBootstrap(const Command& command, const Streams& streams,
                      const std::string& source) {
  if (!ControllerAwaitsBootstrap(command, streams)) {
    return ExitCode::kConflict;
  }
  PlatformAccess access(*command.platform);
  BootstrapRequest request;
  request.author = AuthorOf(command);
  request.source = source;
  request.base = command.base.value_or(core::Revision{});
  request.numbering_floor =
      static_cast<std::uint64_t>(core::WallNow().time_since_epoch().count());
  request.no_process_has_state = [&] {
    return ControllerAwaitsBootstrap(command, streams);
  };
  const auto error = Bootstrap(access.session, request);
  if (error) {
    return ReportBootstrap(command, streams, *error);
  }
  const std::uint64_t revision = core::Next(request.base).value;
  streams.out << (command.output == Output::kJson
                      ? json{{"outcome", "bootstrapped"},
                             {"revision", revision},
                             {"floor", request.numbering_floor}}
                                .dump(2) +
                            "\n"
                      : fmt::format("started a new state with revision {}\n",
                                    revision));
  return ExitCode::kOk;
}

ExitCode RunPublish(const Command& command, const Streams& streams) {
  ExitCode code = ExitCode::kOk;
  const auto checked = ReadText(command, streams, code);
  if (!checked) {
    return code;
  }
  // Checked without the hosts: a stale host list or a fleet under repair must
  // not prevent an operator from publishing.
  if (ReportFindings(command, streams, text::CheckText(checked->parsed, {}))) {
    return ExitCode::kTextInvalid;
  }
  if (command.bootstrap) {
    return RunBootstrap(command, streams, checked->source);
  }
  PlatformAccess access(*command.platform);
  const PublishResult result = PublishText(
      access.session,
      {NewAppendId(), AuthorOf(command), checked->source, command.base},
      kPublishTimeout);
  if (!result.has_value()) {
    return ReportPublishError(command, streams, result.error());
  }
  return result.value().outcome.accepted
             ? ReportAccepted(command, streams, result.value().outcome)
             : ReportRejected(command, streams, result.value(),
                              checked->source);
}

ExitCode RunHistory(const Command& command, const Streams& streams) {
  PlatformAccess access(*command.platform);
  const HistoryResult entries = ReadHistory(access.session);
  if (!entries.has_value()) {
    return ReportUnreachable(command, streams);
  }
  streams.out << (command.output == Output::kJson
                      ? HistoryJson(entries.value()) + "\n"
                      : HistoryText(entries.value()));
  return ExitCode::kOk;
}

/// Fetches a page of a controller's admin server and prints it.
ExitCode PrintAdminPage(const Command& command, const Streams& streams,
                        const std::string& path) {
  const auto response = Get(
      *command.controller,
      path + "?output=" + (command.output == Output::kJson ? "json" : "text"));
  if (!response) {
    streams.err << fmt::format("the controller at {}:{} does not answer\n",
                               command.controller->ip,
                               command.controller->port);
    return ExitCode::kFailure;
  }
  const bool ok = response->status == 200;
  (ok ? streams.out : streams.err) << response->body << "\n";
  return ok ? ExitCode::kOk : ExitCode::kFailure;
}

}  // namespace internal

ExitCode Run(const Command& command, const Streams& streams) {
  if (command.help || !command.verb) {
    streams.out << Usage(command.verb);
    return ExitCode::kOk;
  }
  switch (*command.verb) {
    case Verb::kCheck:
      return internal::RunCheck(command, streams);
    case Verb::kDiff:
      return internal::RunDiff(command, streams);
    case Verb::kPublish:
      return internal::RunPublish(command, streams);
    case Verb::kHistory:
      return internal::RunHistory(command, streams);
    case Verb::kStatus:
      return internal::PrintAdminPage(command, streams, "/status");
    case Verb::kExplain:
      return internal::PrintAdminPage(
          command, streams,
          "/explain/" + command.subject_kind + "/" + command.subject_name);
  }
  return ExitCode::kUsage;
}

}  // namespace camphormux::cli
