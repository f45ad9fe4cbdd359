#include "camphormux/gateway/exchange_rules.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace camphormux::gateway {
namespace {

HeadFacts AnyHead() {
  HeadFacts head;
  head.status = *rc::gen::element(200, 404, 500, 503);
  head.framed = *rc::gen::arbitrary<bool>();
  head.echo_matches = *rc::gen::arbitrary<bool>();
  if (*rc::gen::arbitrary<bool>()) {
    head.refused = *rc::gen::element<std::string>("slots", "draining",
                                                  "misdirected", "other");
  }
  return head;
}

AttemptEnd AnyEnd() {
  AttemptEnd end;
  end.may_have_started = *rc::gen::arbitrary<bool>();
  if (*rc::gen::arbitrary<bool>()) {
    end.error =
        *rc::gen::element(AttemptError::kConnect, AttemptError::kTimeout,
                          AttemptError::kCut, AttemptError::kStopped);
  }
  return end;
}

// Guards against `not-run` without a proof, and against foreign, truncated or
// unframed answers that are passed on.
RC_GTEST_PROP(ExchangeRulesTest, VerdictsNeedProof, ()) {
  const std::optional<HeadFacts> head =
      *rc::gen::arbitrary<bool>() ? std::optional(AnyHead()) : std::nullopt;
  const AttemptEnd end = AnyEnd();
  switch (JudgeAttempt(head, end)) {
    case Verdict::kAnswered:
      RC_ASSERT(head && head->echo_matches && head->framed && !end.error);
      break;
    case Verdict::kRefused:
      RC_ASSERT(head && head->echo_matches && head->status == 503);
      RC_ASSERT(head->refused.has_value() && *head->refused != "other");
      break;
    case Verdict::kNotSent:
      RC_ASSERT(!end.may_have_started);
      break;
    case Verdict::kLost:
      RC_ASSERT(end.may_have_started);
      break;
  }
}

// Guards against giving up runs that are as long as usual, and a request that
// may not be sent again.
TEST(ExchangeRulesTest, HalfOfTheTimeIsKeptForAnotherHost) {
  using std::chrono::milliseconds;
  EXPECT_EQ(HeadTimeout(true, milliseconds(5000), milliseconds(300)),
            milliseconds(2500));
  EXPECT_EQ(HeadTimeout(true, milliseconds(5000), milliseconds(2600)),
            milliseconds(0));
  EXPECT_EQ(HeadTimeout(false, milliseconds(5000), milliseconds(300)),
            milliseconds(0));
}

// Guards against a second run of a non-repeatable request and against retries
// past the deadline or the bound of attempts.
RC_GTEST_PROP(ExchangeRulesTest, RetriesAreSafeAndBounded, ()) {
  ExchangeFacts facts;
  facts.repeatable = *rc::gen::arbitrary<bool>();
  facts.may_have_run = *rc::gen::arbitrary<bool>();
  facts.attempts = *rc::gen::inRange(1, kMaxAttempts + 2);
  facts.earliest_retry =
      core::MonotonicTime(core::Millis(*rc::gen::inRange(0, 100)));
  facts.deadline = core::MonotonicTime(core::Millis(50));
  const Verdict last = *rc::gen::element(Verdict::kAnswered, Verdict::kRefused,
                                         Verdict::kNotSent, Verdict::kLost);
  if (MayRetry(facts, last)) {
    RC_ASSERT(last != Verdict::kAnswered);
    RC_ASSERT(facts.attempts < kMaxAttempts);
    RC_ASSERT(facts.earliest_retry < facts.deadline);
    RC_ASSERT(facts.repeatable ||
              (last != Verdict::kLost && !facts.may_have_run));
  }
}

}  // namespace
}  // namespace camphormux::gateway
