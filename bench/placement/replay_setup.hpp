#ifndef CAMPHORMUX_BENCH_PLACEMENT_REPLAY_SETUP_HPP_
#define CAMPHORMUX_BENCH_PLACEMENT_REPLAY_SETUP_HPP_

#include <functional>

#include "bench/placement/replay.hpp"
#include "camphormux/placement/effects.hpp"
#include "camphormux/placement/events.hpp"

/// Constants and functions that the source files of the placement replay share.
namespace camphormux::placement::internal {

inline constexpr int kWorkers = 50;
inline constexpr int kTeams = 10;
inline constexpr Resources kShape{{64000}, {256000}, {0}};
inline constexpr core::Millis kSecond{1000};
inline constexpr core::MonotonicTime kStartTime{core::Millis{1000000}};

/// Placement algorithm: handles an event and returns the commands to workers.
using DecideFunction =
    std::function<Effects(const Event&, core::MonotonicTime)>;

/// @brief Replays a scenario in steps of 100 ms against a placement algorithm.
/// @param scenario Workers, jobs and faults.
/// @param seed Seed of the delays of the simulated workers.
/// @param decide Placement algorithm.
/// @return Metrics of the replay; those that only the algorithm knows stay 0.
[[nodiscard]] ReplayMetrics Simulate(const Scenario& scenario,
                                     std::uint64_t seed, DecideFunction decide);

}  // namespace camphormux::placement::internal

#endif  // CAMPHORMUX_BENCH_PLACEMENT_REPLAY_SETUP_HPP_
