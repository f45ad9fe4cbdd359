#ifndef CAMPHORMUX_ADMISSION_FAIR_QUEUE_HPP_
#define CAMPHORMUX_ADMISSION_FAIR_QUEUE_HPP_

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "camphormux/core/time.hpp"

namespace camphormux::admission {

/// @brief A queued request.
struct Ticket {
  std::uint64_t id = 0;
  std::string caller;
  core::MonotonicTime deadline;
  core::Millis timeout{0};  ///< From the arrival to the deadline.
};

/// @brief A bounded queue that serves callers in round-robin order; the tickets
/// of one caller are served first in, first out.
struct FairQueue {
  std::unordered_map<std::string, std::deque<Ticket>> by_caller;
  /// Callers that have tickets; the front is served next.
  std::list<std::string> round_robin;
  std::size_t size = 0;
};

/// @brief Result of a push.
struct PushResult {
  bool admitted = false;
  std::optional<Ticket> displaced;  ///< Removed to make room.
};

/// @brief Adds a ticket. If the queue is full, the caller with the most tickets
/// loses its newest ticket, which is the added one if it is from that caller.
/// @param queue The queue.
/// @param ticket The ticket.
/// @param capacity Maximum number of tickets.
/// @return Whether the ticket was added and which one it displaced.
[[nodiscard]] PushResult Push(FairQueue& queue, Ticket ticket,
                              std::size_t capacity);

/// @brief Puts a popped ticket back in front of its caller's other tickets. The
/// queue may exceed its capacity by such tickets.
/// @param queue The queue.
/// @param ticket The ticket.
void PushFront(FairQueue& queue, Ticket ticket);

/// @brief Removes the first ticket of the caller whose turn it is.
/// @param queue The queue.
/// @return The ticket, or nothing if the queue is empty.
[[nodiscard]] std::optional<Ticket> Pop(FairQueue& queue);

/// @brief Removes the tickets that satisfy a predicate.
/// @param queue The queue.
/// @param remove Predicate that selects the tickets to remove.
/// @return The removed tickets.
[[nodiscard]] std::vector<Ticket> RemoveIf(
    FairQueue& queue, const std::function<bool(const Ticket&)>& remove);

/// @brief Removes the tickets that can no longer be answered in time.
/// @param queue The queue.
/// @param earliest_end Earliest possible end of a request; tickets with an
/// earlier deadline are removed.
/// @return The removed tickets.
[[nodiscard]] std::vector<Ticket> RemoveExpired(
    FairQueue& queue, core::MonotonicTime earliest_end);

}  // namespace camphormux::admission

#endif  // CAMPHORMUX_ADMISSION_FAIR_QUEUE_HPP_
