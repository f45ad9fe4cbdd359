#include "camphormux/gateway/exchange_rules.hpp"

namespace camphormux::gateway {
namespace internal {

constexpr int kUnavailable = 503;
constexpr int kFirstServerError = 500;

}  // namespace internal

Verdict JudgeHead(const HeadFacts& head) {
  const bool refusal = head.status == internal::kUnavailable &&
                       (head.refused == "slots" || head.refused == "draining" ||
                        head.refused == "misdirected");
  // An echo of another id is the answer to another request.
  if (!head.echo_matches) {
    return Verdict::kLost;
  }
  if (refusal) {
    return Verdict::kRefused;
  }
  return head.framed ? Verdict::kAnswered : Verdict::kLost;
}

Verdict JudgeAttempt(const std::optional<HeadFacts>& head,
                     const AttemptEnd& end) {
  if (!end.may_have_started) {
    return Verdict::kNotSent;
  }
  if (!head) {
    return Verdict::kLost;
  }
  const Verdict verdict = JudgeHead(*head);
  // The head alone carries a refusal's promise; an answer must be whole.
  if (verdict == Verdict::kAnswered && end.error) {
    return Verdict::kLost;
  }
  return verdict;
}

routing::AttemptOutcome ToRouting(const std::optional<HeadFacts>& head,
                                  Verdict verdict) {
  using routing::AttemptOutcome;
  switch (verdict) {
    case Verdict::kAnswered:
      return head->status >= internal::kFirstServerError
                 ? AttemptOutcome::kFailed
                 : AttemptOutcome::kServed;
    case Verdict::kRefused:
      if (head->refused == "slots") {
        return AttemptOutcome::kRefusedSlots;
      }
      return head->refused == "draining" ? AttemptOutcome::kRefusedDraining
                                         : AttemptOutcome::kRefusedMisdirected;
    case Verdict::kNotSent:
    case Verdict::kLost:
      break;
  }
  return AttemptOutcome::kFailed;
}

core::Millis HeadTimeout(bool may_try_again, core::Millis left,
                         core::Millis recent_run) {
  const core::Millis half = left / 2;
  return may_try_again && half >= recent_run ? half : core::Millis(0);
}

bool MayRetry(const ExchangeFacts& facts, Verdict last) {
  if (last == Verdict::kAnswered || facts.attempts >= kMaxAttempts ||
      facts.earliest_retry >= facts.deadline) {
    return false;
  }
  const bool provably_not_run =
      !facts.may_have_run &&
      (last == Verdict::kRefused || last == Verdict::kNotSent);
  return facts.repeatable || provably_not_run;
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
