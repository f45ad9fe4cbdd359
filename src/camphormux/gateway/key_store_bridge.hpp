#ifndef CAMPHORMUX_GATEWAY_KEY_STORE_BRIDGE_HPP_
#define CAMPHORMUX_GATEWAY_KEY_STORE_BRIDGE_HPP_

#include <asio/io_context.hpp>

#include "camphormux/gateway/traffic_thread.hpp"
#include "camphormux/idempotency/key_store.hpp"

namespace camphormux::gateway {

/// @brief Makes the ports through which traffic threads use a key store on the
/// control thread. Callbacks stay on the traffic thread; only the ids of claims
/// are passed to the control thread.
/// @param control Event loop of the store. It must have stopped before a
/// traffic thread is destroyed.
/// @param store The store; must exist whenever `control` runs.
/// @return The factory.
[[nodiscard]] KeyStoreFactory MakeKeyStoreFactory(asio::io_context& control,
                                                  idempotency::KeyStore& store);

/// @brief Converts the outcome of a claim.
/// @param outcome The key store's outcome.
/// @return The result for the dispatcher.
[[nodiscard]] ClaimResult ToClaimResult(idempotency::ClaimOutcome outcome);

}  // namespace camphormux::gateway

#endif  // CAMPHORMUX_GATEWAY_KEY_STORE_BRIDGE_HPP_
