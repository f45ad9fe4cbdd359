#include "camphormux/idempotency/fold.hpp"

#include <algorithm>

namespace camphormux::idempotency {
namespace internal {

template <typename T>
std::uint32_t InternId(const T& item, std::vector<T>& items,
                       std::map<T, std::uint32_t>& numbers) {
  const auto [entry, added] =
      numbers.try_emplace(item, static_cast<std::uint32_t>(items.size()));
  if (added) {
    items.push_back(item);
  }
  return entry->second;
}

/// Removes expired keys, which can no longer be claimed.
void Expire(Fold& fold) {
  while (!fold.held.empty() && CheckAge(fold.held.begin()->first,
                                        fold.log_now) == KeyProblem::kExpired) {
    fold.held.erase(fold.held.begin());
  }
}

/// Removes the oldest keys above `max_keys`. Moving `unread_until` past them
/// prevents them from being claimed again.
void Evict(Fold& fold) {
  while (fold.held.size() > fold.max_keys) {
    const auto oldest = fold.held.begin();
    fold.unread_until = std::max(fold.unread_until, KeyTime(oldest->first));
    fold.held.erase(oldest);
  }
}

IntentVerdict CompareWithHold(const Fold::Entry& entry, std::uint32_t claimant,
                              std::uint32_t service, std::uint64_t number) {
  if (entry.claimant == claimant && entry.number == number) {
    return IntentVerdict::kFirst;  // The same intent was appended twice.
  }
  return entry.service == service ? IntentVerdict::kHeld
                                  : IntentVerdict::kServiceMismatch;
}

IntentVerdict ApplyIntent(Fold& fold, const Intent& intent,
                          std::uint32_t claimant) {
  const auto problem = CheckAge(intent.key, fold.log_now);
  if (problem) {
    return *problem == KeyProblem::kExpired ? IntentVerdict::kExpired
                                            : IntentVerdict::kTooFarAhead;
  }
  const std::uint32_t service =
      InternId(intent.service, fold.services, fold.service_ids);
  const auto [entry, added] = fold.held.try_emplace(
      intent.key, Fold::Entry{intent.number, claimant, service});
  const IntentVerdict verdict =
      added ? IntentVerdict::kFirst
            : CompareWithHold(entry->second, claimant, service, intent.number);
  if (verdict == IntentVerdict::kFirst && !HasReadAllFor(fold, intent.key)) {
    return IntentVerdict::kRecordsUnread;
  }
  return verdict;
}

void ApplyRelease(Fold& fold, const Release& release, std::uint32_t claimant) {
  const auto found = fold.held.find(release.key);
  if (found != fold.held.end() && found->second.claimant == claimant &&
      found->second.number == release.number) {
    fold.held.erase(found);
  }
}

void AdvanceLogTime(Fold& fold, core::WallTime time) {
  fold.log_now = std::max(fold.log_now, time);
  if (fold.has_unread_records) {
    // The skipped records are older than this one, and the keys in them were
    // ahead of the log's clock by at most `kMaxKeyLead`.
    fold.has_unread_records = false;
    fold.unread_until = std::max(fold.unread_until, fold.log_now + kMaxKeyLead);
  }
}

}  // namespace internal

std::vector<IntentResult> Apply(Fold& fold, const log::StoredRecord& record,
                                const Claimant& self) {
  std::vector<IntentResult> results;
  if (record.offset < fold.next) {
    return results;
  }
  fold.has_unread_records =
      fold.has_unread_records || record.offset > fold.next;
  fold.next = core::Next(record.offset);
  internal::AdvanceLogTime(fold, record.time);
  internal::Expire(fold);
  const auto batch = DecodeBatch(record.data);
  if (!batch) {
    ++fold.malformed_records;
    return results;
  }
  const std::uint32_t claimant =
      internal::InternId(batch->claimant, fold.claimants, fold.claimant_ids);
  for (const Intent& intent : batch->intents) {
    const IntentVerdict verdict = internal::ApplyIntent(fold, intent, claimant);
    if (batch->claimant == self) {
      results.push_back({intent.key, intent.number, verdict});
    }
  }
  for (const Release& release : batch->releases) {
    internal::ApplyRelease(fold, release, claimant);
  }
  internal::Evict(fold);
  return results;
}

void Skip(Fold& fold, core::LogOffset earliest) {
  if (earliest != fold.next) {
    fold.next = earliest;
    fold.has_unread_records = true;
  }
}

std::optional<Hold> FindHold(const Fold& fold, const Key& key) {
  const auto found = fold.held.find(key);
  if (found == fold.held.end()) {
    return std::nullopt;
  }
  const Fold::Entry& entry = found->second;
  return Hold{fold.claimants[entry.claimant], entry.number,
              fold.services[entry.service]};
}

bool HasReadAllFor(const Fold& fold, const Key& key) {
  return !fold.has_unread_records && KeyTime(key) > fold.unread_until;
}

}  // namespace camphormux::idempotency
