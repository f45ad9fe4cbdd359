#include "camphormux/admission/service_queue.hpp"

#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace camphormux::admission {
namespace {

constexpr core::MonotonicTime kNow{std::chrono::hours(1)};
constexpr core::MonotonicTime kFarDeadline = kNow + std::chrono::hours(1);

Ticket MakeTicket(std::uint64_t id, core::MonotonicTime deadline) {
  return {id, "caller", deadline};
}

// Guards against starvation of normal requests, and against urgent ones that
// wait for more normal ones than the ratio allows.
TEST(ServiceQueueTest, UrgentRequestsGoFirstAtFourToOne) {
  ServiceQueue queue;
  const QueueLimits limits;
  for (std::uint64_t i = 0; i < 40; ++i) {
    const Priority priority = i < 20 ? Priority::kNormal : Priority::kUrgent;
    EXPECT_FALSE(
        Admit(queue, MakeTicket(i, kFarDeadline), priority, limits, kNow)
            .refusal);
  }
  std::string order;
  while (const auto next = TakeNext(queue, limits)) {
    order += next->priority == Priority::kUrgent ? 'u' : 'n';
  }
  EXPECT_EQ(order.substr(0, 25), "uuuunuuuunuuuunuuuunuuuun");
  EXPECT_EQ(order.substr(25), std::string(15, 'n'));
}

// Guards against normal requests that starve because one that is taken while no
// endpoint is free, and put back, loses its turn.
TEST(ServiceQueueTest, PuttingBackRestoresTheTurnCount) {
  ServiceQueue queue;
  const QueueLimits limits;
  for (std::uint64_t i = 0; i < 40; ++i) {
    const Priority priority = i < 20 ? Priority::kNormal : Priority::kUrgent;
    EXPECT_FALSE(
        Admit(queue, MakeTicket(i, kFarDeadline), priority, limits, kNow)
            .refusal);
  }
  std::string order;
  while (auto refused = TakeNext(queue, limits)) {
    PutBack(queue, std::move(*refused));
    order += TakeNext(queue, limits)->priority == Priority::kUrgent ? 'u' : 'n';
  }
  EXPECT_EQ(order.substr(0, 25), "uuuunuuuunuuuunuuuunuuuun");
}

// Guards against normal requests that starve because a request at the front is
// skipped repeatedly, such as a retry whose last endpoint is the only free one.
TEST(ServiceQueueTest, ASkippedRequestDoesNotResetTheTurnCount) {
  for (const Priority first : {Priority::kUrgent, Priority::kNormal}) {
    ServiceQueue queue;
    const QueueLimits limits;
    for (std::uint64_t i = 0; i < 100; ++i) {
      const Priority priority =
          i % 2 == 0 ? first
                     : (first == Priority::kUrgent ? Priority::kNormal
                                                   : Priority::kUrgent);
      EXPECT_FALSE(
          Admit(queue, MakeTicket(i, kFarDeadline), priority, limits, kNow)
              .refusal);
    }
    std::string order;
    for (int start = 0; start < 25; ++start) {
      std::vector<NextTicket> skipped;
      auto next = TakeNext(queue, limits);
      if (next->ticket.id == 0) {
        RestoreTurnCount(queue, *next);
        skipped.push_back(std::move(*next));
        next = TakeNext(queue, limits);
      }
      order += next->priority == Priority::kUrgent ? 'u' : 'n';
      PutBackSkipped(queue, std::move(skipped));
    }
    EXPECT_EQ(order, "uuuunuuuunuuuunuuuunuuuun");
  }
}

// Guards against queueing requests that cannot be answered in time, and against
// refusing those that can.
RC_GTEST_PROP(ServiceQueueTest, AdmitsOnlyRequestsThatCanEndInTime, ()) {
  ServiceQueue queue;
  const QueueLimits limits;
  queue.rate.completion_interval_ms = *rc::gen::inRange(0, 50);
  queue.rate.average_run_ms = *rc::gen::inRange(0, 200);
  queue.rate.last_run_at = kNow;
  const int count = *rc::gen::inRange(1, 100);
  for (int i = 0; i < count; ++i) {
    const Priority priority =
        *rc::gen::element(Priority::kUrgent, Priority::kNormal);
    const core::MonotonicTime deadline =
        kNow + core::Millis(*rc::gen::inRange(1, 1000));
    const core::Millis wait = PredictedWait(queue, priority, limits);
    const bool in_time =
        PredictedEnd(queue.rate, kNow + wait, kNow) <= deadline;
    const auto admission =
        Admit(queue, MakeTicket(static_cast<std::uint64_t>(i), deadline),
              priority, limits, kNow);
    RC_ASSERT((admission.refusal == Refusal::kDeadline) == !in_time);
  }
}

// Guards against a service that refuses all requests for ever after one slow
// phase.
TEST(ServiceQueueTest, OldRunTimesDoNotRefuseRequests) {
  ServiceQueue queue;
  const QueueLimits limits;
  ObserveRun(queue.rate, std::chrono::seconds(5), kNow);
  const auto ticket = [](core::MonotonicTime now) {
    return MakeTicket(1, now + std::chrono::seconds(1));
  };
  EXPECT_EQ(Admit(queue, ticket(kNow), Priority::kNormal, limits, kNow).refusal,
            Refusal::kDeadline);
  const core::MonotonicTime later = kNow + std::chrono::seconds(2);
  EXPECT_FALSE(Admit(queue, ticket(later), Priority::kNormal, limits, later)
                   .refusal.has_value());
}

// Guards against starting requests whose remaining time is shorter than the
// 99th percentile of run times (one run in a hundred takes longer), and against
// slow runs that cause the refusal of requests which did not wait.
TEST(ServiceQueueTest, SlowRunsBoundTheLatestStart) {
  ServiceRate rate;
  for (int i = 0; i < 512; ++i) {
    ObserveRun(rate, core::Millis(i % 32 == 0 ? 900 : 20), kNow);
  }
  const core::Millis timeout = std::chrono::seconds(4);
  const Ticket ticket{1, "caller", kNow + timeout, timeout};
  const auto late_with = [&](int remaining_ms) {
    return IsLate(rate, ticket, ticket.deadline - core::Millis(remaining_ms),
                  kNow);
  };
  EXPECT_TRUE(late_with(899));
  EXPECT_FALSE(late_with(900));
  for (int i = 0; i < 512; ++i) {
    ObserveTimedOutRun(rate, std::chrono::seconds(10));
  }
  EXPECT_TRUE(late_with(1999));
  EXPECT_FALSE(late_with(2000));
}

// Guards against predicting waits from idle time between bursts.
TEST(ServiceQueueTest, IdleTimeIsNotACompletionInterval) {
  ServiceQueue queue;
  const QueueLimits limits;
  core::MonotonicTime now = kNow;
  for (std::uint64_t i = 0; i < 5; ++i) {
    now += std::chrono::minutes(1);
    const Ticket ticket = MakeTicket(i, now + std::chrono::seconds(1));
    ASSERT_FALSE(Admit(queue, ticket, Priority::kNormal, limits, now).refusal);
    ASSERT_TRUE(TakeNext(queue, limits).has_value());
    ObserveCompletion(queue.rate, now);
  }
  EXPECT_EQ(queue.rate.completion_interval_ms, 0.0);
}

}  // namespace
}  // namespace camphormux::admission
