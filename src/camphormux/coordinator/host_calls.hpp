#ifndef CAMPHORMUX_COORDINATOR_HOST_CALLS_HPP_
#define CAMPHORMUX_COORDINATOR_HOST_CALLS_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "camphormux/coordinator/ports.hpp"

/// Calls to hosts as they travel between the holder and the nodes that make
/// them for it.
namespace camphormux::coordinator {

/// Path under which a node takes calls to hosts and hands back their answers.
inline constexpr std::string_view kHostCallsPath = "/hosts/calls";
/// Calls of one batch at most; with the longest payload a batch stays far below
/// the limit of a peer's message.
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
/// Of a start, of a stop or pace, of a renewal.
using HostAnswer = std::variant<StartAnswer, CallOutcome, RenewAnswer>;

struct NumberedCall {
  std::uint64_t number = 0;  ///< Unique for a holder.
  HostCall call;
};

struct NumberedAnswer {
  std::uint64_t number = 0;
  HostAnswer answer;
};

/// @brief Calls of one holder; all have its token.
struct CallBatch {
  std::string holder;  ///< Names the holder's process.
  core::Epoch token;
  std::vector<NumberedCall> calls;
};

/// @return The target of a call.
[[nodiscard]] const HostTarget& TargetOf(const HostCall& call);

/// @return The answer to a call of which nothing is known.
[[nodiscard]] HostAnswer NoAnswerTo(const HostCall& call);

/// @brief Makes a call. The answer has the alternative that fits the call.
void MakeCall(const HostPort& port, const HostCall& call,
              std::function<void(HostAnswer)> done);

[[nodiscard]] std::string EncodeCalls(const CallBatch& batch);
/// @return The batch, or nothing if the bytes are malformed.
[[nodiscard]] std::optional<CallBatch> DecodeCalls(std::string_view data);

[[nodiscard]] std::string EncodeAnswers(
    const std::vector<NumberedAnswer>& answers);
/// @return The answers, or nothing if the bytes are malformed.
[[nodiscard]] std::optional<std::vector<NumberedAnswer>> DecodeAnswers(
    std::string_view data);

}  // namespace camphormux::coordinator

#endif  // CAMPHORMUX_COORDINATOR_HOST_CALLS_HPP_
