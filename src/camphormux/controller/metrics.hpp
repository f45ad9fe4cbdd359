#ifndef CAMPHORMUX_CONTROLLER_METRICS_HPP_
#define CAMPHORMUX_CONTROLLER_METRICS_HPP_

#include <memory>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "camphormux/controller/step.hpp"

namespace camphormux::controller {

/// @brief Metrics of a controller.
struct Metrics {
  prometheus::Registry registry;
  prometheus::Counter& steps;
  prometheus::Counter& records;
  prometheus::Counter& append_failures;
  prometheus::Counter& calls;
  prometheus::Counter& stale_calls;
  prometheus::Counter& failed_calls;
  prometheus::Counter& doubtful_lists;
  prometheus::Gauge& deciding;
  prometheus::Gauge& missing_hosts;
  prometheus::Gauge& revision;
  prometheus::Gauge& offset;
  prometheus::Gauge& skipped_records;
  prometheus::Gauge& log_age;
  prometheus::Gauge& cut_off;
  prometheus::Gauge& converge;
  prometheus::Histogram& step_time;

  Metrics();
};

/// @brief Updates the metrics after a control step.
/// @param metrics The metrics.
/// @param input Input of the step.
/// @param result Result of the step.
void RecordStepMetrics(Metrics& metrics, const StepInput& input,
                       const StepResult& result);

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_METRICS_HPP_
