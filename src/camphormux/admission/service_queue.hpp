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
  kDeadline,  ///< It would not be answered before its deadline.
};

/// @brief Bounds of a service's queue in one traffic thread.
struct QueueLimits {
  std::size_t capacity = 256;  ///< For each priority.
  int urgent_per_normal = 4;   ///< Urgent requests for each normal one.
};

/// @brief The latest run times of a service. Those that the deadline cut count
/// as long as they lasted.
struct RecentRuns {
  std::vector<std::int32_t> run_ms;  ///< A ring.
  std::size_t next = 0;
  int samples_since_quantile =
      0;  ///< Samples that `quantile_ms` does not include.
  double quantile_ms = 0.0;
};

/// @brief Observed speed of a service; predicts waits.
struct ServiceRate {
  double average_run_ms = 0.0;  ///< Moving average of run times; 0: unknown.
  /// When a run time was last seen. Without this, one slow phase could refuse
  /// all requests for ever, as refused requests give no new run times.
  std::optional<core::MonotonicTime> last_run_at;
  RecentRuns recent;  ///< Predict the slowest of the next runs.
  double completion_interval_ms =
      0.0;  ///< Between ends of runs while requests wait.
  std::optional<core::MonotonicTime> last_completion;  ///< While requests wait.
};

/// @brief Requests of one service that wait for an endpoint.
struct ServiceQueue {
  std::array<FairQueue, 2> by_priority;
  int urgent_in_a_row = 0;
  ServiceRate rate;
};

/// @brief Result of an admission.
struct Admission {
  std::optional<Refusal> refusal;
  std::optional<Ticket> displaced;  ///< A request that is shed instead.
};

/// @brief A request that was taken from the queue.
struct NextTicket {
  Ticket ticket;
  Priority priority = Priority::kNormal;
  int urgent_before = 0;  ///< Urgent requests in a row before it.
};

/// @brief Returns how many requests wait.
/// @param queue The queue.
/// @return Both priorities together.
[[nodiscard]] std::size_t Waiting(const ServiceQueue& queue) noexcept;

/// @brief Predicts when a new request would start.
/// @param queue The queue.
/// @param priority Priority of the request.
/// @param limits The limits.
/// @return The wait; 0 as long as no rate was observed.
[[nodiscard]] core::Millis PredictedWait(const ServiceQueue& queue,
                                         Priority priority,
                                         const QueueLimits& limits);

/// @brief Returns when a request that starts at a time would end.
/// @param rate The observed speed.
/// @param start When it starts.
/// @param now The time; run times that were seen long ago do not count.
/// @return The start and the average run time.
[[nodiscard]] core::MonotonicTime PredictedEnd(const ServiceRate& rate,
                                               core::MonotonicTime start,
                                               core::MonotonicTime now);

/// @brief Tells whether a request would start too close to its deadline.
/// @param rate The observed speed.
/// @param ticket The request.
/// @param start When it starts.
/// @param now The time.
/// @return Whether less time remains than runs lately took on average, or than
/// 99% of them took. The latter counts for half of the request's timeout at
/// most, so that slow answers never refuse a request that did not wait.
[[nodiscard]] bool IsLate(const ServiceRate& rate, const Ticket& ticket,
                          core::MonotonicTime start, core::MonotonicTime now);

/// @brief Admits a request to the queue, if it can be answered in time.
/// @param queue The queue.
/// @param ticket The request.
/// @param priority Its priority.
/// @param limits The limits.
/// @param now The time.
/// @return Why it was refused, or which other request is shed for it.
[[nodiscard]] Admission Admit(ServiceQueue& queue, Ticket ticket,
                              Priority priority, const QueueLimits& limits,
                              core::MonotonicTime now);

/// @brief Takes the next request: urgent ones first, a normal one after each
/// `urgent_per_normal` urgent ones.
/// @param queue The queue.
/// @param limits The limits.
/// @return The request with its priority, or nothing.
[[nodiscard]] std::optional<NextTicket> TakeNext(ServiceQueue& queue,
                                                 const QueueLimits& limits);

/// @brief Notes that a run ended and made room for the next request. Refused
/// attempts do not count, they make no room.
/// @param rate The observed speed.
/// @param now The time.
void ObserveCompletion(ServiceRate& rate, core::MonotonicTime now);

/// @brief Puts a request back that found no endpoint; its turn is not used up.
/// Requests are put back in the reverse order of their taking.
/// @param queue The queue.
/// @param next The request as taken.
void PutBack(ServiceQueue& queue, NextTicket next);

/// @brief Gives the turn of a request back that is skipped for now, so that the
/// requests behind it are taken as if it were not there.
/// @param queue The queue.
/// @param next The request as taken; put it back with `PutBackSkipped`.
void RestoreTurnCount(ServiceQueue& queue, const NextTicket& next);

/// @brief Puts skipped requests back; the turns of those that were taken in the
/// meantime stay counted.
/// @param queue The queue.
/// @param skipped The requests in the order of their taking.
void PutBackSkipped(ServiceQueue& queue, std::vector<NextTicket> skipped);

/// @brief Removes the requests that would be late if they started now.
/// @param queue The queue.
/// @param now The time.
/// @return The removed requests.
[[nodiscard]] std::vector<Ticket> RemoveLate(ServiceQueue& queue,
                                             core::MonotonicTime now);

/// @brief Notes that a run was cut by its deadline.
/// @param rate The observed speed.
/// @param run_time From the attempt's start to its end.
void ObserveTimedOutRun(ServiceRate& rate, core::Millis run_time);

/// @brief Notes how long a request ran.
/// @param rate The observed speed.
/// @param run_time From the attempt's start to its end.
/// @param now The time.
void ObserveRun(ServiceRate& rate, core::Millis run_time,
                core::MonotonicTime now);

}  // namespace camphormux::admission

#endif  // CAMPHORMUX_ADMISSION_SERVICE_QUEUE_HPP_
