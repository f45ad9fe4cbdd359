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

/// @brief A request that waits.
struct Ticket {
  std::uint64_t id = 0;
  std::string caller;
  core::MonotonicTime deadline;
  core::Millis timeout{0};  ///< From the arrival to the deadline.
};

/// @brief A bounded queue that takes turns between callers. Each caller's own
/// tickets stay in their order.
struct FairQueue {
  std::unordered_map<std::string, std::deque<Ticket>> by_caller;
  std::list<std::string>
      round_robin;  ///< Callers with tickets; the front is next.
  std::size_t size = 0;
};

/// @brief Result of a push.
struct PushResult {
  bool admitted = false;
  std::optional<Ticket> displaced;  ///< A ticket that had to leave.
};

/// @brief Adds a ticket. When the queue is full, the caller with the most
/// tickets loses: its newest ticket, or the new one if that is its own.
/// @param queue The queue.
/// @param ticket The ticket.
/// @param capacity Highest number of tickets.
/// @return Whether the ticket was added and which one it displaced.
[[nodiscard]] PushResult Push(FairQueue& queue, Ticket ticket,
                              std::size_t capacity);

/// @brief Puts a ticket that was popped back in front of its caller's others.
/// The queue may exceed its capacity by such tickets.
/// @param queue The queue.
/// @param ticket The ticket.
void PushFront(FairQueue& queue, Ticket ticket);

/// @brief Takes the first ticket of the caller whose turn it is.
/// @param queue The queue.
/// @return The ticket, or nothing if the queue is empty.
[[nodiscard]] std::optional<Ticket> Pop(FairQueue& queue);

/// @brief Removes tickets.
/// @param queue The queue.
/// @param remove Tells which tickets go.
/// @return The removed tickets.
[[nodiscard]] std::vector<Ticket> RemoveIf(
    FairQueue& queue, const std::function<bool(const Ticket&)>& remove);

/// @brief Removes the tickets that cannot be answered in time.
/// @param queue The queue.
/// @param earliest_end Tickets with an earlier deadline are removed.
/// @return The removed tickets.
[[nodiscard]] std::vector<Ticket> RemoveExpired(
    FairQueue& queue, core::MonotonicTime earliest_end);

}  // namespace camphormux::admission

#endif  // CAMPHORMUX_ADMISSION_FAIR_QUEUE_HPP_
