#ifndef CAMPHORMUX_IDEMPOTENCY_FOLD_HPP_
#define CAMPHORMUX_IDEMPOTENCY_FOLD_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "camphormux/idempotency/records.hpp"
#include "camphormux/log/log_port.hpp"

namespace camphormux::idempotency {

/// Default limit of keys in memory.
inline constexpr std::size_t kDefaultMaxKeys = 1'000'000;

/// @brief Result of an intent, determined when it is read from the log.
enum class IntentVerdict {
  kFirst,            ///< The claimant holds the key.
  kHeld,             ///< An earlier intent holds the key.
  kServiceMismatch,  ///< An earlier intent for another service holds the key.
  kExpired,          ///< The key had expired when the intent was appended.
  kTooFarAhead,      ///< The key's time exceeds the log's clock by
                     ///< more than `kMaxKeyLead`.
  kRecordsUnread,    ///< An unread record may contain an earlier intent.
};

/// @brief The holder of a key.
struct Hold {
  Claimant claimant;
  std::uint64_t number = 0;  ///< Number of the holder's intent.
  core::ServiceName service;
};

/// @brief An intent of a batch with its verdict.
struct IntentResult {
  Key key;
  std::uint64_t number = 0;
  IntentVerdict verdict = IntentVerdict::kFirst;
};

/// @brief Table of held keys, built by applying the records of the keys stream
/// in order. It uses only the log's clock, so clock differences between
/// gateways have no effect: a key is removed when the log's clock is past its
/// lifetime, and every later intent for it gets `kExpired`.
struct Fold {
  /// A hold that refers to names by index to save memory, because there may be
  /// a million holds.
  struct Entry {
    std::uint64_t number = 0;
    std::uint32_t claimant = 0;  ///< Index in `claimants`.
    std::uint32_t service = 0;   ///< Index in `services`.
  };

  core::LogOffset next;    ///< First offset that has not been read.
  core::WallTime log_now;  ///< Latest record time.
  std::size_t max_keys = kDefaultMaxKeys;
  /// Keys with a time up to this one may be held without an entry here, because
  /// their records were not read or their entries exceeded `max_keys`.
  core::WallTime unread_until;
  /// Records were skipped, and no later record has been read yet that bounds
  /// their time.
  bool has_unread_records = false;
  std::map<Key, Entry> held;
  std::vector<Claimant> claimants;
  std::map<Claimant, std::uint32_t> claimant_ids;
  std::vector<core::ServiceName> services;
  std::map<core::ServiceName, std::uint32_t> service_ids;
  std::uint64_t malformed_records = 0;
};

/// @brief Applies one record of the keys stream. Records below `next` are
/// ignored. Every reader counts and skips the same malformed records.
/// @param fold The table of held keys.
/// @param record The record.
/// @param self The claimant whose intents are returned.
/// @return The intents of `self` in the record with their verdicts.
[[nodiscard]] std::vector<IntentResult> Apply(Fold& fold,
                                              const log::StoredRecord& record,
                                              const Claimant& self);

/// @brief Continues at an offset because earlier records can no longer be read.
/// @param fold The table of held keys.
/// @param earliest First offset that can still be read.
void Skip(Fold& fold, core::LogOffset earliest);

/// @brief Finds the holder of a key.
/// @param fold The table of held keys.
/// @param key The key.
/// @return The holder, or nothing.
[[nodiscard]] std::optional<Hold> FindHold(const Fold& fold, const Key& key);

/// @brief Returns whether all records that can hold a key have been read and
/// are in memory.
/// @param fold The table of held keys.
/// @param key The key.
/// @return False if the key may be held without an entry in the table.
[[nodiscard]] bool HasReadAllFor(const Fold& fold, const Key& key);

}  // namespace camphormux::idempotency

#endif  // CAMPHORMUX_IDEMPOTENCY_FOLD_HPP_
