#ifndef CAMPHORMUX_LOAD_DEMAND_HPP_
#define CAMPHORMUX_LOAD_DEMAND_HPP_

#include <chrono>
#include <cstddef>

#include "camphormux/core/random.hpp"

namespace camphormux::load {

/// Time since the start of a load run, or a duration within it.
using RunDuration = std::chrono::microseconds;

/// @brief Arrival rates (docs/design.md, section 1): each service in turn gets
/// a burst at the peak rate. Between its bursts it gets a small share of that
/// rate.
struct Demand {
  std::size_t services = 1;
  double mean_rate = 100;    ///< Requests per second and service.
  double peak_factor = 5;    ///< Ratio of peak rate to mean rate.
  double idle_share = 0.05;  ///< Ratio of idle rate to peak rate.
  RunDuration burst = std::chrono::seconds(5);
  bool steady = false;  ///< Constant mean rate without bursts.
};

/// @brief Returns the period of the bursts, at which each service's rate
/// averages `mean_rate`. With more services than such a period has room for, it
/// is extended so that bursts never overlap; the rates then average less.
/// @param demand The demand.
/// @return The period in microseconds.
[[nodiscard]] RunDuration CycleLength(const Demand& demand);

/// @brief Returns the rate of one service at a given time.
/// @param demand The demand.
/// @param service Index of the service.
/// @param time Time since the start.
/// @return Requests per second.
[[nodiscard]] double RateAt(const Demand& demand, std::size_t service,
                            RunDuration time);

/// @brief Poisson arrivals of one service, with a rate that follows the demand.
struct ArrivalStream {
  std::size_t service = 0;
  RunDuration last{0};  ///< Time of the latest drawn arrival.
  core::Random random;
};

/// @brief Draws the next arrival by thinning a Poisson process of the peak
/// rate.
/// @param demand The demand.
/// @param stream The stream; advanced by one arrival.
/// @return Time of the arrival.
RunDuration NextArrival(const Demand& demand, ArrivalStream& stream);

}  // namespace camphormux::load

#endif  // CAMPHORMUX_LOAD_DEMAND_HPP_
