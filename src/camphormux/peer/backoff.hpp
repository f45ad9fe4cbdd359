#ifndef CAMPHORMUX_PEER_BACKOFF_HPP_
#define CAMPHORMUX_PEER_BACKOFF_HPP_

#include <chrono>
#include <cstdint>

#include "camphormux/core/random.hpp"
#include "camphormux/core/time.hpp"

namespace camphormux::peer {

/// @brief How long a client waits between attempts to connect.
struct BackoffPolicy {
  core::Millis initial{100};
  core::Millis maximum = std::chrono::seconds(5);
};

/// @brief Computes the wait before the next attempt: doubles with each failure
/// up to the maximum, of which the upper half is random, so that clients of a
/// restarted peer do not return together.
/// @param policy The bounds.
/// @param failures Failed attempts in a row; at least 1.
/// @param random Source of the jitter.
/// @return A wait in [half of the doubled value, the doubled value].
[[nodiscard]] core::Millis BackoffDelay(const BackoffPolicy& policy,
                                        std::uint32_t failures,
                                        core::Random& random);

}  // namespace camphormux::peer

#endif  // CAMPHORMUX_PEER_BACKOFF_HPP_
