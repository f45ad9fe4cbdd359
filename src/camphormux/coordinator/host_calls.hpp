#ifndef CAMPHORMUX_COORDINATOR_HOST_CALLS_HPP_
#define CAMPHORMUX_COORDINATOR_HOST_CALLS_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "camphormux/coordinator/ports.hpp"

/// Encoding of calls to hosts between the holder and the nodes that make the
/// calls for it.
namespace camphormux::coordinator {

/// Path under which a node accepts calls to hosts and returns their answers.
inline constexpr std::string_view kHostCallsPath = "/hosts/calls";
/// Maximum number of calls in a batch; even with the longest payload a batch
/// stays far below the size limit of a peer message.
inline constexpr std::size_t kMaxCallsPerBatch = 256;

struct StopCall {
  HostTarget target;
  scheduler::RunName name;
};

struct PaceCall {
  HostTarget target;
  scheduler::RunName name;
  int percent = 100;
};

using HostCall = std::variant<StartCall, StopCall, PaceCall, RenewCall>;
/// Answer to a start, to a stop or pace call, or to a renewal.
using HostAnswer = std::variant<StartAnswer, CallOutcome, RenewAnswer>;

struct NumberedCall {
  std::uint64_t number = 0;  ///< Unique per holder.
  HostCall call;
};

struct NumberedAnswer {
  std::uint64_t number = 0;
  HostAnswer answer;
};

/// @brief Calls of one holder; all carry its token.
struct CallBatch {
  std::string holder;  ///< Name of the holder's process.
  core::Epoch token;
  std::vector<NumberedCall> calls;
};

/// @return Name of an outcome in log lines.
[[nodiscard]] std::string_view Describe(scheduler::StartOutcome outcome);
[[nodiscard]] std::string_view Describe(CallOutcome outcome);

/// @return The target of a call.
[[nodiscard]] const HostTarget& TargetOf(const HostCall& call);

/// @return The answer to a call whose outcome is not known.
[[nodiscard]] HostAnswer NoAnswerTo(const HostCall& call);

/// @brief Makes a call. The alternative of the answer matches that of the call.
void MakeCall(const HostPort& port, const HostCall& call,
              std::function<void(HostAnswer)> done);

[[nodiscard]] std::string EncodeCalls(const CallBatch& batch);
/// @return The batch; empty if the bytes are malformed.
[[nodiscard]] std::optional<CallBatch> DecodeCalls(std::string_view data);

[[nodiscard]] std::string EncodeAnswers(
    const std::vector<NumberedAnswer>& answers);
/// @return The answers; empty if the bytes are malformed.
[[nodiscard]] std::optional<std::vector<NumberedAnswer>> DecodeAnswers(
    std::string_view data);

}  // namespace camphormux::coordinator

#endif  // CAMPHORMUX_COORDINATOR_HOST_CALLS_HPP_
