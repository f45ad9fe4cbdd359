#include "camphormux/coordinator/job_frontend.hpp"

#include <chrono>
#include <memory>
#include <optional>
#include <vector>

#include <gtest/gtest.h>

#include "camphormux/cbor/cbor.hpp"
#include "camphormux/coordinator/node_metrics.hpp"
#include "camphormux/peer/server.hpp"

namespace camphormux::coordinator {
namespace {

/// The frontend of a node whose holder receives requests and never answers.
struct Harness {
  Harness()
      : node_metrics(RegisterNodeMetrics(registry)),
        server(loop, {"127.0.0.1", 0},
               [this](const peer::Request&, const peer::Respond& respond) {
                 unanswered.push_back(respond);
               }),
        holder_client(loop, "127.0.0.1"),
        frontend(std::make_shared<JobFrontend>(loop, holder_client,
                                               node_metrics, [] {})) {}

  bool RunUntil(const std::function<bool()>& condition) {
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!condition() && std::chrono::steady_clock::now() < end) {
      loop.restart();
      loop.run_one_for(std::chrono::milliseconds(20));
    }
    return condition();
  }

  static workload::JobSpec Spec() {
    workload::JobSpec spec;
    spec.id.value = "5c0e7a21d94b36f8";
    spec.queue.value = "q";
    spec.steps.resize(1);
    return spec;
  }

  static peer::Response Answer(SubmitOutcome outcome,
                               std::uint64_t retry_after_ms) {
    return {peer::kStatusOk,
            cbor::Serialize(nlohmann::json::array(
                {static_cast<std::uint64_t>(outcome), retry_after_ms}))};
  }

