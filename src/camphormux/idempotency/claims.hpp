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

/// @brief Settings of group commit and retries.
struct ClaimPolicy {
  /// Shortest time between two appends. At this interval seven gateways make
  /// 280 of the 300 appends per second that the log is assumed to accept.
  core::Millis append_interval{25};
  std::size_t max_batch = 512;      ///< Intents and releases per record.
  std::size_t max_in_flight = 4;    ///< Appends without a result.
  std::size_t max_claims = 20'000;  ///< Undecided claims.
  /// Time after which an intent is appended again if its append got no answer
  /// and the intent has not been read.
  core::Millis no_answer_wait = std::chrono::seconds(1);
  core::Millis backoff_initial{50};
  core::Millis backoff_maximum = std::chrono::seconds(1);
};

/// @brief Result of a claim.
enum class DecisionKind {
  kRun,              ///< The caller must run the request or release the key.
  kAlreadyHeld,      ///< `hold` names the holder.
  kServiceMismatch,  ///< The key is held for another service.
  kExpired,
  kTooFarAhead,
  kRecordsUnread,  ///< An unread record may contain an earlier intent.
  kNotRun,         ///< Not claimed in time; the key was not held when the log
                   ///< was last read to its end.
  kNotConfirmed,   ///< Not claimed in time; the key may be held.
};

/// @brief A decided claim.
struct Decision {
  std::uint64_t number = 0;  ///< Number of the claim.
  DecisionKind kind = DecisionKind::kNotConfirmed;
  std::optional<Hold> hold;  ///< For `kAlreadyHeld`.
};

/// @brief Request to append a record to the keys stream.
struct AppendRequest {
  std::uint64_t batch = 0;
  std::string data;
};

/// @brief Request to read the keys stream.
struct ReadRequest {
  std::uint64_t serial = 0;
  core::LogOffset from;
};

/// @brief Actions that the caller must carry out after `BeginClaim`, `Advance`
/// or `OnRead`.
struct Effects {
  std::vector<Decision> decisions;
  std::vector<AppendRequest> appends;
  std::optional<ReadRequest> read;
};

/// @brief An undecided claim.
struct Claim {
  Key key;
  core::ServiceName service;
  core::MonotonicTime deadline;
  /// Serial of the last read that began before the claim.
  std::uint64_t reads_before = 0;
  /// Time of the next append of the intent; none while it is queued, in flight
  /// or known to be appended.
  std::optional<core::MonotonicTime> resend;
};

/// @brief The claims of one gateway.
///
/// Two rules ensure that a key runs at most once. A gateway runs a request only
/// after it has read its own intent as the first one for the key; the order of
/// intents on the log is the same for all gateways and never changes. A gateway
/// releases only an intent that it will never run, and a release names the
/// intent, so a duplicate that arrives late cannot release another one.
///
/// Behaviour in failures:
/// - The holder crashes: the key stays held until it expires, and attempts at
///   other gateways get `ClaimResult::kUnknown`.
/// - The holder is paused and resumes: its intent is still the first one; a
///   claim that is past its deadline is released, not run.
/// - The log is unavailable or the zone is cut off: claims end at their
///   deadline as `kNotConfirmed`, or as `kNotRun` if reads still work.
/// - The answer to an append is lost: the claim is decided by reading. An
///   intent that is read after its claim ended is released.
/// - Records expire before they are read: keys that they may hold are not run
///   (`kRecordsUnread`).
struct Claims {
  ClaimPolicy policy;
  Claimant self;
  Fold fold;
  core::Random random;
  std::map<std::uint64_t, Claim> waiting;    ///< By number of the claim.
  std::deque<std::uint64_t> queue;           ///< Intents to append.
  std::map<Key, std::uint64_t> running;      ///< Numbers of the intents.
  std::map<Key, std::uint64_t> finished;     ///< Kept until the key expires.
  std::map<std::uint64_t, Key> releases;     ///< To append, by intent.
  std::map<std::uint64_t, Batch> in_flight;  ///< Appends, by batch number.
  std::uint64_t last_number = 0;
  std::uint64_t last_batch = 0;
  std::uint64_t last_read = 0;
  std::uint64_t last_complete_read = 0;  ///< Last read up to the log's end.
  bool reading = false;
  std::uint32_t append_failures = 0;
  std::uint32_t read_failures = 0;
  core::MonotonicTime next_append;
  core::MonotonicTime next_read;
  core::MonotonicTime next_scan;  ///< Next scan of `waiting`.
};

/// @brief Makes the claims of a starting gateway, which reads the keys stream
/// from the beginning.
/// @param self The gateway; the incarnation must never have been used before.
/// @param policy The settings.
/// @param seed Seed of the jitter.
[[nodiscard]] Claims MakeClaims(Claimant self, const ClaimPolicy& policy,
                                std::uint64_t seed);

/// @brief Begins a claim. It is decided at once or by a later call.
/// @param claims The claims.
/// @param key The key.
/// @param service The service.
/// @param timeout Longest time until the claim is decided.
/// @param now The current time.
/// @param effects Receives the decision if the claim is decided at once.
/// @return Number of the claim.
std::uint64_t BeginClaim(Claims& claims, const Key& key,
                         const core::ServiceName& service, core::Millis timeout,
                         core::MonotonicTime now, Effects& effects);

/// @brief Marks a run as finished. Its key stays held.
/// @param claims The claims.
/// @param key The key.
void FinishRun(Claims& claims, const Key& key);

/// @brief State of an intent of this gateway, for queries of other attempts.
enum class RunState {
  kPending,   ///< Undecided or running.
  kFinished,  ///< Ran.
  kNeverRun,  ///< Did not run and never will.
  kExpired,   ///< Forgotten, because the key has expired.
};

/// @brief Returns the state of an intent of this gateway.
/// @param claims The claims.
/// @param key The key.
/// @param number Number of the intent.
[[nodiscard]] RunState RunStateOf(const Claims& claims, const Key& key,
                                  std::uint64_t number);

/// @brief Releases a key whose request was not run and will not be run by this
/// claim.
/// @param claims The claims.
/// @param key The key; ignored unless it was decided as `kRun` here.
void ReleaseRun(Claims& claims, const Key& key);

/// @brief Ends claims that are past their deadline and starts due appends and
/// reads. Call it after every event and at least once per append interval.
/// @param claims The claims.
/// @param now The current time.
/// @param effects Receives the decisions, appends and read.
void Advance(Claims& claims, core::MonotonicTime now, Effects& effects);

/// @brief Processes the result of an append.
/// @param claims The claims.
/// @param batch Batch number of the request.
/// @param result The result.
/// @param now The current time.
void OnAppend(Claims& claims, std::uint64_t batch,
              const log::AppendResult& result, core::MonotonicTime now);

/// @brief Processes the result of a read.
/// @param claims The claims.
/// @param serial Serial number of the request.
/// @param answer The result.
/// @param now The current time.
/// @param effects Receives the decisions.
void OnRead(Claims& claims, std::uint64_t serial, const log::ReadAnswer& answer,
            core::MonotonicTime now, Effects& effects);

}  // namespace camphormux::idempotency

#endif  // CAMPHORMUX_IDEMPOTENCY_CLAIMS_HPP_
