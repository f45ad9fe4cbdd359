#include "camphormux/gateway/exchange_rules.hpp"

namespace camphormux::gateway {
namespace internal {

constexpr int kUnavailable = 503;
constexpr int kFirstServerError = 500;

}  // namespace internal

AttemptResult ClassifyHead(const HeadSummary& head) {
  const bool refusal = head.status == internal::kUnavailable &&
                       (head.refused == "slots" || head.refused == "draining" ||
                        head.refused == "misdirected");
  // A response with another request id, or without one, does not belong to this
  // request.
  if (!head.echo_matches) {
    return AttemptResult::kLost;
  }
  if (refusal) {
    return AttemptResult::kRefused;
  }
  return head.framed ? AttemptResult::kAnswered : AttemptResult::kLost;
}

AttemptResult ClassifyAttempt(const std::optional<HeadSummary>& head,
                              const AttemptEnd& end) {
  if (!end.may_have_started) {
    return AttemptResult::kNotSent;
  }
  if (!head) {
    return AttemptResult::kLost;
  }
  const AttemptResult result = ClassifyHead(*head);
  // A refusal is valid with its head alone; an answer must be complete.
  if (result == AttemptResult::kAnswered && end.error) {
    return AttemptResult::kLost;
  }
  return result;
}

routing::AttemptOutcome ToRouting(const std::optional<HeadSummary>& head,
                                  AttemptResult result) {
  using routing::AttemptOutcome;
  switch (result) {
    case AttemptResult::kAnswered:
      return head->status >= internal::kFirstServerError
                 ? AttemptOutcome::kFailed
                 : AttemptOutcome::kServed;
    case AttemptResult::kRefused:
      if (head->refused == "slots") {
        return AttemptOutcome::kRefusedSlots;
      }
      return head->refused == "draining" ? AttemptOutcome::kRefusedDraining
                                         : AttemptOutcome::kRefusedMisdirected;
    case AttemptResult::kNotSent:
    case AttemptResult::kLost:
      break;
  }
  return AttemptOutcome::kFailed;
}

core::Millis HeadTimeout(bool may_retry, core::Millis remaining,
                         core::Millis recent_run_time) {
  const core::Millis half = remaining / 2;
  return may_retry && half >= recent_run_time ? half : core::Millis(0);
}

bool MayRetry(const RetryContext& context, AttemptResult last) {
  if (last == AttemptResult::kAnswered || context.attempts >= kMaxAttempts ||
      context.earliest_retry >= context.deadline) {
    return false;
  }
  const bool provably_not_run =
      !context.may_have_run &&
      (last == AttemptResult::kRefused || last == AttemptResult::kNotSent);
  return context.repeatable || provably_not_run;
}

std::string_view OutcomeName(Outcome outcome) noexcept {
  switch (outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      break;
  }
  return "unknown";
}

}  // namespace camphormux::gateway
