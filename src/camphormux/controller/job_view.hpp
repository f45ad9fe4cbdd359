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

/// @brief Makes the job runner's view of a controller.
/// @param input What the controller knows.
/// @param cut_off Zones without news on the log.
/// @return The lease only while decisions may be made.
[[nodiscard]] dispatch::Situation MakeJobSituation(
    const StepInput& input, std::vector<core::ZoneName> cut_off);

/// @brief Explains a job.
/// @param input What the controller knows.
/// @param job The job.
/// @return The explanation, or nothing for a job that is not known.
[[nodiscard]] std::optional<Explanation> ExplainJob(const StatusInput& input,
                                                    const core::JobId& job);

/// @brief Metrics of the jobs as one controller sees them.
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
  core::MonotonicTime updated_at;  ///< When the metrics were set.

  explicit JobMetrics(prometheus::Registry& registry);
};

/// @brief Sets the metrics, but not more often than every 5 s, because the cost
/// grows with the number of jobs.
/// @param runner The job runner.
/// @param now The time.
/// @param meters The metrics.
void UpdateJobMetrics(const dispatch::Runner& runner, core::MonotonicTime now,
                      JobMetrics& metrics);

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_JOB_VIEW_HPP_
