#ifndef CAMPHORMUX_COORDINATOR_RUN_LATENCY_HPP_
#define CAMPHORMUX_COORDINATOR_RUN_LATENCY_HPP_

#include <algorithm>
#include <cstdint>

#include "camphormux/core/time.hpp"

namespace camphormux::coordinator {

/// @brief Number of runs that passed a stage and how long it took them.
struct StageLatency {
  std::uint64_t runs = 0;
  core::Millis total{0};
  core::Millis longest{0};
};

/// @brief Latencies of the stages of starting a run, since the last log line.
struct RunLatency {
  StageLatency stored;    ///< From the decision until the start is stored.
  StageLatency sent;      ///< From the decision until it is sent to the host.
  StageLatency answered;  ///< From sending until the host's answer.
};

/// @brief Records that a run has passed a stage.
inline void RecordStage(StageLatency& stage, core::Millis took) {
  ++stage.runs;
  stage.total += took;
  stage.longest = std::max(stage.longest, took);
}

/// @return Mean time of a stage; 0 if no run passed it.
[[nodiscard]] inline core::Millis Mean(const StageLatency& stage) {
  return stage.runs == 0 ? core::Millis(0)
                         : stage.total / static_cast<std::int64_t>(stage.runs);
}

}  // namespace camphormux::coordinator

#endif  // CAMPHORMUX_COORDINATOR_RUN_LATENCY_HPP_
