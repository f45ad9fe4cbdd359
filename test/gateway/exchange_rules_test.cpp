#include "camphormux/gateway/exchange_rules.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace camphormux::gateway {
namespace {

HeadSummary AnyHead() {
  HeadSummary head;
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
    end.error = *rc::gen::element(
        AttemptError::kConnect, AttemptError::kTimeout,
        AttemptError::kBrokenResponse, AttemptError::kStopped);
  }
  return end;
}

// Guards against `not-run` without proof, and against forwarding responses that
// belong to another request, are truncated or have no framing.
RC_GTEST_PROP(ExchangeRulesTest, ResultsNeedProof, ()) {
  const std::optional<HeadSummary> head =
      *rc::gen::arbitrary<bool>() ? std::optional(AnyHead()) : std::nullopt;
  const AttemptEnd end = AnyEnd();
  switch (ClassifyAttempt(head, end)) {
    case AttemptResult::kAnswered:
      RC_ASSERT(head && head->echo_matches && head->framed && !end.error);
      break;
    case AttemptResult::kRefused:
      RC_ASSERT(head && head->echo_matches && head->status == 503);
      RC_ASSERT(head->refused.has_value() && *head->refused != "other");
      break;
    case AttemptResult::kNotSent:
      RC_ASSERT(!end.may_have_started);
      break;
    case AttemptResult::kLost:
      RC_ASSERT(end.may_have_started);
      break;
  }
}

// Guards against a head timeout that ends runs of usual length, and against one
// for a request that must not be sent again.
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
// after the deadline or beyond the limit of attempts.
RC_GTEST_PROP(ExchangeRulesTest, RetriesAreSafeAndBounded, ()) {
  RetryContext context;
  context.repeatable = *rc::gen::arbitrary<bool>();
  context.may_have_run = *rc::gen::arbitrary<bool>();
  context.attempts = *rc::gen::inRange(1, kMaxAttempts + 2);
  context.earliest_retry =
      core::MonotonicTime(core::Millis(*rc::gen::inRange(0, 100)));
  context.deadline = core::MonotonicTime(core::Millis(50));
  const AttemptResult last =
      *rc::gen::element(AttemptResult::kAnswered, AttemptResult::kRefused,
                        AttemptResult::kNotSent, AttemptResult::kLost);
  if (MayRetry(context, last)) {
    RC_ASSERT(last != AttemptResult::kAnswered);
    RC_ASSERT(context.attempts < kMaxAttempts);
    RC_ASSERT(context.earliest_retry < context.deadline);
    RC_ASSERT(context.repeatable ||
              (last != AttemptResult::kLost && !context.may_have_run));
  }
}

}  // namespace
}  // namespace camphormux::gateway
