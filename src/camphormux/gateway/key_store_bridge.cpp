#include "camphormux/gateway/key_store_bridge.hpp"

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <utility>

#include <asio/post.hpp>

namespace camphormux::gateway {
namespace internal {

/// Pending claims of one traffic thread. The callbacks hold connections of the
/// thread's event loop, so they must be destroyed with the thread.
struct PendingClaims {
  std::uint64_t last_id = 0;
  std::unordered_map<std::uint64_t, std::function<void(ClaimResult)>> done;
};

void FinishClaim(const std::weak_ptr<PendingClaims>& weak,
                 std::uint64_t claim_id, ClaimResult result) {
  const auto claims = weak.lock();
  if (!claims) {
    return;
  }
  const auto node = claims->done.extract(claim_id);
  if (!node.empty()) {
    node.mapped()(std::move(result));
  }
}

KeyStorePort MakePort(asio::io_context& control, idempotency::KeyStore& store,
                      asio::io_context& loop) {
  KeyStorePort port;
  port.claim = [&control, &store, &loop,
                claims = std::make_shared<PendingClaims>()](
                   const core::RequestKey& key,
                   const core::ServiceName& service, core::Millis timeout,
                   std::function<void(ClaimResult)> done) {
    const std::uint64_t claim_id = ++claims->last_id;
    claims->done.emplace(claim_id, std::move(done));
    const std::weak_ptr<PendingClaims> weak = claims;
    asio::post(control, [&store, &loop, weak, claim_id, key, service, timeout] {
      store.Claim(key.value, service, timeout,
                  [&loop, weak, claim_id](idempotency::ClaimOutcome outcome) {
                    asio::post(
                        loop,
                        [weak, claim_id,
                         result = ToClaimResult(std::move(outcome))]() mutable {
                          FinishClaim(weak, claim_id, std::move(result));
                        });
                  });
    });
  };
  port.release = [&control, &store](const core::RequestKey& key) {
    asio::post(control, [&store, key] { store.Release(key.value); });
  };
  port.store = [&control, &store](const core::RequestKey& key,
                                  StoredResponse answer) {
    asio::post(control, [&store, key, answer = std::move(answer)]() mutable {
      store.Store(key.value, {answer.status, std::move(answer.headers),
                              std::move(answer.body)});
    });
  };
  port.mark_lost = [&control, &store](const core::RequestKey& key) {
    asio::post(control,
               [&store, key] { store.FinishWithoutAnswer(key.value); });
  };
  return port;
}

}  // namespace internal

ClaimResult ToClaimResult(idempotency::ClaimOutcome outcome) {
  ClaimResult result;
  switch (outcome.result) {
    case idempotency::ClaimResult::kRun:
      result.status = ClaimStatus::kFirst;
      break;
    case idempotency::ClaimResult::kAnswered:
      result.status = ClaimStatus::kAnswered;
      result.answer = {outcome.answer->status,
                       std::move(outcome.answer->headers),
                       std::move(outcome.answer->body)};
      break;
    case idempotency::ClaimResult::kUnknown:
      result.status = outcome.reason == idempotency::ClaimReason::kKeyExpired
                          ? ClaimStatus::kExpired
                          : ClaimStatus::kUnknown;
      break;
    case idempotency::ClaimResult::kUnavailable:
      result.status = ClaimStatus::kUnavailable;
      result.not_run_proven = outcome.not_run_proven;
      break;
  }
  return result;
}

KeyStoreFactory MakeKeyStoreFactory(asio::io_context& control,
                                    idempotency::KeyStore& store) {
  return [&control, &store](asio::io_context& loop) {
    return internal::MakePort(control, store, loop);
  };
}

}  // namespace camphormux::gateway
