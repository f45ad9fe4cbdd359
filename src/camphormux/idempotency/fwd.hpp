#ifndef CAMPHORMUX_IDEMPOTENCY_FWD_HPP_
#define CAMPHORMUX_IDEMPOTENCY_FWD_HPP_

namespace camphormux::idempotency {

struct Key;
enum class KeyProblem;
struct Intent;
struct Release;
struct Batch;
struct Claimant;
struct Hold;
struct Fold;
enum class IntentVerdict;
struct StoredAnswer;
struct AnswerCache;
struct ClaimPolicy;
struct Claims;
struct Decision;
struct ClaimOutcome;
struct KeyStorePort;
class KeyStore;

}  // namespace camphormux::idempotency

#endif  // CAMPHORMUX_IDEMPOTENCY_FWD_HPP_
