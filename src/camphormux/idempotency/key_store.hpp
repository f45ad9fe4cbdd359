#ifndef CAMPHORMUX_IDEMPOTENCY_KEY_STORE_HPP_
#define CAMPHORMUX_IDEMPOTENCY_KEY_STORE_HPP_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <asio/io_context.hpp>

#include "camphormux/core/units.hpp"
#include "camphormux/idempotency/answers.hpp"
#include "camphormux/idempotency/claims.hpp"
#include "camphormux/log/log_port.hpp"
#include "camphormux/peer/message.hpp"

namespace camphormux::idempotency {

/// Path on the peer server for answer queries of other gateways.
inline constexpr const char* kAnswerPath = "/idempotency/answer";

/// @brief What the claiming caller must do or may know.
enum class ClaimResult {
  kRun,          ///< Run the request, then call `store`,
                 ///< `finish_without_answer` or `release`.
  kAnswered,     ///< The request ran; `answer` is its answer.
  kUnknown,      ///< It may have run; its answer is not available.
  kUnavailable,  ///< This attempt was not run; see `not_run_proven`.
};

/// @brief Why a claim gave neither a run nor an answer.
enum class ClaimReason {
  kNone,
  kInvalidKey,          ///< Not a UUIDv7.
  kKeyExpired,          ///< Older than `kKeyLifetime`.
  kKeyTooFarAhead,      ///< More than `kMaxKeyLead` ahead of the log's clock.
  kKeyServiceMismatch,  ///< Held for another service.
  kRecordsMissing,      ///< Records that may hold the key were not read.
  kOwnerUnreachable,    ///< The gateway that holds the key did not answer.
  kAnswerLost,          ///< The run ended and its answer is not stored.
  kStoreUnavailable,    ///< The claim could not be decided in time.
};

/// @brief Result of a claim.
struct ClaimOutcome {
  ClaimResult result = ClaimResult::kUnavailable;
  ClaimReason reason = ClaimReason::kNone;
  /// For `kUnavailable`: no attempt with this key ran before this one began,
  /// so the caller may be told `not-run`. If false, an earlier attempt may have
  /// run, which can only be found out from the log.
  bool not_run_proven = false;
  std::optional<StoredAnswer> answer;
};

/// @brief Functions of the key store that a gateway uses. Call them on the
/// store's event loop.
struct KeyStorePort {
  std::function<void(const std::string& key, const core::ServiceName& service,
                     core::Millis timeout,
                     std::function<void(ClaimOutcome)> done)>
      claim;
  /// The claimed request was not sent and will not be.
  std::function<void(const std::string& key)> release;
  /// The claimed request ran and has an answer.
  std::function<void(const std::string& key, StoredAnswer answer)> store;
  /// The claimed request may have run and has no answer.
  std::function<void(const std::string& key)> finish_without_answer;
};

/// @brief Settings of a key store.
struct KeyStoreOptions {
  Claimant self;
  ClaimPolicy policy;
  std::uint64_t seed = 0;  ///< Seed of the jitter.
  /// Long-poll time of reads of the log.
  core::Millis read_wait = std::chrono::seconds(1);
  /// Long-poll time while claims are undecided. It is shorter because only a
  /// read that began after a claim and ended before the claim's deadline proves
  /// that it did not run.
  core::Millis busy_read_wait{100};
  /// Time before a claim is retried after the holder released the key.
  core::Millis retry_wait{50};
  std::string
      source_ip;  ///< Source address of connections; empty: system default.
  std::size_t max_answer_bytes_total = std::size_t{32} << 20;
};

/// @brief Returns the address of a gateway's peer server, if known.
using Locate =
    std::function<std::optional<core::Address>(const core::ProcessId&)>;

/// @brief Ensures that each key runs at most once across all gateways, by means
/// of intents on the log. `Claims` documents the behaviour in failures. Use it
/// on the event loop's thread only. `Claim` never calls its callback itself.
class KeyStore {
 public:
  /// @param loop Event loop; outlives the store.
  /// @param port Access to the log.
  /// @param options The settings.
  /// @param locate Finds the addresses of other gateways.
  KeyStore(asio::io_context& loop, log::LogPort port,
           const KeyStoreOptions& options, Locate locate);
  /// Drops claims without calling their callbacks.
  ~KeyStore();
  KeyStore(const KeyStore&) = delete;
  KeyStore& operator=(const KeyStore&) = delete;

  /// @brief Starts to read the keys stream.
  void Start();

  /// @brief Claims a key.
  /// @param key Text of the key.
  /// @param service The service.
  /// @param timeout Longest time until `done` is called.
  /// @param done Called once with the outcome.
  void Claim(const std::string& key, const core::ServiceName& service,
             core::Millis timeout, std::function<void(ClaimOutcome)> done);
  /// @brief Releases a claimed key; see `KeyStorePort::release`.
  void Release(const std::string& key);
  /// @brief Stores a run's answer; see `KeyStorePort::store`.
  void Store(const std::string& key, const StoredAnswer& answer);
  /// @brief Ends a run without an answer; see
  /// `KeyStorePort::finish_without_answer`.
  void FinishWithoutAnswer(const std::string& key);

  /// @brief Answers a request on `kAnswerPath`, which the process forwards from
  /// its peer server.
  /// @param request The request.
  /// @param respond Receives the response.
  void Handle(const peer::Request& request, const peer::Respond& respond);

  /// @return Functions that call this store; valid as long as the store.
  [[nodiscard]] KeyStorePort Port();

  [[nodiscard]] const Claims& claims() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace camphormux::idempotency

#endif  // CAMPHORMUX_IDEMPOTENCY_KEY_STORE_HPP_
