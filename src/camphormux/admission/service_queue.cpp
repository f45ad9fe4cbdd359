#include "camphormux/admission/service_queue.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace camphormux::admission {
namespace internal {

/// Weight of a new sample in the moving averages.
constexpr double kSampleWeight = 0.1;
/// Age of the latest run time up to which the average is used for predictions.
constexpr core::Millis kRunTimeMaxAge = std::chrono::seconds(1);
/// Number of run times kept: enough for five samples to lie above the 99th
/// percentile.
constexpr std::size_t kRecentRuns = 512;
constexpr double kSlowRunQuantile = 0.99;
/// The quantile is recomputed after this many new samples.
constexpr int kSamplesPerQuantile = 16;

void AddRecent(RecentRuns& recent, core::Millis run_time) {
  const auto sample = static_cast<std::int32_t>(run_time.count());
  if (recent.run_ms.size() < kRecentRuns) {
    recent.run_ms.push_back(sample);
  } else {
    recent.run_ms[recent.next] = sample;
  }
  recent.next = (recent.next + 1) % kRecentRuns;
  if (++recent.samples_since_quantile < kSamplesPerQuantile) {
    return;
  }
  recent.samples_since_quantile = 0;
  std::vector<std::int32_t> sorted = recent.run_ms;
  const auto rank = static_cast<std::ptrdiff_t>(
      kSlowRunQuantile * static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(), sorted.begin() + rank, sorted.end());
  recent.quantile_ms =
      static_cast<double>(sorted[static_cast<std::size_t>(rank)]);
}

FairQueue& QueueFor(ServiceQueue& queue, Priority priority) {
  return queue.by_priority[static_cast<std::size_t>(priority)];
}

const FairQueue& QueueFor(const ServiceQueue& queue, Priority priority) {
  return queue.by_priority[static_cast<std::size_t>(priority)];
}

void UpdateAverage(double& average, double sample) {
  average =
      average == 0.0 ? sample : average + kSampleWeight * (sample - average);
}

Priority NextPriority(const ServiceQueue& queue, const QueueLimits& limits) {
  if (QueueFor(queue, Priority::kUrgent).size == 0) {
    return Priority::kNormal;
  }
  const bool normal_turn = queue.urgent_in_a_row >= limits.urgent_per_normal &&
                           QueueFor(queue, Priority::kNormal).size > 0;
  return normal_turn ? Priority::kNormal : Priority::kUrgent;
}

/// Number of requests that are served before a new one, given the ratio of
/// urgent to normal requests.
double RequestsAhead(const ServiceQueue& queue, Priority priority,
                     const QueueLimits& limits) {
  const auto urgent =
      static_cast<double>(QueueFor(queue, Priority::kUrgent).size);
  const auto normal =
      static_cast<double>(QueueFor(queue, Priority::kNormal).size);
  const auto ratio = static_cast<double>(limits.urgent_per_normal);
  if (priority == Priority::kUrgent) {
    return urgent + std::min(normal, (urgent + 1) / ratio);
  }
  return normal + std::min(urgent, (normal + 1) * ratio);
}

}  // namespace internal

std::size_t Waiting(const ServiceQueue& queue) noexcept {
  return queue.by_priority[0].size + queue.by_priority[1].size;
}

core::Millis PredictedWait(const ServiceQueue& queue, Priority priority,
                           const QueueLimits& limits) {
  return core::Millis(static_cast<core::Millis::rep>(
      std::llround(internal::RequestsAhead(queue, priority, limits) *
                   queue.rate.completion_interval_ms)));
}

core::MonotonicTime PredictedEnd(const ServiceRate& rate,
                                 core::MonotonicTime start,
                                 core::MonotonicTime now) {
  if (!rate.last_run_at || now - *rate.last_run_at > internal::kRunTimeMaxAge) {
    return start;
  }
  return start + core::Millis(static_cast<core::Millis::rep>(
                     std::llround(rate.average_run_ms)));
}

bool IsLate(const ServiceRate& rate, const Ticket& ticket,
            core::MonotonicTime start, core::MonotonicTime now) {
  if (PredictedEnd(rate, start, now) > ticket.deadline) {
    return true;
  }
  const core::Millis slow_run(
      static_cast<core::Millis::rep>(std::llround(rate.recent.quantile_ms)));
  return start + std::min(slow_run, ticket.timeout / 2) > ticket.deadline;
}

Admission Admit(ServiceQueue& queue, Ticket ticket, Priority priority,
                const QueueLimits& limits, core::MonotonicTime now) {
  const core::MonotonicTime start =
      now + PredictedWait(queue, priority, limits);
  if (IsLate(queue.rate, ticket, start, now)) {
    return {Refusal::kDeadline, std::nullopt};
  }
  if (Waiting(queue) == 0) {
    queue.rate.last_completion.reset();
  }
  PushResult pushed = Push(internal::QueueFor(queue, priority),
                           std::move(ticket), limits.capacity);
  if (!pushed.admitted) {
    return {Refusal::kQueueFull, std::nullopt};
  }
  return {std::nullopt, std::move(pushed.displaced)};
}

std::optional<NextTicket> TakeNext(ServiceQueue& queue,
                                   const QueueLimits& limits) {
  const Priority priority = internal::NextPriority(queue, limits);
  auto ticket = Pop(internal::QueueFor(queue, priority));
  if (!ticket) {
    return std::nullopt;
  }
  const int urgent_before = queue.urgent_in_a_row;
  queue.urgent_in_a_row =
      priority == Priority::kUrgent ? queue.urgent_in_a_row + 1 : 0;
  return NextTicket{std::move(*ticket), priority, urgent_before};
}

void ObserveCompletion(ServiceRate& rate, core::MonotonicTime now) {
  if (rate.last_completion) {
    internal::UpdateAverage(
        rate.completion_interval_ms,
        static_cast<double>((now - *rate.last_completion).count()));
  }
  rate.last_completion = now;
}

void PutBack(ServiceQueue& queue, NextTicket next) {
  queue.urgent_in_a_row = next.urgent_before;
  PushFront(internal::QueueFor(queue, next.priority), std::move(next.ticket));
}

void RestoreTurnCount(ServiceQueue& queue, const NextTicket& next) {
  queue.urgent_in_a_row = next.urgent_before;
}

void PutBackSkipped(ServiceQueue& queue, std::vector<NextTicket> skipped) {
  while (!skipped.empty()) {
    NextTicket& next = skipped.back();
    PushFront(internal::QueueFor(queue, next.priority), std::move(next.ticket));
    skipped.pop_back();
  }
}

std::vector<Ticket> RemoveLate(ServiceQueue& queue, core::MonotonicTime now) {
  const auto is_late = [&](const Ticket& ticket) {
    return IsLate(queue.rate, ticket, now, now);
  };
  std::vector<Ticket> late = RemoveIf(queue.by_priority[0], is_late);
  std::vector<Ticket> normal = RemoveIf(queue.by_priority[1], is_late);
  std::move(normal.begin(), normal.end(), std::back_inserter(late));
  return late;
}

void ObserveTimedOutRun(ServiceRate& rate, core::Millis run_time) {
  internal::AddRecent(rate.recent, run_time);
}

void ObserveRun(ServiceRate& rate, core::Millis run_time,
                core::MonotonicTime now) {
  internal::UpdateAverage(rate.average_run_ms,
                          static_cast<double>(run_time.count()));
  rate.last_run_at = now;
  internal::AddRecent(rate.recent, run_time);
}

}  // namespace camphormux::admission
