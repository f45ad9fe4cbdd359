#ifndef CAMPHORMUX_CLI_FWD_HPP_
#define CAMPHORMUX_CLI_FWD_HPP_

namespace camphormux::cli {

enum class ExitCode;
enum class Verb;
enum class Output;
enum class LogFailure;
enum class DiffKind;
struct Command;
struct UsageError;
struct DiffLine;
struct PublishRequest;
struct PublishReport;
struct HistoryEntry;
class LogSession;

}  // namespace camphormux::cli

#endif  // CAMPHORMUX_CLI_FWD_HPP_
