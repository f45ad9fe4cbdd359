#ifndef CAMPHORMUX_HTTP_CONNECTION_BUDGET_HPP_
#define CAMPHORMUX_HTTP_CONNECTION_BUDGET_HPP_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_set>

#include "camphormux/core/time.hpp"
#include "camphormux/core/units.hpp"

namespace camphormux::http {

/// @brief Why a connection was closed or a request refused.
enum class ConnectionRefusal {
  kBodyTooLarge,  ///< Answered with 413, or closed if it goes on.
  kHeadTooLarge,
  kMalformed,           ///< Not HTTP.
  kMemoryShort,         ///< Closed while it held much and moved too little.
  kTooManyConnections,  ///< Closed for a new connection.
  kRequestRefused       ///< Too large for the memory that is left.
};

/// @param reason A refusal.
/// @return Its name in metrics and log lines.
[[nodiscard]] const char* Name(ConnectionRefusal reason);

/// @brief Limits of what all connections of the servers that share a budget
/// hold together.
struct ConnectionBudgetOptions {
  /// Unfinished requests and requests that are being handled.
  core::Bytes total{std::int64_t{40} << 20};
  /// A connection that holds no more than this is always read.
  core::Bytes always_read{20 << 10};
  /// Without a byte for this long, an unfinished request may be dropped.
  core::Millis stalled_after{1000};
  /// Later than this after its admission, a request that has arrived at less
  /// than `min_rate` since then may be dropped as well.
  core::Millis slow_after{3000};
  core::Bytes min_rate{16 << 10};  ///< In a second.
  /// Called for each refusal.
  std::function<void(ConnectionRefusal)> on_refusal = [](ConnectionRefusal) {};
};

/// @brief What a server knows of one connection.
struct ConnectionUse {
  std::int64_t held = 0;      ///< In bytes.
  std::int64_t may_hold = 0;  ///< Most that its request may hold.
  std::int64_t counted = 0;   ///< What the budget counts for it.
  std::int64_t read = 0;      ///< Head and body read so far, in bytes.
  bool admitted = false;      ///< Counts as what it may hold.
  core::MonotonicTime admitted_at;
  std::int64_t read_at_admission = 0;  ///< In bytes.
  core::MonotonicTime moved;
  bool unfinished = false;  ///< Part of a request has been read.
  bool handling = false;    ///< A request has no response yet.
  bool paused = false;      ///< Not read, as it does not fit.
  bool closing = false;     ///< Shut down for another connection.
  bool served = false;      ///< Has had a response that was no refusal.
  std::function<void()> shut_down;
};

/// @brief Connections that share a budget.
struct ConnectionBudget {
  ConnectionBudgetOptions options;
  std::int64_t held = 0;  ///< In bytes.
  std::unordered_set<ConnectionUse*> connections;
  std::size_t admitted = 0;  ///< Connections that hold more than always_read.
  core::MonotonicTime searched;  ///< Last search for stalled connections.
};

/// @brief Counts a change of what a connection holds.
/// @param budget The budget.
/// @param use The connection; its `held` is the new amount.
void Count(ConnectionBudget& budget, ConnectionUse& use);

/// @brief Removes a connection.
/// @param budget The budget.
/// @param use The connection.
void Forget(ConnectionBudget& budget, ConnectionUse& use);

/// @brief Tells whether an unfinished request keeps what it holds for too long:
/// nothing came for `stalled_after`, or too little since its admission.
/// @param options The limits.
/// @param use Its connection.
/// @param now Current time.
/// @return Whether it may be dropped for others.
[[nodiscard]] bool IsTooSlow(const ConnectionBudgetOptions& options,
                             const ConnectionUse& use, core::MonotonicTime now);

/// @brief Decides whether a connection may be read. One that holds more than
/// `always_read` is admitted if all that its request may hold fits, and then
/// read to its end. If it does not fit, drops connections that are too slow,
/// those that hold most first, until a quarter of the budget is free.
/// @param budget The budget.
/// @param use The connection.
/// @param now Current time.
/// @return Whether to read it now; if not, ask again later.
[[nodiscard]] bool MayRead(ConnectionBudget& budget, ConnectionUse& use,
                           core::MonotonicTime now);

/// @brief Decides whether a connection may hold more. Always up to
/// `always_read`; else, if it does not fit, drops stalled connections first.
/// @param budget The budget.
/// @param use The connection; one that is dropped itself may hold no more.
/// @param bytes What is to be added to what it holds.
/// @param now Current time.
/// @return Whether it fits; if not, refuse the request.
[[nodiscard]] bool MayHold(ConnectionBudget& budget, const ConnectionUse& use,
                           std::int64_t bytes, core::MonotonicTime now);

/// @brief Shuts down the connection without a request in handling that has not
/// moved for the longest time; connections that were never served go first.
/// @param budget Is told of the refusal.
/// @param connections The candidates.
/// @param newest The connection that needs the room; it stays.
void MakeRoom(ConnectionBudget& budget,
              const std::unordered_set<ConnectionUse*>& connections,
              const ConnectionUse& newest);

}  // namespace camphormux::http

#endif  // CAMPHORMUX_HTTP_CONNECTION_BUDGET_HPP_
