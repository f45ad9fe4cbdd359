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

/// Default bound of remembered keys.
inline constexpr std::size_t kDefaultMaxKeys = 1'000'000;

/// @brief What became of an intent when it was read.
enum class IntentVerdict {
  kFirst,            ///< The claimant holds the key.
  kHeld,             ///< An earlier intent holds the key.
  kServiceMismatch,  ///< An earlier intent for another service holds the key.
  kExpired,          ///< The key was too old when the intent was appended.
  kTooFarAhead,      ///< The key is too far ahead of the log's clock.
  kRecordsUnread,    ///< An earlier intent may be among records that were not
                     ///< read.
};

/// @brief Who holds a key.
struct Hold {
  Claimant claimant;
  std::uint64_t number = 0;
  core::ServiceName service;
};

/// @brief A verdict on one intent of a batch.
struct IntentResult {
  Key key;
  std::uint64_t number = 0;
  IntentVerdict verdict = IntentVerdict::kFirst;
};

/// @brief Keys that are held, as read from the log. Only the log's own clock is
/// used, so clocks of gateways do not matter: a key is forgotten when the log's
/// clock is past its lifetime, and from then on every intent for it is judged
/// as expired.
struct Fold {
  /// A hold with its names replaced by numbers, because there may be a million.
  struct Entry {
    std::uint64_t number = 0;
    std::uint32_t claimant = 0;
    std::uint32_t service = 0;
  };

  core::LogOffset next;    ///< First offset that was not read.
  core::WallTime log_now;  ///< Latest record time.
  std::size_t max_keys = kDefaultMaxKeys;
  /// Keys up to this time may have been held by records that were not read or
  /// that did not fit into memory.
  core::WallTime unread_until;
  /// Records were not read, and none was read since that tells their time.
  bool has_unread_records = false;
  std::map<Key, Entry> held;
  std::vector<Claimant> claimants;
  std::map<Claimant, std::uint32_t> claimant_ids;
  std::vector<core::ServiceName> services;
  std::map<core::ServiceName, std::uint32_t> service_ids;
  std::uint64_t malformed_records = 0;
};

/// @brief Applies one record of the keys stream. Records below `next` are
/// ignored; a malformed one is counted and skipped by every reader alike.
/// @param fold The fold.
/// @param record The record.
/// @param self Whose intents are reported.
/// @return Verdicts on the intents of `self` in the record.
[[nodiscard]] std::vector<IntentResult> Apply(Fold& fold,
                                              const log::StoredRecord& record,
                                              const Claimant& self);

/// @brief Notes that the records below an offset cannot be read any more.
/// @param fold The fold.
/// @param earliest First offset that can be read.
void Skip(Fold& fold, core::LogOffset earliest);

/// @brief Finds who holds a key.
/// @param fold The fold.
/// @param key The key.
/// @return The holder, or nothing.
[[nodiscard]] std::optional<Hold> FindHold(const Fold& fold, const Key& key);

/// @brief Tells whether the fold would know a key if it were held.
/// @param fold The fold.
/// @param key The key.
/// @return False if it may be held by a record that was not read.
[[nodiscard]] bool HasReadAllFor(const Fold& fold, const Key& key);

}  // namespace camphormux::idempotency

#endif  // CAMPHORMUX_IDEMPOTENCY_FOLD_HPP_
