#ifndef CAMPHORMUX_LOG_BATCHER_HPP_
#define CAMPHORMUX_LOG_BATCHER_HPP_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "camphormux/core/random.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/log/batch.hpp"
#include "camphormux/log/log_port.hpp"

namespace camphormux::log {

/// @brief Limits and retry settings of an appender.
struct AppenderOptions {
  std::size_t max_batch_bytes = std::size_t{256} << 10;
  std::size_t max_batch_entries = 1024;
  /// An entry is refused at once if it would raise the waiting and in-flight
  /// entries above these limits.
  std::size_t max_queued_entries = 4096;
  std::size_t max_queued_bytes = std::size_t{8} << 20;
  core::Millis initial_backoff{20};
  core::Millis max_backoff{2000};
  /// Longest back-off after throttling. It is short, because the log is up and
  /// its append quota refills steadily; with 7 processes, 2 s made the 99th
  /// percentile 2.8 s.
  core::Millis max_throttle_backoff{160};
  /// An entry older than this fails at the next failed attempt.
  core::Millis entry_timeout = std::chrono::seconds(10);
  /// After this many consecutive failed attempts, new entries are refused at
  /// once while another entry is retried. Throttling does not count as a
  /// failure; it resets the count. 0 disables this rule.
  int refuse_after_failures = 8;
  /// Prefix of the batch ids, which distinguishes this appender's batches from
  /// those of all others; random if empty.
  std::string writer;
  std::uint64_t seed = 0;  ///< Of the back-off jitter; random if 0.
};

/// @brief What a batcher waits for.
enum class BatcherPhase {
  kIdle,         ///< Nothing to do.
  kProbing,      ///< A read that finds the end of the log.
  kAppending,    ///< The answer to an append.
  kReadingBack,  ///< A read that checks whether a batch is on the log.
  kBackingOff,   ///< The back-off timer.
};

/// @brief An entry that is waiting or in flight.
struct PendingEntry {
  std::uint64_t number = 0;
  std::string bytes;
  core::MonotonicTime queued;
};

/// @brief State of group commit for one stream: at most one batch is in
/// flight; entries that arrive meanwhile form the next batch.
struct Batcher {
  AppenderOptions options;
  core::Random random;
  BatcherPhase phase = BatcherPhase::kIdle;
  std::deque<PendingEntry> waiting;
  std::size_t queued_bytes = 0;  ///< Of `waiting` and `in_flight` together.
  std::vector<PendingEntry> in_flight;
  std::string batch_id;   ///< Of `in_flight`.
  bool in_doubt = false;  ///< An append of `in_flight` got no answer.
  std::uint64_t next_entry = 0;
  std::uint64_t next_batch = 0;
  /// Lowest offset that the batch in flight can have; unknown before the first
  /// read.
  std::optional<core::LogOffset> min_offset;
  core::LogOffset read_from;  ///< Next offset to read back.
  core::Millis backoff{0};
  int failures = 0;  ///< Consecutive failed attempts.
};

/// @brief Final result of an entry.
struct Completion {
  std::uint64_t number = 0;
  AppendResult result;
};

/// @brief Actions that the batcher's owner must perform. At most one of append,
/// read and timer is set; its outcome is reported to the batcher by
/// OnAppendAnswer, OnReadAnswer or OnTimer.
struct BatcherEffects {
  std::optional<std::string> append;  ///< Data of the log record.
  std::optional<core::LogOffset> read;
  std::optional<core::Millis> timer;
  std::vector<Completion> completions;
};

/// @brief Makes a batcher.
/// @param options Limits; `writer` and `seed` must be set.
/// @return The batcher.
[[nodiscard]] Batcher MakeBatcher(AppenderOptions options);

/// @brief Queues an entry.
/// @param batcher The batcher.
/// @param bytes The entry.
/// @param now The time.
/// @param effects Actions to perform; added to.
/// @return The entry's number. If the entry is refused, its completion is among
/// the effects.
std::uint64_t Enqueue(Batcher& batcher, std::string bytes,
                      core::MonotonicTime now, BatcherEffects& effects);

/// @brief Handles the answer to an append.
void OnAppendAnswer(Batcher& batcher, const AppendResult& answer,
                    core::MonotonicTime now, BatcherEffects& effects);

/// @brief Handles the answer to a read.
void OnReadAnswer(Batcher& batcher, const ReadAnswer& answer,
                  core::MonotonicTime now, BatcherEffects& effects);

/// @brief Continues when the back-off timer has fired.
void OnTimer(Batcher& batcher, core::MonotonicTime now,
             BatcherEffects& effects);

}  // namespace camphormux::log

#endif  // CAMPHORMUX_LOG_BATCHER_HPP_
