#ifndef CAMPHORMUX_LOAD_DEMAND_HPP_
#define CAMPHORMUX_LOAD_DEMAND_HPP_

#include <chrono>
#include <cstddef>

#include "camphormux/core/random.hpp"

namespace camphormux::load {

/// Time since the start of a run.
using RunDuration = std::chrono::microseconds;

/// @brief How many requests arrive (docs/design.md, section 1): each service
/// in turn gets a burst; in between it gets a small share of the peak.
struct Demand {
  std::size_t services = 1;
  double mean_rate = 100;    ///< Requests a second for each service.
  double peak_factor = 5;    ///< Peak rate over mean rate.
  double idle_share = 0.05;  ///< Rate between bursts over peak rate.
  RunDuration burst = std::chrono::seconds(5);
  bool steady = false;  ///< The mean rate all the time, without bursts.
};

/// @brief Time after which the bursts start over; chosen so that the rate
/// averages `mean_rate`.
/// @param demand The demand.
/// @return The length of a cycle.
[[nodiscard]] RunDuration CycleLength(const Demand& demand);

/// @brief Rate of one service at a time.
/// @param demand The demand.
/// @param service Index of the service.
/// @param time Time since the start.
/// @return Requests a second.
[[nodiscard]] double RateAt(const Demand& demand, std::size_t service,
                            RunDuration time);

/// @brief Poisson arrivals of one service.
struct ArrivalStream {
  std::size_t service = 0;
  RunDuration last{0};
  core::Random random;
};

/// @brief Draws the next arrival by thinning a process of the peak rate.
/// @param demand The demand.
/// @param stream The stream; advanced.
/// @return Time of the arrival.
RunDuration NextArrival(const Demand& demand, ArrivalStream& stream);

}  // namespace camphormux::load

#endif  // CAMPHORMUX_LOAD_DEMAND_HPP_
