#include "camphormux/idempotency/claims.hpp"

#include <algorithm>
#include <utility>

namespace camphormux::idempotency {
namespace internal {

// Interval of the scans for deadlines and resends. It limits the load, because
// a scan visits every undecided claim.
constexpr core::Millis kScanInterval{10};

core::Millis Backoff(Claims& claims, std::uint32_t failures) {
  constexpr std::uint32_t kMaxDoublings = 10;
  const auto factor = std::int64_t{1} << std::min(failures - 1, kMaxDoublings);
  const core::Millis full = std::min(claims.policy.backoff_maximum,
                                     claims.policy.backoff_initial * factor);
  return full / 2 + core::Jitter(claims.random, full - full / 2);
}

Decision ToDecision(const Claims& claims, const IntentResult& intent) {
  Decision decision{intent.number, DecisionKind::kRun, std::nullopt};
  switch (intent.verdict) {
    case IntentVerdict::kFirst:
      break;
    case IntentVerdict::kHeld:
      decision.kind = DecisionKind::kAlreadyHeld;
      decision.hold = FindHold(claims.fold, intent.key);
      break;
    case IntentVerdict::kServiceMismatch:
      decision.kind = DecisionKind::kServiceMismatch;
      break;
    case IntentVerdict::kExpired:
      decision.kind = DecisionKind::kExpired;
      break;
    case IntentVerdict::kTooFarAhead:
      decision.kind = DecisionKind::kTooFarAhead;
      break;
    case IntentVerdict::kRecordsUnread:
      decision.kind = DecisionKind::kRecordsUnread;
      break;
  }
  // A release in the same record may have removed the hold.
  if (decision.kind == DecisionKind::kAlreadyHeld && !decision.hold) {
    decision.kind = DecisionKind::kNotConfirmed;
  }
  return decision;
}

/// Processes an intent of this gateway that was read from the log.
void OnOwnIntent(Claims& claims, const IntentResult& intent,
                 core::MonotonicTime now, Effects& effects) {
  const auto found = claims.waiting.find(intent.number);
  const bool holds = intent.verdict == IntentVerdict::kFirst ||
                     intent.verdict == IntentVerdict::kRecordsUnread;
  if (found == claims.waiting.end()) {
    // The claim was decided or has ended; the intent is a duplicate or was
    // appended late. It is released unless it led to a run.
    if (holds &&
        RunStateOf(claims, intent.key, intent.number) == RunState::kNeverRun) {
      claims.releases[intent.number] = intent.key;
    }
    return;
  }
  const bool in_time = now < found->second.deadline;
  claims.waiting.erase(found);
  Decision decision = ToDecision(claims, intent);
  if (decision.kind == DecisionKind::kRun && in_time) {
    claims.running[intent.key] = intent.number;
  } else if (decision.kind == DecisionKind::kRun) {
    decision.kind = DecisionKind::kNotRun;
    claims.releases[intent.number] = intent.key;
  } else if (holds) {
    claims.releases[intent.number] = intent.key;
  }
  effects.decisions.push_back(std::move(decision));
}

/// Ends a claim that was not decided before its deadline. `OnOwnIntent`
/// releases its intent if it is read later.
void EndOverdueClaim(Claims& claims, std::uint64_t number, const Claim& claim,
                     Effects& effects) {
  const bool read_since = claims.last_complete_read > claim.reads_before;
  const bool not_held = !FindHold(claims.fold, claim.key).has_value() &&
                        HasReadAllFor(claims.fold, claim.key);
  const bool proven =
      read_since && not_held && !CheckAge(claim.key, claims.fold.log_now);
  effects.decisions.push_back(
      {number, proven ? DecisionKind::kNotRun : DecisionKind::kNotConfirmed,
       std::nullopt});
}

void ForgetExpiredRuns(Claims& claims) {
  while (!claims.finished.empty() &&
         CheckAge(claims.finished.begin()->first, claims.fold.log_now) ==
             KeyProblem::kExpired) {
    claims.finished.erase(claims.finished.begin());
  }
}

void EndOverdueClaims(Claims& claims, core::MonotonicTime now,
                      Effects& effects) {
  for (auto it = claims.waiting.begin(); it != claims.waiting.end();) {
    if (now < it->second.deadline) {
      ++it;
      continue;
    }
    EndOverdueClaim(claims, it->first, it->second, effects);
    it = claims.waiting.erase(it);
  }
}

void QueueResends(Claims& claims, core::MonotonicTime now) {
  for (auto& [number, claim] : claims.waiting) {
    if (claim.resend && *claim.resend <= now) {
      claim.resend.reset();
      claims.queue.push_back(number);
    }
  }
}

Batch NextBatch(Claims& claims) {
  Batch batch;
  batch.claimant = claims.self;
  while (!claims.releases.empty() &&
         batch.releases.size() < claims.policy.max_batch) {
    const auto release = claims.releases.begin();
    batch.releases.push_back({release->second, release->first});
    claims.releases.erase(release);
  }
  while (!claims.queue.empty() && batch.releases.size() + batch.intents.size() <
                                      claims.policy.max_batch) {
    const std::uint64_t number = claims.queue.front();
    claims.queue.pop_front();
    const auto claim = claims.waiting.find(number);
    if (claim != claims.waiting.end()) {
      batch.intents.push_back(
          {claim->second.key, claim->second.service, number});
    }
  }
  return batch;
}

void StartAppend(Claims& claims, core::MonotonicTime now, Effects& effects) {
  if (now < claims.next_append ||
      claims.in_flight.size() >= claims.policy.max_in_flight) {
    return;
  }
  Batch batch = NextBatch(claims);
  if (batch.intents.empty() && batch.releases.empty()) {
    return;
  }
  claims.next_append = now + claims.policy.append_interval;
  effects.appends.push_back({++claims.last_batch, Encode(batch)});
  claims.in_flight.emplace(claims.last_batch, std::move(batch));
}

void StartRead(Claims& claims, core::MonotonicTime now, Effects& effects) {
  if (claims.reading || now < claims.next_read) {
    return;
  }
  claims.reading = true;
  effects.read = ReadRequest{++claims.last_read, claims.fold.next};
}

void ApplyRecords(Claims& claims, std::uint64_t serial,
                  const log::ReadResult& result, core::MonotonicTime now,
                  Effects& effects) {
  // A stream end below the offset read so far means that the log lost records.
  if (result.earliest > claims.fold.next || result.next < claims.fold.next) {
    Skip(claims.fold, result.earliest);
  }
  for (const log::StoredRecord& record : result.records) {
    for (const IntentResult& intent : Apply(claims.fold, record, claims.self)) {
      OnOwnIntent(claims, intent, now, effects);
    }
  }
  ForgetExpiredRuns(claims);
  if (claims.fold.next >= result.next) {
    claims.last_complete_read = serial;
  }
}

}  // namespace internal

Claims MakeClaims(Claimant self, const ClaimPolicy& policy,
                  std::uint64_t seed) {
  Claims claims;
  claims.self = std::move(self);
  claims.policy = policy;
  claims.random = core::SeededRandom(seed);
  return claims;
}

std::uint64_t BeginClaim(Claims& claims, const Key& key,
                         const core::ServiceName& service, core::Millis timeout,
                         core::MonotonicTime now, Effects& effects) {
  const std::uint64_t number = ++claims.last_number;
  const auto hold = FindHold(claims.fold, key);
  if (hold) {
    const DecisionKind kind = hold->service == service
                                  ? DecisionKind::kAlreadyHeld
                                  : DecisionKind::kServiceMismatch;
    effects.decisions.push_back({number, kind, hold});
    return number;
  }
  if (claims.waiting.size() >= claims.policy.max_claims) {
    effects.decisions.push_back(
        {number, DecisionKind::kNotConfirmed, std::nullopt});
    return number;
  }
  claims.waiting[number] = {key, service, now + timeout, claims.last_read,
                            std::nullopt};
  claims.queue.push_back(number);
  return number;
}

void FinishRun(Claims& claims, const Key& key) {
  const auto found = claims.running.find(key);
  if (found != claims.running.end()) {
    claims.finished[key] = found->second;
    claims.running.erase(found);
  }
}

RunState RunStateOf(const Claims& claims, const Key& key,
                    std::uint64_t number) {
  const auto is = [&](const std::map<Key, std::uint64_t>& runs) {
    const auto found = runs.find(key);
    return found != runs.end() && found->second == number;
  };
  if (claims.waiting.contains(number) || is(claims.running)) {
    return RunState::kPending;
  }
  if (is(claims.finished)) {
    return RunState::kFinished;
  }
  // Finished runs are removed when their keys expire.
  return CheckAge(key, claims.fold.log_now) == KeyProblem::kExpired
             ? RunState::kExpired
             : RunState::kNeverRun;
}

void ReleaseRun(Claims& claims, const Key& key) {
  const auto found = claims.running.find(key);
  if (found != claims.running.end()) {
    claims.releases[found->second] = key;
    claims.running.erase(found);
  }
}

void Advance(Claims& claims, core::MonotonicTime now, Effects& effects) {
  if (now >= claims.next_scan) {
    claims.next_scan = now + internal::kScanInterval;
    internal::EndOverdueClaims(claims, now, effects);
    internal::QueueResends(claims, now);
  }
  internal::StartAppend(claims, now, effects);
  internal::StartRead(claims, now, effects);
}

void OnAppend(Claims& claims, std::uint64_t batch,
              const log::AppendResult& result, core::MonotonicTime now) {
  const auto found = claims.in_flight.find(batch);
  if (found == claims.in_flight.end()) {
    return;
  }
  Batch sent = std::move(found->second);
  claims.in_flight.erase(found);
  if (result.has_value()) {
    claims.append_failures = 0;
    return;
  }
  const bool may_be_stored = result.error() == log::AppendError::kNoAnswer;
  for (const Release& release : sent.releases) {
    claims.releases[release.number] = release.key;
  }
  std::reverse(sent.intents.begin(), sent.intents.end());
  for (const Intent& intent : sent.intents) {
    const auto claim = claims.waiting.find(intent.number);
    if (claim == claims.waiting.end()) {
      continue;
    }
    if (may_be_stored) {
      claim->second.resend = now + claims.policy.no_answer_wait;
    } else {
      claims.queue.push_front(intent.number);
    }
  }
  claims.next_append =
      now + internal::Backoff(claims, ++claims.append_failures);
}

void OnRead(Claims& claims, std::uint64_t serial, const log::ReadAnswer& answer,
            core::MonotonicTime now, Effects& effects) {
  if (serial != claims.last_read || !claims.reading) {
    return;
  }
  claims.reading = false;
  if (answer.has_value()) {
    claims.read_failures = 0;
    claims.next_read = now;
    internal::ApplyRecords(claims, serial, answer.value(), now, effects);
    return;
  }
  if (answer.error().error == log::ReadError::kBelowEarliest &&
      answer.error().earliest) {
    Skip(claims.fold, *answer.error().earliest);
  }
  claims.next_read = now + internal::Backoff(claims, ++claims.read_failures);
}

}  // namespace camphormux::idempotency
