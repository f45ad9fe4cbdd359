#include "camphormux/controller/metrics.hpp"

#include "camphormux/telemetry/metrics.hpp"

namespace camphormux::controller {

using telemetry::AddCounter;
using telemetry::AddGauge;

Metrics::Metrics()
    : steps(AddCounter(registry, "camphormux_controller_steps_total",
                       "Control steps.")),
      records(AddCounter(registry, "camphormux_controller_records_total",
                         "Records that steps decided.")),
      append_failures(
          AddCounter(registry, "camphormux_controller_append_failures_total",
                     "Batches of records that the log did not confirm.")),
      calls(AddCounter(registry, "camphormux_controller_platform_calls_total",
                       "Platform calls that steps decided.")),
      stale_calls(AddCounter(registry,
                             "camphormux_controller_stale_calls_total",
                             "Platform calls refused for an old epoch.")),
      failed_calls(AddCounter(registry,
                              "camphormux_controller_failed_calls_total",
                              "Platform calls without a good answer.")),
      doubtful_lists(AddCounter(registry,
                                "camphormux_controller_doubtful_lists_total",
                                "Steps stopped by a doubtful host list.")),
      deciding(AddGauge(registry, "camphormux_controller_deciding",
                        "1 if the last step made decisions.")),
      missing_hosts(AddGauge(registry, "camphormux_controller_missing_hosts",
                             "Hosts of the zone that the list lacks.")),
      revision(AddGauge(registry, "camphormux_state_revision",
                        "Revision of the operator text in force.")),
      offset(AddGauge(registry, "camphormux_state_offset",
                      "First offset of the state stream not applied.")),
      skipped_records(AddGauge(registry, "camphormux_state_skipped_records",
                               "Records of the state stream skipped.")),
      log_age(AddGauge(registry, "camphormux_state_log_age_seconds",
                       "Age of the view of the log.")),
      cut_off(AddGauge(registry, "camphormux_controller_cut_off",
                       "1 if the view of the log is too old.")),
      converge(AddGauge(
          registry, "camphormux_controller_converge_seconds",
          "From the log's first answer after the last cut to its end.")),
      step_time(telemetry::AddLatencyHistogram(
          registry, "camphormux_controller_step_seconds",
          "Processor time of control steps.")) {}

void RecordStepMetrics(Metrics& metrics, const StepInput& input,
                       const StepResult& result) {
  metrics.steps.Increment();
  metrics.records.Increment(static_cast<double>(result.records.size()));
  metrics.calls.Increment(static_cast<double>(result.calls.size()));
  if (result.idle == IdleReason::kDoubtfulHostList) {
    metrics.doubtful_lists.Increment();
  }
  metrics.deciding.Set(result.idle == IdleReason::kNone ? 1.0 : 0.0);
  metrics.missing_hosts.Set(static_cast<double>(result.missing.size()));
  metrics.revision.Set(static_cast<double>(input.state.text.revision.value));
  metrics.offset.Set(static_cast<double>(input.state.next.value));
  metrics.skipped_records.Set(static_cast<double>(input.state.skipped_records));
  const std::chrono::duration<double> age =
      input.now - input.observed.log_read_at;
  metrics.log_age.Set(age.count());
}

}  // namespace camphormux::controller
