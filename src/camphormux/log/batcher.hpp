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

/// @brief Limits of an appender.
struct AppenderOptions {
  std::size_t max_batch_bytes = std::size_t{256} << 10;
  std::size_t max_batch_entries = 1024;
  /// Entries waiting or in flight beyond these marks are refused at once.
  std::size_t max_queued_entries = 4096;
  std::size_t max_queued_bytes = std::size_t{8} << 20;
  core::Millis initial_backoff{20};
  core::Millis max_backoff{2000};
  /// Back-off on throttling ends here: the log is up and its allowance refills
  /// steadily. 2 s made the 99th percentile 2.8 s with 7 processes.
  core::Millis max_throttle_backoff{160};
  /// An entry that is older than this fails at the next failed attempt.
  core::Millis entry_timeout = std::chrono::seconds(10);
  /// After so many failed attempts in a row new entries are refused at once
  /// while another entry is being tried; throttling does not count; 0 switches
  /// this off.
  int refuse_after_failures = 8;
  /// Distinguishes this appender's batches from those of all others; drawn at
  /// random if empty.
  std::string writer;
  std::uint64_t seed = 0;  ///< Of the jitter; drawn at random if 0.
};

/// @brief What a batcher waits for.
enum class BatcherPhase {
  kIdle,         ///< Nothing to do.
  kProbing,      ///< A read that finds where the log ends.
  kAppending,    ///< The answer to an append.
  kReadingBack,  ///< A read that finds out whether a batch is on the log.
  kBackingOff,   ///< The timer.
};

/// @brief An entry that waits or is in flight.
struct PendingEntry {
  std::uint64_t number = 0;
  std::string bytes;
  core::MonotonicTime queued;
};

/// @brief State of group commit for one stream: at most one batch is in
/// flight, and the next one gathers what arrives meanwhile.
struct Batcher {
  AppenderOptions options;
  core::Random random;
  BatcherPhase phase = BatcherPhase::kIdle;
  std::deque<PendingEntry> waiting;
  std::size_t queued_bytes = 0;  ///< Of `waiting` and `in_flight`.
  std::vector<PendingEntry> in_flight;
  std::string batch_id;   ///< Of `in_flight`.
  bool in_doubt = false;  ///< An append of `in_flight` got no answer.
  std::uint64_t next_entry = 0;
  std::uint64_t next_batch = 0;
  /// No batch in flight is below this offset; unknown before the first read.
  std::optional<core::LogOffset> min_offset;
  core::LogOffset read_from;  ///< Next offset to read back.
  core::Millis backoff{0};
  int failures = 0;  ///< Failed attempts in a row.
};

/// @brief An entry's final result.
struct Completion {
  std::uint64_t number = 0;
  AppendResult result;
};

/// @brief What the adapter must do. At most one of append, read and timer is
/// set; its end is reported to the batcher.
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
/// @param effects What to do.
/// @return The entry's number; its completion may be among the effects if it
/// is refused.
std::uint64_t Enqueue(Batcher& batcher, std::string bytes,
                      core::MonotonicTime now, BatcherEffects& effects);

/// @brief Takes the answer to the append.
void OnAppendAnswer(Batcher& batcher, const AppendResult& answer,
                    core::MonotonicTime now, BatcherEffects& effects);

/// @brief Takes the answer to the read.
void OnReadAnswer(Batcher& batcher, const ReadAnswer& answer,
                  core::MonotonicTime now, BatcherEffects& effects);

/// @brief Continues after a back-off.
void OnTimer(Batcher& batcher, core::MonotonicTime now,
             BatcherEffects& effects);

}  // namespace camphormux::log

#endif  // CAMPHORMUX_LOG_BATCHER_HPP_
