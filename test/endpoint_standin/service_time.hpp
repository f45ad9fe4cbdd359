#ifndef CAMPHORMUX_TEST_ENDPOINT_STANDIN_SERVICE_TIME_HPP_
#define CAMPHORMUX_TEST_ENDPOINT_STANDIN_SERVICE_TIME_HPP_

#include <chrono>
#include <random>

#include "camphormux/core/random.hpp"

namespace camphormux::endpoint_standin {

/// @brief Distribution of the run time of requests without
/// `Standin-Service-Us`.
struct ServiceTime {
  enum class Shape { kFixed, kExponential };
  Shape shape = Shape::kFixed;
  std::chrono::microseconds mean{0};
};

/// @brief Samples the duration of one run.
/// @param time The distribution.
/// @param random Random number generator.
/// @return The duration.
[[nodiscard]] inline std::chrono::microseconds SampleServiceTime(
    const ServiceTime& time, core::Random& random) {
  if (time.shape == ServiceTime::Shape::kFixed || time.mean.count() == 0) {
    return time.mean;
  }
  const double mean = static_cast<double>(time.mean.count());
  return std::chrono::microseconds(static_cast<std::int64_t>(
      std::exponential_distribution<double>{1.0 / mean}(random.engine)));
}

}  // namespace camphormux::endpoint_standin

#endif  // CAMPHORMUX_TEST_ENDPOINT_STANDIN_SERVICE_TIME_HPP_
