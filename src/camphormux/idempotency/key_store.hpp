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

/// Path on the peer server on which others ask for answers.
inline constexpr const char* kAnswerPath = "/idempotency/answer";

enum class ClaimResult {
  kRun,          ///< Run it, then call `store`, `lose` or `release`.
  kAnswered,     ///< It ran; `answer` is its answer.
  kUnknown,      ///< It may have run; its answer is not available.
  kUnavailable,  ///< This attempt was not run; see `not_run_proven`.
};

/// @brief Why a claim gave neither a run nor an answer.
enum class ClaimReason {
  kNone,
  kInvalidKey,          ///< Not a UUIDv7.
  kKeyExpired,          ///< Older than `kKeyLifetime`.
  kKeyTooFarAhead,      ///< Too far ahead of the log's clock.
  kKeyServiceMismatch,  ///< Held for another service.
  kRecordsMissing,      ///< Records that may hold the key were not read.
  kOwnerUnreachable,    ///< The gateway that holds the key does not answer.
  kAnswerLost,          ///< The run ended without an answer that was kept.
  kStoreUnavailable,    ///< The log did not take the intent in time.
};

/// @brief Result of a claim.
struct ClaimOutcome {
  ClaimResult result = ClaimResult::kUnavailable;
  ClaimReason reason = ClaimReason::kNone;
  /// For `kUnavailable`: no attempt with this key ran before this one began,
  /// so `not-run` may be told. If false, an earlier attempt may have run, which
  /// only the log knows.
  bool not_run_proven = false;
  std::optional<StoredAnswer> answer;
};

/// @brief What a gateway needs of the key store. All functions are called on
/// the store's event loop.
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

/// @brief Parts of a key store.
struct KeyStoreOptions {
  Claimant self;
  ClaimPolicy policy;
  std::uint64_t seed = 0;  ///< Of the jitter.
  core::Millis read_wait = std::chrono::seconds(1);
  /// While claims wait: the proof that a claim did not run needs a read that
  /// began after the claim and ended before its deadline.
  core::Millis busy_read_wait{100};
  /// Before a claim is tried again whose holder released the key.
  core::Millis retry_wait{50};
  std::string source_ip;  ///< Of connections; empty: the system chooses.
  std::size_t max_answer_bytes_total = std::size_t{32} << 20;
};

/// @brief Finds the peer server of a gateway.
using Locate =
    std::function<std::optional<core::Address>(const core::ProcessId&)>;

/// @brief Runs each key at most once over all gateways, by intents on the log.
/// What happens in failures is told at `Claims`. Use it on the loop's thread
/// only. Callbacks of claims never run inside `Claim`.
class KeyStore {
 public:
  /// @param loop Event loop; outlives the store.
  /// @param port Access to the log.
  /// @param options The parts.
  /// @param locate Finds other gateways.
  KeyStore(asio::io_context& loop, log::LogPort port,
           const KeyStoreOptions& options, Locate locate);
  /// Drops claims without calling their callbacks.
  ~KeyStore();
  KeyStore(const KeyStore&) = delete;
  KeyStore& operator=(const KeyStore&) = delete;

  /// @brief Begins to read the keys stream.
  void Start();

  /// @brief Claims a key.
  /// @param key Text of the key.
  /// @param service The service.
  /// @param timeout Bound on the wait.
  /// @param done Called once with the outcome.
  void Claim(const std::string& key, const core::ServiceName& service,
             core::Millis timeout, std::function<void(ClaimOutcome)> done);
  void Release(const std::string& key);
  void Store(const std::string& key, const StoredAnswer& answer);
  void FinishWithoutAnswer(const std::string& key);

  /// @brief Answers a request on `kAnswerPath`; the process routes it here
  /// from its peer server.
  /// @param request The request.
  /// @param respond Gets the answer.
  void Handle(const peer::Request& request, const peer::Respond& respond);

  /// @return The narrow port; valid as long as the store.
  [[nodiscard]] KeyStorePort Port();

  [[nodiscard]] const Claims& claims() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace camphormux::idempotency

#endif  // CAMPHORMUX_IDEMPOTENCY_KEY_STORE_HPP_
