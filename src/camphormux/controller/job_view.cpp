#include "camphormux/controller/job_view.hpp"

#include <utility>

#include "camphormux/controller/host_list.hpp"
#include "camphormux/telemetry/metrics.hpp"

namespace camphormux::controller {

using telemetry::AddGauge;

dispatch::Situation MakeJobSituation(const StepInput& input,
                                     std::vector<core::ZoneName> cut_off) {
  dispatch::Situation situation{
      input.state, std::nullopt, {}, std::move(cut_off)};
  const auto lease = input.state.leases.find(input.zone);
  const bool holds = input.observed.lease &&
                     lease != input.state.leases.end() &&
                     lease->second.epoch == *input.observed.lease;
  if (holds && input.state.text.parsed && input.observed.listed &&
      input.now - input.observed.log_read_at <= kMaxLogViewAge) {
    situation.lease = input.observed.lease;
    const std::vector<core::HostId> missing = MissingHosts(input);
    // A list that drops many hosts at once is no evidence that any of them is
    // gone.
    if (!IsListDoubtful(input, missing)) {
      situation.missing.insert(missing.begin(), missing.end());
    }
  }
  return situation;
}

std::optional<Explanation> ExplainJob(const StatusInput& input,
                                      const core::JobId& job) {
  if (input.jobs == nullptr) {
    return std::nullopt;
  }
  const auto facts = dispatch::ExplainJob(
      input.jobs->fold(), input.jobs->driver(), input.zone, job);
  if (!facts) {
    return std::nullopt;
  }
  Explanation explanation{"job " + job.value,
                          facts->state + ": " + facts->reason,
                          {},
                          input.state.text.revision};
  for (const auto& [name, value] : facts->figures) {
    explanation.figures.push_back({name, value});
  }
  return explanation;
}

JobMetrics::JobMetrics(prometheus::Registry& registry)
    : open(AddGauge(registry, "camphormux_jobs_open",
                    "Jobs of all zones that did not end.")),
      unclaimed(AddGauge(registry, "camphormux_jobs_unclaimed",
                         "Jobs that no zone has taken.")),
      queued(AddGauge(registry, "camphormux_jobs_queued",
                      "Jobs of the zone that wait for a worker.")),
      running(AddGauge(registry, "camphormux_jobs_running",
                       "Jobs of the zone that have a task.")),
      held_back(AddGauge(registry, "camphormux_jobs_held_back",
                         "Jobs of the zone that failed on several workers.")),
      impossible(AddGauge(registry, "camphormux_jobs_impossible",
                          "Jobs of the zone that can never run.")),
      unconfirmed(AddGauge(registry, "camphormux_jobs_unconfirmed",
                           "Jobs of the zone whose run's end is not known.")),
      quarantined(AddGauge(registry, "camphormux_workers_quarantined",
                           "Workers of the zone that fail every task.")),
      lost(AddGauge(registry, "camphormux_jobs_lost",
                    "Jobs ended by this holder because a run of an earlier "
                    "one was not found.")),
      adopted(AddGauge(registry, "camphormux_jobs_adopted_tasks",
                       "Tasks that this holder took over.")),
      skipped(AddGauge(registry, "camphormux_jobs_skipped_records",
                       "Malformed or conflicting records of the jobs "
                       "stream.")) {}

void UpdateJobMetrics(const dispatch::Runner& runner, core::MonotonicTime now,
                      JobMetrics& metrics) {
  constexpr core::Millis kPeriod = std::chrono::seconds(5);
  if (now - metrics.updated_at < kPeriod) {
    return;
  }
  metrics.updated_at = now;
  const dispatch::JobCounts counts =
      dispatch::CountJobs(runner.fold(), runner.driver());
  const auto set = [](prometheus::Gauge& gauge, std::uint64_t value) {
    gauge.Set(static_cast<double>(value));
  };
  set(metrics.open, counts.open);
  set(metrics.unclaimed, counts.unclaimed);
  set(metrics.queued, counts.queued);
  set(metrics.running, counts.running);
  set(metrics.held_back, counts.held_back);
  set(metrics.impossible, counts.impossible);
  set(metrics.unconfirmed, counts.unconfirmed);
  set(metrics.quarantined, counts.quarantined.size());
  set(metrics.lost, runner.driver().lost_jobs);
  set(metrics.adopted, runner.driver().adopted);
  set(metrics.skipped, runner.fold().malformed + runner.fold().conflicting);
}

}  // namespace camphormux::controller
