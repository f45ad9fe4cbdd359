#ifndef CAMPHORMUX_GATEWAY_KEY_STORE_BRIDGE_HPP_
#define CAMPHORMUX_GATEWAY_KEY_STORE_BRIDGE_HPP_

#include <asio/io_context.hpp>

#include "camphormux/gateway/traffic_thread.hpp"
#include "camphormux/idempotency/key_store.hpp"

namespace camphormux::gateway {

/// @brief Makes ports of traffic threads to a key store on the control thread.
/// Callbacks stay in the traffic thread; only numbers of claims cross over.
/// @param control Event loop of the store. It must not run any more when a
/// traffic thread is destroyed.
/// @param store The store; outlives all runs of `control`.
/// @return The factory.
[[nodiscard]] KeyStoreFactory MakeKeyStoreFactory(asio::io_context& control,
                                                  idempotency::KeyStore& store);

/// @brief Translates the outcome of a claim.
/// @param outcome The key store's outcome.
/// @return The result for the dispatcher.
[[nodiscard]] ClaimResult ToClaimResult(idempotency::ClaimOutcome outcome);

}  // namespace camphormux::gateway

#endif  // CAMPHORMUX_GATEWAY_KEY_STORE_BRIDGE_HPP_