  asio::io_context loop;
  prometheus::Registry registry;
  NodeMetrics node_metrics;
  std::vector<peer::Respond> unanswered;
  peer::Server server;
  HolderClient holder_client;
  std::shared_ptr<JobFrontend> frontend;
};

constexpr core::Millis kDeadline{60'000};
constexpr core::Millis kLastAnswer{300};

// Guards against callers whose connection ends without an answer because the
// process stops while their request waits for the holder.
TEST(JobFrontendTest, OpenRequestsAreAnsweredBeforeTheProcessEnds) {
  Harness harness;
  harness.holder_client.SetHolder({{"127.0.0.1", harness.server.port()}});
  const core::MonotonicTime deadline = core::MonotonicNow() + kDeadline;
  std::optional<SubmitAnswer> submitted;
  std::optional<StateAnswer> state;
  std::optional<QueryOutcome> cancelled;
  harness.frontend->Submit(Harness::Spec(), deadline,
                           [&](SubmitAnswer answer) { submitted = answer; });
  harness.frontend->State({"5c0e7a21d94b36f8"}, {}, deadline,
                          [&](StateAnswer answer) { state = answer; });
  harness.frontend->Cancel({"5c0e7a21d94b36f8"}, {}, deadline,
                           [&](QueryOutcome answer) { cancelled = answer; });
  ASSERT_TRUE(harness.RunUntil([&] { return harness.unanswered.size() == 3; }));
  harness.frontend->SetLastAnswerTime(core::MonotonicNow() + kLastAnswer);
  ASSERT_TRUE(
      harness.RunUntil([&] { return submitted && state && cancelled; }));
  EXPECT_EQ(submitted->outcome, SubmitOutcome::kUnknown);
  EXPECT_EQ(state->outcome, QueryOutcome::kUnavailable);
  EXPECT_EQ(*cancelled, QueryOutcome::kUnavailable);
}

// Guards against a request that arrives on an open connection just before the
// process ends.
TEST(JobFrontendTest, RequestAfterTheLastAnswerTimeIsRejectedAtOnce) {
  Harness harness;
  harness.frontend->SetLastAnswerTime(core::MonotonicNow());
  std::optional<SubmitAnswer> submitted;
  const core::MonotonicTime start = core::MonotonicNow();
  harness.frontend->Submit(Harness::Spec(), start + kDeadline,
                           [&](SubmitAnswer answer) { submitted = answer; });
  ASSERT_TRUE(harness.RunUntil([&] { return submitted.has_value(); }));
  EXPECT_EQ(submitted->outcome, SubmitOutcome::kUnavailable);
  EXPECT_LT(core::MonotonicNow() - start, core::Millis(500));
}

// Guards against a caller that is told that nobody knows whether its job is
// stored, although the job was never sent: callers do not retry after that.
TEST(JobFrontendTest, SubmissionWithoutTimeForAnAnswerIsRejectedAndNotSent) {
  Harness harness;
  harness.holder_client.SetHolder({{"127.0.0.1", harness.server.port()}});
  std::optional<SubmitAnswer> submitted;
  harness.frontend->Submit(Harness::Spec(),
                           core::MonotonicNow() + core::Millis(60),
                           [&](SubmitAnswer answer) { submitted = answer; });
  ASSERT_TRUE(harness.RunUntil([&] { return submitted.has_value(); }));
  EXPECT_EQ(submitted->outcome, SubmitOutcome::kUnavailable);
  harness.loop.restart();
  harness.loop.run_for(std::chrono::milliseconds(100));
  EXPECT_TRUE(harness.unanswered.empty());
}

// Guards against callers that wait, and lose the time for further attempts,
// although the holder has already told that it cannot store jobs.
TEST(JobFrontendTest, OutageThatTheHolderKnowsIsReportedAtOnce) {
  Harness harness;
  harness.holder_client.SetHolder({{"127.0.0.1", harness.server.port()}});
  std::optional<SubmitAnswer> submitted;
  harness.frontend->Submit(Harness::Spec(), core::MonotonicNow() + kDeadline,
                           [&](SubmitAnswer answer) { submitted = answer; });
  ASSERT_TRUE(harness.RunUntil([&] { return harness.unanswered.size() == 1; }));
  harness.unanswered[0](Harness::Answer(SubmitOutcome::kUnavailable, 2000));
  ASSERT_TRUE(harness.RunUntil([&] { return submitted.has_value(); }));
  EXPECT_EQ(harness.unanswered.size(), 1U);
  EXPECT_EQ(submitted->outcome, SubmitOutcome::kUnavailable);
  EXPECT_EQ(submitted->retry_after, core::Millis(2000));
}

// Guards against a job that is reported as not accepted and runs: an earlier
// attempt may have stored it before the outage began.
TEST(JobFrontendTest, OutageDoesNotHideAnEarlierAttempt) {
  Harness harness;
  harness.holder_client.SetHolder({{"127.0.0.1", harness.server.port()}});
  std::optional<SubmitAnswer> submitted;
  harness.frontend->Submit(Harness::Spec(),
                           core::MonotonicNow() + core::Millis(1000),
                           [&](SubmitAnswer answer) { submitted = answer; });
  ASSERT_TRUE(harness.RunUntil([&] { return harness.unanswered.size() == 1; }));
  harness.unanswered[0](Harness::Answer(SubmitOutcome::kUnknown, 0));
  ASSERT_TRUE(harness.RunUntil([&] { return harness.unanswered.size() == 2; }));
  harness.unanswered[1](Harness::Answer(SubmitOutcome::kUnavailable, 1000));
  ASSERT_TRUE(harness.RunUntil([&] { return submitted.has_value(); }));
  EXPECT_EQ(submitted->outcome, SubmitOutcome::kUnknown);
}

/// Submits a job to a holder that answers with this response.
std::optional<SubmitOutcome> OutcomeOf(const peer::Response& response) {
  Harness harness;
  harness.holder_client.SetHolder({{"127.0.0.1", harness.server.port()}});
  std::optional<SubmitOutcome> outcome;
  harness.holder_client.Submit(
      Harness::Spec(), kDeadline,
      [&](const SubmitAnswer& answer) { outcome = answer.outcome; });
  if (harness.RunUntil([&] { return !harness.unanswered.empty(); })) {
    harness.unanswered[0](response);
    harness.RunUntil([&] { return outcome.has_value(); });
  }
  return outcome;
}

// Guards against a job that is rejected and runs: the holder stored it, and its
// answer could not be read.
TEST(JobFrontendTest, SubmissionWithAnUnreadableAnswerIsNotRejected) {
  EXPECT_EQ(OutcomeOf({peer::kStatusOk, "unreadable"}),
            SubmitOutcome::kUnknown);
}

// Guards against a job that is rejected and runs: the holder failed after it
// had stored the job.
TEST(JobFrontendTest, SubmissionOnWhichTheHolderFailsMayBeStored) {
  EXPECT_EQ(OutcomeOf({peer::kStatusInternalError, ""}),
            SubmitOutcome::kUnknown);
}

// Guards against a job that is reported as not accepted and runs: an earlier
// attempt may have stored it before its queue was removed.
TEST(JobFrontendTest, RemovedQueueDoesNotHideAnEarlierAttempt) {
  Harness harness;
  harness.holder_client.SetHolder({{"127.0.0.1", harness.server.port()}});
  std::optional<SubmitAnswer> submitted;
  harness.frontend->Submit(Harness::Spec(), core::MonotonicNow() + kDeadline,
                           [&](SubmitAnswer answer) { submitted = answer; });
  ASSERT_TRUE(harness.RunUntil([&] { return harness.unanswered.size() == 1; }));
  harness.unanswered[0](Harness::Answer(SubmitOutcome::kUnknown, 0));
  ASSERT_TRUE(harness.RunUntil([&] { return harness.unanswered.size() == 2; }));
  harness.unanswered[1](Harness::Answer(SubmitOutcome::kNoQueue, 0));
  ASSERT_TRUE(harness.RunUntil([&] { return submitted.has_value(); }));
  EXPECT_EQ(submitted->outcome, SubmitOutcome::kUnknown);
}

// Guards against a job that is reported as not accepted and runs: the holder
// stored it and ended, and the next process at its address rejects the retry.
TEST(JobFrontendTest, RejectionByTheNextProcessDoesNotHideAnEarlierAttempt) {
  Harness harness;
  std::vector<peer::Respond> open;
  auto holder = std::make_unique<peer::Server>(
      harness.loop, core::Address{"127.0.0.1", 0},
      [&](const peer::Request&, const peer::Respond& respond) {
        open.push_back(respond);
      });
  const core::Address address{"127.0.0.1", holder->port()};
  harness.holder_client.SetHolder(address);
  std::optional<SubmitAnswer> submitted;
  harness.frontend->Submit(Harness::Spec(),
                           core::MonotonicNow() + core::Millis(1000),
                           [&](SubmitAnswer answer) { submitted = answer; });
  ASSERT_TRUE(harness.RunUntil([&] { return open.size() == 1; }));
  holder.reset();
  int rejected = 0;
  const peer::Server next(
      harness.loop, address,
      [&](const peer::Request&, const peer::Respond& respond) {
        ++rejected;
        respond({peer::kStatusUnavailable, ""});
      });
  ASSERT_TRUE(harness.RunUntil([&] { return submitted.has_value(); }));
  EXPECT_GT(rejected, 0);
  EXPECT_EQ(submitted->outcome, SubmitOutcome::kUnknown);
}

}  // namespace
}  // namespace camphormux::coordinator
