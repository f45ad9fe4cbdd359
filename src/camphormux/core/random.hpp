#ifndef CAMPHORMUX_CORE_RANDOM_HPP_
#define CAMPHORMUX_CORE_RANDOM_HPP_

#include <cassert>
#include <cstdint>
#include <random>

#include "camphormux/core/time.hpp"

namespace camphormux::core {

/// @brief Random number generator. It is passed to decision functions as a
/// parameter so that a run with a fixed seed can be reproduced.
struct Random {
  std::mt19937_64 engine;
};

/// @brief Creates a generator with a fixed seed.
/// @param seed Any number.
/// @return The generator.
[[nodiscard]] inline Random SeededRandom(std::uint64_t seed) {
  return Random{std::mt19937_64{seed}};
}

/// @brief Draws a uniformly distributed integer below a bound.
/// @param random The generator.
/// @param bound Exclusive upper bound; must be positive.
/// @return A number in [0, bound).
[[nodiscard]] inline std::uint64_t UniformBelow(Random& random,
                                                std::uint64_t bound) {
  assert(bound > 0);
  return std::uniform_int_distribution<std::uint64_t>{0,
                                                      bound - 1}(random.engine);
}

/// @brief Draws a uniformly distributed number from the unit interval.
/// @param random The generator.
/// @return A number in [0, 1).
[[nodiscard]] inline double UnitInterval(Random& random) {
  return std::uniform_real_distribution<double>{0.0, 1.0}(random.engine);
}

/// @brief Draws a uniformly distributed duration for jitter.
/// @param random The generator.
/// @param bound Inclusive upper bound; must not be negative.
/// @return A duration in [0, bound].
[[nodiscard]] inline Millis Jitter(Random& random, Millis bound) {
  assert(bound.count() >= 0);
  return Millis{static_cast<Millis::rep>(
      UniformBelow(random, static_cast<std::uint64_t>(bound.count()) + 1))};
}

}  // namespace camphormux::core

#endif  // CAMPHORMUX_CORE_RANDOM_HPP_
