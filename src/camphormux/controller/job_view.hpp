#ifndef CAMPHORMUX_CONTROLLER_JOB_VIEW_HPP_
#define CAMPHORMUX_CONTROLLER_JOB_VIEW_HPP_

#include <optional>
#include <vector>

#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include "camphormux/controller/explain.hpp"
#include "camphormux/controller/step.hpp"
#include "camphormux/dispatch/explain.hpp"
#include "camphormux/dispatch/runner.hpp"

namespace camphormux::controller {

/// @brief Makes the input of the job runner from the controller's data.
/// @param input Current data of the controller.
/// @param cut_off Zones that are cut off from the log.
/// @return The runner's input; it has the lease only while decisions are
/// allowed.
[[nodiscard]] dispatch::Situation MakeJobSituation(
    const StepInput& input, std::vector<core::ZoneName> cut_off);

/// @brief Explains the state of a job.
/// @param input Current data of the controller.
/// @param job The job.
/// @return The explanation, or nothing if the job is unknown.
[[nodiscard]] std::optional<Explanation> ExplainJob(const StatusInput& input,
                                                    const core::JobId& job);

/// @brief Job metrics of one controller.
struct JobMetrics {
  prometheus::Gauge& open;
  prometheus::Gauge& unclaimed;
  prometheus::Gauge& queued;
  prometheus::Gauge& running;
  prometheus::Gauge& held_back;
  prometheus::Gauge& impossible;
  prometheus::Gauge& unconfirmed;
  prometheus::Gauge& quarantined;
  prometheus::Gauge& lost;
  prometheus::Gauge& adopted;
  prometheus::Gauge& skipped;
  core::MonotonicTime updated_at;  ///< Time of the last update.

  explicit JobMetrics(prometheus::Registry& registry);
};

/// @brief Updates the metrics at most every 5 s, because the cost grows with
/// the number of jobs.
/// @param runner The job runner.
/// @param now The time.
/// @param metrics The metrics.
void UpdateJobMetrics(const dispatch::Runner& runner, core::MonotonicTime now,
                      JobMetrics& metrics);

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_JOB_VIEW_HPP_
