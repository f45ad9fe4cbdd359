#ifndef CAMPHORMUX_GATEWAY_KEY_STORE_PORT_HPP_
#define CAMPHORMUX_GATEWAY_KEY_STORE_PORT_HPP_

#include <functional>
#include <string>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/http/message.hpp"

namespace camphormux::gateway {

/// @brief A complete response of an endpoint.
struct StoredResponse {
  int status = 0;
  http::Headers headers;
  std::string body;
};

/// @brief Result of claiming an idempotency key.
enum class ClaimStatus {
  kFirst,     ///< The only claim of the key; the request may be sent.
  kAnswered,  ///< The request of an earlier claim was answered.
  /// The request of an earlier claim may have run; its answer is not known.
  kUnknown,
  kExpired,      ///< The key is older than the retention time of keys.
  kUnavailable,  ///< The key was not claimed; see `not_run_proven`.
};

/// @brief Result of a claim with its data; `answer` is set for `kAnswered`.
struct ClaimResult {
  ClaimStatus status = ClaimStatus::kUnavailable;
  /// For `kUnavailable`: whether it is proven that no earlier request with the
  /// key ran. If false, another gateway may have run one.
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
  /// Releases a claim whose request provably did not run.
  std::function<void(const core::RequestKey& key)> release;
  /// Stores the response for later claims of the key.
  std::function<void(const core::RequestKey& key, StoredResponse answer)> store;
  /// Marks the claimed request as one that may have run but has no response to
  /// store.
  std::function<void(const core::RequestKey& key)> mark_lost;
};

}  // namespace camphormux::gateway

#endif  // CAMPHORMUX_GATEWAY_KEY_STORE_PORT_HPP_
