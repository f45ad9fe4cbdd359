#include "camphormux/log/batcher.hpp"

#include <algorithm>
#include <utility>

namespace camphormux::log {
namespace internal {

void Complete(Batcher& batcher, const PendingEntry& entry,
              const AppendResult& result, BatcherEffects& effects) {
  batcher.queued_bytes -= entry.bytes.size();
  effects.completions.push_back({entry.number, result});
}

void CompleteInFlight(Batcher& batcher, const AppendResult& result,
                      BatcherEffects& effects) {
  for (const PendingEntry& entry : batcher.in_flight) {
    Complete(batcher, entry, result, effects);
  }
  batcher.in_flight.clear();
  batcher.in_doubt = false;
}

// Moves waiting entries, at least one, into a new batch.
void FormBatch(Batcher& batcher) {
  std::size_t bytes = 0;
  while (!batcher.waiting.empty() &&
         batcher.in_flight.size() < batcher.options.max_batch_entries) {
    bytes += batcher.waiting.front().bytes.size();
    if (!batcher.in_flight.empty() && bytes > batcher.options.max_batch_bytes) {
      break;
    }
    batcher.in_flight.push_back(std::move(batcher.waiting.front()));
    batcher.waiting.pop_front();
  }
  batcher.batch_id =
      batcher.options.writer + "-" + std::to_string(batcher.next_batch++);
}

void SendBatch(Batcher& batcher, BatcherEffects& effects) {
  Batch batch{batcher.batch_id, {}};
  for (const PendingEntry& entry : batcher.in_flight) {
    batch.entries.push_back(entry.bytes);
  }
  batcher.phase = BatcherPhase::kAppending;
  effects.append = EncodeBatch(batch);
}

void StartRead(Batcher& batcher, BatcherPhase phase, core::LogOffset from,
               BatcherEffects& effects) {
  batcher.phase = phase;
  batcher.read_from = from;
  effects.read = from;
}

// Starts the next append or read, if one is needed. No call or timer may be
// outstanding.
void StartNextCall(Batcher& batcher, BatcherEffects& effects) {
  if (batcher.in_doubt) {
    StartRead(batcher, BatcherPhase::kReadingBack, batcher.read_from, effects);
    return;
  }
  if (batcher.in_flight.empty() && batcher.waiting.empty()) {
    batcher.phase = BatcherPhase::kIdle;
    return;
  }
  if (!batcher.min_offset) {
    StartRead(batcher, BatcherPhase::kProbing, core::LogOffset{0}, effects);
    return;
  }
  if (batcher.in_flight.empty()) {
    FormBatch(batcher);
  }
  SendBatch(batcher, effects);
}

void CompleteBatch(Batcher& batcher, core::LogOffset offset,
                   BatcherEffects& effects) {
  batcher.failures = 0;
  batcher.backoff = core::Millis{0};
  batcher.min_offset = core::Next(offset);
  CompleteInFlight(batcher, offset, effects);
  StartNextCall(batcher, effects);
}

// Fails the entries that are older than the entry timeout. All entries of a
// batch in doubt get the same result, since the batch may still appear on the
// log as a whole.
void FailExpiredEntries(Batcher& batcher, AppendError error,
                        core::MonotonicTime now, BatcherEffects& effects) {
  const core::MonotonicTime limit = now - batcher.options.entry_timeout;
  if (!batcher.in_flight.empty() && batcher.in_flight.front().queued <= limit) {
    CompleteInFlight(batcher, AppendError::kNoAnswer, effects);
  }
  while (!batcher.waiting.empty() && batcher.waiting.front().queued <= limit) {
    Complete(batcher, batcher.waiting.front(), error, effects);
    batcher.waiting.pop_front();
  }
}

// Returns the entries of a batch that is certainly not on the log to the queue,
// so that entries that arrived meanwhile can join them.
void Requeue(Batcher& batcher) {
  batcher.waiting.insert(batcher.waiting.begin(),
                         std::make_move_iterator(batcher.in_flight.begin()),
                         std::make_move_iterator(batcher.in_flight.end()));
  batcher.in_flight.clear();
}

void BackOff(Batcher& batcher, AppendError error, BatcherEffects& effects) {
  const bool throttled = error == AppendError::kThrottled;
  batcher.failures = throttled ? 0 : batcher.failures + 1;
  batcher.backoff =
      std::clamp(batcher.backoff * 2, batcher.options.initial_backoff,
                 throttled ? batcher.options.max_throttle_backoff
                           : batcher.options.max_backoff);
  batcher.phase = BatcherPhase::kBackingOff;
  const core::Millis half = batcher.backoff / 2;
  effects.timer = half + core::Jitter(batcher.random, half);
}

void OnProbeAnswer(Batcher& batcher, const ReadAnswer& answer,
                   core::MonotonicTime now, BatcherEffects& effects) {
  if (answer.has_value()) {
    batcher.min_offset = answer.value().next;
  } else if (answer.error().error == ReadError::kBelowEarliest) {
    batcher.min_offset = answer.error().earliest;
  } else {
    FailExpiredEntries(batcher, AppendError::kUnavailable, now, effects);
    BackOff(batcher, AppendError::kUnavailable, effects);
    return;
  }
  StartNextCall(batcher, effects);
}

const StoredRecord* FindBatch(const ReadResult& result,
                              const std::string& batch_id) {
  for (const StoredRecord& record : result.records) {
    const auto batch = DecodeBatch(record.data);
    if (batch && batch->id == batch_id) {
      return &record;
    }
  }
  return nullptr;
}

void OnReadBackAnswer(Batcher& batcher, const ReadResult& result,
                      BatcherEffects& effects) {
  const StoredRecord* found = FindBatch(result, batcher.batch_id);
  if (found != nullptr) {
    CompleteBatch(batcher, found->offset, effects);
    return;
  }
  if (!result.records.empty()) {
    batcher.read_from = core::Next(result.records.back().offset);
  }
  if (batcher.read_from < result.next) {
    StartRead(batcher, BatcherPhase::kReadingBack, batcher.read_from, effects);
    return;
  }
  // The batch was not found up to the end of the log, so it is sent again under
  // the same id. If the first copy arrives late, the whole batch is on the log
  // twice; readers apply each record only once by its ids, epochs and phases.
  SendBatch(batcher, effects);
}

}  // namespace internal

Batcher MakeBatcher(AppenderOptions options) {
  Batcher batcher;
  batcher.random = core::SeededRandom(options.seed);
  batcher.options = std::move(options);
  return batcher;
}

std::uint64_t Enqueue(Batcher& batcher, std::string bytes,
                      core::MonotonicTime now, BatcherEffects& effects) {
  const std::uint64_t number = batcher.next_entry++;
  const std::size_t queued = batcher.waiting.size() + batcher.in_flight.size();
  const AppenderOptions& options = batcher.options;
  if (bytes.size() > options.max_batch_bytes) {
    effects.completions.push_back({number, AppendError::kTooLarge});
    return number;
  }
  if (queued >= options.max_queued_entries ||
      batcher.queued_bytes + bytes.size() > options.max_queued_bytes) {
    effects.completions.push_back({number, AppendError::kThrottled});
    return number;
  }
  if (options.refuse_after_failures > 0 && queued > 0 &&
      batcher.failures >= options.refuse_after_failures) {
    effects.completions.push_back({number, AppendError::kUnavailable});
    return number;
  }
  batcher.queued_bytes += bytes.size();
  batcher.waiting.push_back({number, std::move(bytes), now});
  if (batcher.phase == BatcherPhase::kIdle) {
    internal::StartNextCall(batcher, effects);
  }
  return number;
}

void OnAppendAnswer(Batcher& batcher, const AppendResult& answer,
                    core::MonotonicTime now, BatcherEffects& effects) {
  if (answer.has_value()) {
    internal::CompleteBatch(batcher, answer.value(), effects);
    return;
  }
  const AppendError error = answer.error();
  if (error == AppendError::kTooLarge) {
    internal::CompleteInFlight(batcher, error, effects);
    internal::StartNextCall(batcher, effects);
    return;
  }
  if (error == AppendError::kNoAnswer) {
    batcher.in_doubt = true;
    batcher.read_from = *batcher.min_offset;
  } else if (!batcher.in_doubt) {
    internal::Requeue(batcher);
  }
  internal::FailExpiredEntries(batcher, error, now, effects);
  internal::BackOff(batcher, error, effects);
}

void OnReadAnswer(Batcher& batcher, const ReadAnswer& answer,
                  core::MonotonicTime now, BatcherEffects& effects) {
  if (batcher.phase == BatcherPhase::kProbing) {
    internal::OnProbeAnswer(batcher, answer, now, effects);
    return;
  }
  if (answer.has_value()) {
    internal::OnReadBackAnswer(batcher, answer.value(), effects);
    return;
  }
  if (answer.error().error == ReadError::kBelowEarliest) {
    // The batch may have been on the log and have expired before the read.
    batcher.min_offset = answer.error().earliest;
    internal::CompleteInFlight(batcher, AppendError::kNoAnswer, effects);
    internal::StartNextCall(batcher, effects);
    return;
  }
  internal::FailExpiredEntries(batcher, AppendError::kUnavailable, now,
                               effects);
  internal::BackOff(batcher, AppendError::kUnavailable, effects);
}

void OnTimer(Batcher& batcher, core::MonotonicTime /*now*/,
             BatcherEffects& effects) {
  internal::StartNextCall(batcher, effects);
}

}  // namespace camphormux::log
