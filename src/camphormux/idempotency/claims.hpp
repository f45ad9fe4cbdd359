#ifndef CAMPHORMUX_IDEMPOTENCY_CLAIMS_HPP_
#define CAMPHORMUX_IDEMPOTENCY_CLAIMS_HPP_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "camphormux/core/random.hpp"
#include "camphormux/idempotency/fold.hpp"

namespace camphormux::idempotency {

/// @brief Rules of group commit and retries.
struct ClaimPolicy {
  /// Between two appends. Seven gateways at this pace use 280 of the 300
  /// appends a second that the log is assumed to take.
  core::Millis append_interval{25};
  std::size_t max_batch = 512;      ///< Intents and releases in a record.
  std::size_t max_in_flight = 4;    ///< Appends.
  std::size_t max_claims = 20'000;  ///< Claims that wait.
  /// An intent whose append got no answer and that was not read is appended
  /// again after this.
  core::Millis no_answer_wait = std::chrono::seconds(1);
  core::Millis backoff_initial{50};
  core::Millis backoff_maximum = std::chrono::seconds(1);
};

/// @brief What a claim came to.
enum class DecisionKind {
  kRun,              ///< The caller must run it, or release it.
  kAlreadyHeld,      ///< `hold` has the key.
  kServiceMismatch,  ///< The key is held for another service.
  kExpired,
  kTooFarAhead,
  kRecordsUnread,  ///< Whether the key was held before is not known.
  kNotRun,         ///< Not claimed in time; the key was not held when the log
                   ///< was last read to its end.
  kNotConfirmed,   ///< Not claimed in time; whether it is held is not known.
};

/// @brief Result of a claim.
struct Decision {
  std::uint64_t number = 0;
  DecisionKind kind = DecisionKind::kNotConfirmed;
  std::optional<Hold> hold;  ///< For `kAlreadyHeld`.
};

/// @brief Asks for an append to the keys stream.
struct AppendRequest {
  std::uint64_t batch = 0;
  std::string data;
};

/// @brief Asks for a read of the keys stream.
struct ReadRequest {
  std::uint64_t serial = 0;
  core::LogOffset from;
};

/// @brief What the caller of a step must do.
struct Effects {
  std::vector<Decision> decisions;
  std::vector<AppendRequest> appends;
  std::optional<ReadRequest> read;
};

/// @brief A claim that waits.
struct Claim {
  Key key;
  core::ServiceName service;
  core::MonotonicTime deadline;
  std::uint64_t reads_before = 0;  ///< Reads that began before the claim.
  /// When to append again; none while queued, in flight or known appended.
  std::optional<core::MonotonicTime> resend;
};

/// @brief The claims of one gateway.
///
/// Safety rests on two rules. A gateway runs a request only after it read its
/// own intent as the first for the key, and the log orders intents once for
/// all. It releases only what it decided never to run, and a release names the
/// intent, so that a late copy releases nothing else.
///
/// - The owner dies: the key stays held until it expires; others get unknown.
/// - The owner is paused and comes back: it still holds the only first intent;
///   a claim past its deadline is released, not run.
/// - The log is down or the zone cut off: claims end at their deadline as
///   `kNotConfirmed`, or as `kNotRun` if reads still work.
/// - An append's answer is lost: reading decides. If the intent shows up after
///   its claim ended, it is released.
/// - Records expire before they are read: keys that they may have held are not
///   run (`kRecordsUnread`).
struct Claims {
  ClaimPolicy policy;
  Claimant self;
  Fold fold;
  core::Random random;
  std::map<std::uint64_t, Claim> waiting;
  std::deque<std::uint64_t> queue;  ///< Intents to append.
  std::map<Key, std::uint64_t> running;
  std::map<Key, std::uint64_t> finished;  ///< Ran; until the key expires.
  std::map<std::uint64_t, Key> releases;  ///< To append, by intent.
  std::map<std::uint64_t, Batch> in_flight;
  std::uint64_t last_number = 0;
  std::uint64_t last_batch = 0;
  std::uint64_t last_read = 0;
  std::uint64_t last_complete_read = 0;  ///< That reached the log's end.
  bool reading = false;
  std::uint32_t append_failures = 0;
  std::uint32_t read_failures = 0;
  core::MonotonicTime next_append;
  core::MonotonicTime next_read;
  core::MonotonicTime next_scan;  ///< Of the claims that wait.
};

/// @brief Makes the claims of a gateway that starts. It reads the stream from
/// the beginning.
/// @param self The gateway; the incarnation must never have been used before.
/// @param policy The rules.
/// @param seed Seed of the jitter.
[[nodiscard]] Claims MakeClaims(Claimant self, const ClaimPolicy& policy,
                                std::uint64_t seed);

/// @brief Begins a claim; its decision follows, at once or later.
/// @param claims The claims.
/// @param key The key.
/// @param service The service.
/// @param timeout How long the claim may wait.
/// @param now The time.
/// @param effects Gets the decision if it is known at once.
/// @return Number of the claim.
std::uint64_t BeginClaim(Claims& claims, const Key& key,
                         const core::ServiceName& service, core::Millis timeout,
                         core::MonotonicTime now, Effects& effects);

/// @brief Ends a run that began: its key stays held.
/// @param claims The claims.
/// @param key The key.
void FinishRun(Claims& claims, const Key& key);

/// @brief What became of one of the own intents, for others that ask.
enum class RunState {
  kPending,   ///< Waits or runs.
  kFinished,  ///< Ran.
  kNeverRun,  ///< Did not run and never will.
  kExpired,   ///< No longer known.
};

/// @brief Tells what became of an own intent.
/// @param claims The claims.
/// @param key The key.
/// @param number Number of the intent.
[[nodiscard]] RunState RunStateOf(const Claims& claims, const Key& key,
                                  std::uint64_t number);

/// @brief Gives back a key that was not run and never will be by this claim.
/// @param claims The claims.
/// @param key The key; ignored if this gateway was not told to run it.
void ReleaseRun(Claims& claims, const Key& key);

/// @brief Does what is due: ends claims past their deadline, appends, reads.
/// To be called after every event and at least each append interval.
/// @param claims The claims.
/// @param now The time.
/// @param effects Gets what to do.
void Advance(Claims& claims, core::MonotonicTime now, Effects& effects);

/// @brief Takes in the result of an append.
/// @param claims The claims.
/// @param batch Number of the order.
/// @param result The result.
/// @param now The time.
void OnAppend(Claims& claims, std::uint64_t batch,
              const log::AppendResult& result, core::MonotonicTime now);

/// @brief Takes in the result of a read.
/// @param claims The claims.
/// @param serial Serial of the order.
/// @param answer The result.
/// @param now The time.
/// @param effects Gets the decisions.
void OnRead(Claims& claims, std::uint64_t serial, const log::ReadAnswer& answer,
            core::MonotonicTime now, Effects& effects);

}  // namespace camphormux::idempotency

#endif  // CAMPHORMUX_IDEMPOTENCY_CLAIMS_HPP_
