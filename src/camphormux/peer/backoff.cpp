#include "camphormux/peer/backoff.hpp"

#include <algorithm>

namespace camphormux::peer {

core::Millis BackoffDelay(const BackoffPolicy& policy, std::uint32_t failures,
                          core::Random& random) {
  // Keeps the shift below within the range of the type.
  constexpr std::uint32_t kMaxDoublings = 20;
  const std::uint32_t doublings =
      std::min(std::max(failures, 1U) - 1, kMaxDoublings);
  const core::Millis full =
      std::min(policy.maximum, policy.initial * (std::int64_t{1} << doublings));
  return full / 2 + core::Jitter(random, full - full / 2);
}

}  // namespace camphormux::peer
