#ifndef CAMPHORMUX_GATEWAY_KEY_STORE_PORT_HPP_
#define CAMPHORMUX_GATEWAY_KEY_STORE_PORT_HPP_

#include <functional>
#include <string>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/http/message.hpp"

namespace camphormux::gateway {

/// @brief A whole answer of an endpoint.
struct StoredResponse {
  int status = 0;
  http::Headers headers;
  std::string body;
};

/// @brief What a claim of an idempotency key found.
enum class ClaimStatus {
  kFirst,        ///< This claim is the key's only one; the request may be sent.
  kAnswered,     ///< An earlier claim's run has an answer.
  kUnknown,      ///< An earlier claim's run has no known answer.
  kExpired,      ///< The key is too old to be remembered.
  kUnavailable,  ///< Nothing was claimed; see `not_run_proven`.
};

/// @brief Result of a claim; `answer` is set for `kAnswered`.
struct ClaimResult {
  ClaimStatus status = ClaimStatus::kUnavailable;
  /// For `kUnavailable`: no earlier request with the key ran. If false, another
  /// gateway may have run it.
  bool not_run_proven = false;
  StoredResponse answer;
};

/// @brief Access to the idempotency keys. The functions are called on a traffic
/// thread and return at once; `done` must be called on the same thread's event
/// loop, at most once, and never inside `claim`.
struct KeyStorePort {
  /// Claims a key before its request is sent.
  std::function<void(const core::RequestKey& key,
                     const core::ServiceName& service, core::Millis timeout,
                     std::function<void(ClaimResult)> done)>
      claim;
  /// Gives a claim up whose request provably did not run.
  std::function<void(const core::RequestKey& key)> release;
  /// Keeps the answer of the run for later claims.
  std::function<void(const core::RequestKey& key, StoredResponse answer)> store;
  /// Tells that the claimed request may have run and has no answer to keep.
  std::function<void(const core::RequestKey& key)> mark_lost;
};

}  // namespace camphormux::gateway

#endif  // CAMPHORMUX_GATEWAY_KEY_STORE_PORT_HPP_
