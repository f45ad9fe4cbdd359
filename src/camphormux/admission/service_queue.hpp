#ifndef CAMPHORMUX_ADMISSION_SERVICE_QUEUE_HPP_
#define CAMPHORMUX_ADMISSION_SERVICE_QUEUE_HPP_

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "camphormux/admission/fair_queue.hpp"
#include "camphormux/core/time.hpp"

namespace camphormux::admission {

enum class Priority { kUrgent, kNormal };

/// @brief Why a request was not admitted.
enum class Refusal {
  kQueueFull,
  kDeadline,  ///< It is predicted to end after its deadline.
};

/// @brief Bounds of a service's queue in one traffic thread.
struct QueueLimits {
  std::size_t capacity = 256;  ///< Per priority.
  int urgent_per_normal = 4;   ///< Urgent requests for each normal one.
};

/// @brief Run times of a service's latest attempts. An attempt that timed out
/// at its deadline counts with the time that it ran.
struct RecentRuns {
  std::vector<std::int32_t> run_ms;  ///< Ring buffer.
  std::size_t next = 0;              ///< Position of the next sample.
  int samples_since_quantile = 0;    ///< Not yet included in `quantile_ms`.
  double quantile_ms = 0.0;          ///< 99th percentile of `run_ms`.
};

/// @brief Observed speed of a service, used to predict waits and ends.
struct ServiceRate {
  double average_run_ms = 0.0;  ///< Moving average of run times; 0: unknown.
  /// When a run time was last observed; old averages are ignored. Otherwise one
  /// slow phase could refuse all requests for ever, as refused requests yield
  /// no new run times.
  std::optional<core::MonotonicTime> last_run_at;
  RecentRuns recent;  ///< Predicts slow runs.
  /// Moving average of the time between ends of runs while requests wait; 0:
  /// unknown.
  double completion_interval_ms = 0.0;
  /// End of the last run; reset when a request joins an empty queue, so that
  /// idle time is not averaged.
  std::optional<core::MonotonicTime> last_completion;
};

/// @brief Requests of one service that wait for an endpoint.
struct ServiceQueue {
  std::array<FairQueue, 2> by_priority;
  int urgent_in_a_row = 0;  ///< Urgent requests taken since a normal one.
  ServiceRate rate;
};

/// @brief Result of `Admit`.
struct Admission {
  std::optional<Refusal> refusal;   ///< Empty: the request was admitted.
  std::optional<Ticket> displaced;  ///< Another request, shed instead.
};

/// @brief A request taken from the queue.
struct NextTicket {
  Ticket ticket;
  Priority priority = Priority::kNormal;
  int urgent_before = 0;  ///< `urgent_in_a_row` before the take.
};

/// @brief Returns the number of queued requests.
/// @param queue The queue.
/// @return Requests of both priorities.
[[nodiscard]] std::size_t Waiting(const ServiceQueue& queue) noexcept;

/// @brief Predicts how long a new request would wait before it starts.
/// @param queue The queue.
/// @param priority Priority of the request.
/// @param limits Limits of the queue.
/// @return The wait in milliseconds; 0 until a completion interval was
/// observed.
[[nodiscard]] core::Millis PredictedWait(const ServiceQueue& queue,
                                         Priority priority,
                                         const QueueLimits& limits);

/// @brief Predicts when a request would end.
/// @param rate Observed speed of the service.
/// @param start When the request starts.
/// @param now Current time. If no run time was observed within the last second,
/// the average run time is ignored.
/// @return The start plus the average run time.
[[nodiscard]] core::MonotonicTime PredictedEnd(const ServiceRate& rate,
                                               core::MonotonicTime start,
                                               core::MonotonicTime now);

/// @brief Tells whether a request would start too close to its deadline.
/// @param rate Observed speed of the service.
/// @param ticket The request.
/// @param start When it starts.
/// @param now Current time.
/// @return True if the time left is shorter than the average run time or the
/// 99th percentile of recent run times. The percentile is capped at half of the
/// request's timeout, so that slow responses never refuse a request that did
/// not wait.
[[nodiscard]] bool IsLate(const ServiceRate& rate, const Ticket& ticket,
                          core::MonotonicTime start, core::MonotonicTime now);

/// @brief Queues a request if it can be answered in time.
/// @param queue The queue.
/// @param ticket The request.
/// @param priority Its priority.
/// @param limits Limits of the queue.
/// @param now Current time.
/// @return Why it was refused, or which other request is shed to make room.
[[nodiscard]] Admission Admit(ServiceQueue& queue, Ticket ticket,
                              Priority priority, const QueueLimits& limits,
                              core::MonotonicTime now);

/// @brief Takes the next request: urgent ones first, and a waiting normal one
/// after each `urgent_per_normal` urgent ones.
/// @param queue The queue.
/// @param limits Limits of the queue.
/// @return The request with its priority, or nothing if the queue is empty.
[[nodiscard]] std::optional<NextTicket> TakeNext(ServiceQueue& queue,
                                                 const QueueLimits& limits);

/// @brief Records that a run ended and freed a slot for the next request. Not
/// to be called for refused attempts, which free no slot.
/// @param rate Observed speed of the service.
/// @param now Current time.
void ObserveCompletion(ServiceRate& rate, core::MonotonicTime now);

/// @brief Puts back a request for which no endpoint was found, and restores the
/// count of urgent requests in a row, so that its turn is not used up. Several
/// requests must be put back in the reverse order of their taking.
/// @param queue The queue.
/// @param next The request as returned by `TakeNext`.
void PutBack(ServiceQueue& queue, NextTicket next);

/// @brief Restores the count of urgent requests in a row after a take that does
/// not lead to an attempt, so that later requests are taken as if this one were
/// not queued.
/// @param queue The queue.
/// @param next The request as returned by `TakeNext`. A skipped request is put
/// back later with `PutBackSkipped`.
void RestoreTurnCount(ServiceQueue& queue, const NextTicket& next);

/// @brief Puts skipped requests back. The turns of requests that were taken in
/// the meantime stay counted.
/// @param queue The queue.
/// @param skipped The requests, in the order of their taking.
void PutBackSkipped(ServiceQueue& queue, std::vector<NextTicket> skipped);

/// @brief Removes the requests for which `IsLate` holds if they start now.
/// @param queue The queue.
/// @param now Current time.
/// @return The removed requests.
[[nodiscard]] std::vector<Ticket> RemoveLate(ServiceQueue& queue,
                                             core::MonotonicTime now);

/// @brief Records that a run was ended by its deadline.
/// @param rate Observed speed of the service.
/// @param run_time From the attempt's start to its end.
void ObserveTimedOutRun(ServiceRate& rate, core::Millis run_time);

/// @brief Records how long an answered request ran.
/// @param rate Observed speed of the service.
/// @param run_time From the attempt's start to its end.
/// @param now Current time.
void ObserveRun(ServiceRate& rate, core::Millis run_time,
                core::MonotonicTime now);

}  // namespace camphormux::admission

#endif  // CAMPHORMUX_ADMISSION_SERVICE_QUEUE_HPP_
