#include "camphormux/admission/service_queue.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace camphormux::admission {
namespace internal {

/// Weight of a new sample in the moving averages.
constexpr double kSampleWeight = 0.1;
/// How long a run time predicts the next ones.
constexpr core::Millis kRunMemory = std::chrono::seconds(1);

FairQueue& Of(ServiceQueue& queue, Priority priority) {
  return queue.by_priority[static_cast<std::size_t>(priority)];
}

const FairQueue& Of(const ServiceQueue& queue, Priority priority) {
  return queue.by_priority[static_cast<std::size_t>(priority)];
}

void Average(double& average, double sample) {
  average =
      average == 0.0 ? sample : average + kSampleWeight * (sample - average);
}

Priority NextPriority(const ServiceQueue& queue, const QueueLimits& limits) {
  if (Of(queue, Priority::kUrgent).size == 0) {
    return Priority::kNormal;
  }
  const bool normal_turn = queue.urgent_in_a_row >= limits.urgent_turns &&
                           Of(queue, Priority::kNormal).size > 0;
  return normal_turn ? Priority::kNormal : Priority::kUrgent;
}

/// Requests that go before a new one, by the weights of the priorities.
double Ahead(const ServiceQueue& queue, Priority priority,
             const QueueLimits& limits) {
  const auto urgent = static_cast<double>(Of(queue, Priority::kUrgent).size);
  const auto normal = static_cast<double>(Of(queue, Priority::kNormal).size);
  const auto turns = static_cast<double>(limits.urgent_turns);
  if (priority == Priority::kUrgent) {
    return urgent + std::min(normal, (urgent + 1) / turns);
  }
  return normal + std::min(urgent, (normal + 1) * turns);
}

}  // namespace internal

std::size_t Waiting(const ServiceQueue& queue) noexcept {
  return queue.by_priority[0].size + queue.by_priority[1].size;
}

core::Millis PredictedWait(const ServiceQueue& queue, Priority priority,
                           const QueueLimits& limits) {
  return core::Millis(static_cast<core::Millis::rep>(std::llround(
      internal::Ahead(queue, priority, limits) * queue.rate.interval_ms)));
}

core::MonotonicTime PredictedEnd(const ServiceRate& rate,
                                 core::MonotonicTime start,
                                 core::MonotonicTime now) {
  if (!rate.run_seen || now - *rate.run_seen > internal::kRunMemory) {
    return start;
  }
  return start + core::Millis(
                     static_cast<core::Millis::rep>(std::llround(rate.run_ms)));
}

Admission Admit(ServiceQueue& queue, Ticket ticket, Priority priority,
                const QueueLimits& limits, core::MonotonicTime now) {
  const core::MonotonicTime start =
      now + PredictedWait(queue, priority, limits);
  if (PredictedEnd(queue.rate, start, now) > ticket.deadline) {
    return {Refusal::kDeadline, std::nullopt};
  }
  if (Waiting(queue) == 0) {
    queue.rate.last_start.reset();
  }
  PushResult pushed =
      Push(internal::Of(queue, priority), std::move(ticket), limits.capacity);
  if (!pushed.admitted) {
    return {Refusal::kQueueFull, std::nullopt};
  }
  return {std::nullopt, std::move(pushed.displaced)};
}

std::optional<NextTicket> TakeNext(ServiceQueue& queue,
                                   const QueueLimits& limits) {
  const Priority priority = internal::NextPriority(queue, limits);
  auto ticket = Pop(internal::Of(queue, priority));
  if (!ticket) {
    return std::nullopt;
  }
  const int urgent_before = queue.urgent_in_a_row;
  queue.urgent_in_a_row =
      priority == Priority::kUrgent ? queue.urgent_in_a_row + 1 : 0;
  return NextTicket{std::move(*ticket), priority, urgent_before};
}

void ObserveStart(ServiceRate& rate, core::MonotonicTime now) {
  if (rate.last_start) {
    internal::Average(rate.interval_ms,
                      static_cast<double>((now - *rate.last_start).count()));
  }
  rate.last_start = now;
}

void PutBack(ServiceQueue& queue, NextTicket next) {
  queue.urgent_in_a_row = next.urgent_before;
  PushFront(internal::Of(queue, next.priority), std::move(next.ticket));
}

std::vector<Ticket> RemoveLate(ServiceQueue& queue, core::MonotonicTime now) {
  const core::MonotonicTime end = PredictedEnd(queue.rate, now, now);
  std::vector<Ticket> late = RemoveExpired(queue.by_priority[0], end);
  std::vector<Ticket> normal = RemoveExpired(queue.by_priority[1], end);
  std::move(normal.begin(), normal.end(), std::back_inserter(late));
  return late;
}

void ObserveRun(ServiceRate& rate, core::Millis run_time,
                core::MonotonicTime now) {
  internal::Average(rate.run_ms, static_cast<double>(run_time.count()));
  rate.run_seen = now;
}

}  // namespace camphormux::admission
