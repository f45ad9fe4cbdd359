#include "test/history/check.hpp"

#include <sstream>

#include <gtest/gtest.h>

namespace camphormux::history {
namespace {

/// Returns a history in which every promise holds: one answered request and one
/// that an endpoint refused.
History ValidHistory() {
  History history;
  std::istringstream callers(
      R"({"identity":"a","request_id":"r1","key":"k1","service":"venue","gateway":"g:1","repeatable":false,"sent_us":1000,"end_us":9000,"outcome":"answered","status":200,"digest":"d1"})"
      "\n"
      R"({"identity":"b","request_id":"r2","key":"","service":"gate","gateway":"g:2","repeatable":false,"sent_us":1000,"end_us":9000,"outcome":"not-run","status":503,"digest":"e"})"
      "\n");
  std::istringstream journal(
      R"({"kind":"run","request_id":"r1","key":"k1","host":"h1","service":"venue","generation":1,"method":"POST","path":"/venue/holds/a?x=1","start_us":2000,"end_us":4000,"outcome":"answered","digest":"d1"})"
      "\n"
      R"({"kind":"refused","request_id":"r2","key":"","host":"h2","service":"gate","generation":1,"method":"GET","path":"/gate/x/b","start_us":2000,"reason":"slots"})"
      "\n"
      R"({"kind":"drain","host":"h1","service":"venue","generation":1,"boot_id":1,"at_us":3000})"
      "\n");
  ReadCallerHistory(callers, history);
  ReadJournal(journal, history);
  EXPECT_EQ(history.unreadable_lines, 0U);
  return history;
}

void ExpectOnly(const History& history, Promise promise) {
  const CheckResult result = Check(history);
  ASSERT_EQ(result.breaches.size(), 1U) << Describe(promise);
  EXPECT_EQ(result.breaches[0].promise, promise) << result.breaches[0].detail;
}

// A history without violations must pass.
TEST(CheckTest, AcceptsASoundHistory) {
  const CheckResult result = Check(ValidHistory());
  EXPECT_TRUE(result.breaches.empty());
  EXPECT_EQ(result.answered, 1U);
  EXPECT_EQ(result.not_run, 1U);
  EXPECT_EQ(result.runs, 1U);
  EXPECT_EQ(result.refusals, 1U);
}

// A request without outcome is a violation, unless its own gateway was killed
// or paused while the request was open.
TEST(CheckTest, FindsLostAnswers) {
  History history = ValidHistory();
  history.requests[0].outcome = "none";
  ExpectOnly(history, Promise::kAnswerNotLost);
  history.outages.push_back({"g:2", 1000, 9000});
  ExpectOnly(history, Promise::kAnswerNotLost);
  history.outages.push_back({"g:1", 8000, 20000});
  EXPECT_EQ(Check(history).excused, 1U);
  EXPECT_TRUE(Check(history).breaches.empty());
}

// A response body of another request, or one that no endpoint sent, such as a
// truncated one, is a violation.
TEST(CheckTest, FindsCrossedAndTruncatedAnswers) {
  History history = ValidHistory();
  Arrival other = history.arrivals[0];
  other.identity = "z";
  other.request_id = "r9";
  other.key = "k9";
  other.digest = "d9";
  history.arrivals.push_back(other);
  history.requests[0].digest = "d9";
  ExpectOnly(history, Promise::kAnswerOwn);
  history.requests[0].digest = "half";
  ExpectOnly(history, Promise::kAnswerWhole);
}

// `not-run` for a request that an endpoint ran is a violation, also when the
// caller does not know the request id.
TEST(CheckTest, FindsNotRunThatRan) {
  History history = ValidHistory();
  history.arrivals[1].ran = true;
  ExpectOnly(history, Promise::kNotRunDidNotRun);
  history.requests[1].request_id.clear();
  ExpectOnly(history, Promise::kNotRunDidNotRun);
}

// An idempotency key that runs under two request ids is a violation.
TEST(CheckTest, FindsKeysThatRanTwice) {
  History history = ValidHistory();
  Arrival again = history.arrivals[0];
  again.request_id = "r3";
  again.host = "h3";
  history.arrivals.push_back(again);
  ExpectOnly(history, Promise::kKeyRunsOnce);
}

// A non-repeatable request without idempotency key that runs twice is a
// violation; a repeatable one may run twice.
TEST(CheckTest, FindsRequestsThatRanTwice) {
  History history = ValidHistory();
  history.requests[1].outcome = "unknown";
  history.arrivals[1].ran = true;
  history.arrivals.push_back(history.arrivals[1]);
  ExpectOnly(history, Promise::kRequestRunsOnce);
  history.requests[1].repeatable = true;
  EXPECT_TRUE(Check(history).breaches.empty());
}

// A request that reaches an endpoint more than the grace period after its drain
// is a violation, even if the endpoint refuses it.
TEST(CheckTest, FindsWorkAtLeavingEndpoints) {
  History history = ValidHistory();
  Arrival late = history.arrivals[1];
  late.host = "h1";
  late.start = 3000 + kLeavingGrace;
  history.arrivals.push_back(late);
  EXPECT_TRUE(Check(history).breaches.empty());
  history.arrivals.back().start += 1;
  ExpectOnly(history, Promise::kLeavingGetsNoWork);
  history.arrivals.back().generation = 2;
  EXPECT_TRUE(Check(history).breaches.empty());
}

// A late arrival is excused only if its gateway was paused within the grace
// period before it: not for a pause of another gateway or an earlier one.
TEST(CheckTest, ExcusesOnlyGatewaysThatJustWoke) {
  History history = ValidHistory();
  Arrival late = history.arrivals[1];
  late.host = "h1";
  late.start = 10'000'000;
  history.arrivals.push_back(late);
  history.requests[1].request_id.clear();
  history.outages.push_back({"g:1", 4000, 9'000'000});
  ExpectOnly(history, Promise::kLeavingGetsNoWork);
  history.outages.push_back({"g:2", 4000, 6'999'999});
  ExpectOnly(history, Promise::kLeavingGetsNoWork);
  history.outages.push_back({"g:2", 4000, 7'000'000});
  EXPECT_TRUE(Check(history).breaches.empty());
}

// Overlapping runs of two services on a host are a violation; consecutive runs
// are allowed.
TEST(CheckTest, FindsHostsThatServeTwoServices) {
  History history = ValidHistory();
  Arrival other = history.arrivals[0];
  other.service = "gate";
  other.request_id = "r5";
  other.key = "k5";
  other.start = 4000;
  other.end = 5000;
  history.arrivals.push_back(other);
  EXPECT_TRUE(Check(history).breaches.empty());
  history.arrivals.back().start = 3999;
  ExpectOnly(history, Promise::kOneServicePerHost);
}

// Releases and repeated assignments of the same service are no moves.
TEST(CheckTest, CountsMovesBetweenServices) {
  History history;
  history.assigns = {{"h1", "venue", 1}, {"h1", "", 2},     {"h1", "venue", 3},
                     {"h1", "gate", 4},  {"h2", "gate", 1}, {"h2", "venue", 9}};
  EXPECT_EQ(Check(history).moves, 2U);
}

// Unreadable lines must be counted.
TEST(CheckTest, CountsUnreadableLines) {
  History history;
  std::istringstream lines("{\"identity\":\"a\"}\nnot json\n");
  ReadCallerHistory(lines, history);
  EXPECT_EQ(history.unreadable_lines, 2U);
}

}  // namespace
}  // namespace camphormux::history
