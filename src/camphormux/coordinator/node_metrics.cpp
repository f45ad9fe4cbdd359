#include "camphormux/coordinator/node_metrics.hpp"

#include "camphormux/telemetry/metrics.hpp"

namespace camphormux::coordinator {

NodeMetrics RegisterNodeMetrics(prometheus::Registry& registry) {
  using telemetry::AddCounter;
  using telemetry::AddGauge;
  using telemetry::AddLatencyHistogram;
  NodeMetrics node_metrics;
  node_metrics.accepted =
      &AddCounter(registry, "camphormux_jobs_accepted_total",
                  "Jobs that this node told callers are stored.");
  node_metrics.refused =
      &AddCounter(registry, "camphormux_jobs_refused_total",
                  "Jobs refused because their queue is too far behind.");
  node_metrics.unauthorized =
      &AddCounter(registry, "camphormux_requests_unauthorized_total",
                  "Requests without an API key of the configuration in force.");
  node_metrics.unavailable =
      &AddCounter(registry, "camphormux_requests_unavailable_total",
                  "Requests refused because no node could decide about them.");
  node_metrics.unanswered =
      &AddCounter(registry, "camphormux_requests_unanswered_total",
                  "Submissions whose fate was not known at their deadline.");
  constexpr const char* kCancellations = "camphormux_cancellations_total";
  constexpr const char* kCancellationsHelp =
      "Cancellations that this node answered, by outcome.";
  node_metrics.cancelled = &AddCounter(
      registry, kCancellations, kCancellationsHelp, {{"outcome", "cancelled"}});
  node_metrics.cancelled_unknown =
      &AddCounter(registry, kCancellations, kCancellationsHelp,
                  {{"outcome", "no such job"}});
  node_metrics.cancel_unavailable =
      &AddCounter(registry, kCancellations, kCancellationsHelp,
                  {{"outcome", "unavailable"}});
  node_metrics.renewals =
      &AddCounter(registry, "camphormux_host_renewals_total",
                  "Renewals of leases and questions to hosts.");
  node_metrics.host_calls_direct =
      &AddCounter(registry, "camphormux_host_calls_total",
                  "Calls to hosts by this node as the holder, by their way.",
                  {{"way", "direct"}});
  node_metrics.host_calls_shared =
      &AddCounter(registry, "camphormux_host_calls_total",
                  "Calls to hosts by this node as the holder, by their way.",
                  {{"way", "other node"}});
  node_metrics.agent_failures = &AddCounter(
      registry, "camphormux_host_call_node_failures_total",
      "Times that a node failed which calls hosts for this holder.");
  node_metrics.takeovers =
      &AddCounter(registry, "camphormux_takeovers_total",
                  "Times that this node became the holder.");
  node_metrics.machine_orders =
      &AddCounter(registry, "camphormux_machine_orders_total",
                  "Moves and upkeeps ordered by this node.");
  node_metrics.presumed_ends =
      &AddCounter(registry, "camphormux_runs_presumed_ended_total",
                  "Runs treated as ended although no host reported their end.");
  node_metrics.unexpected_runs =
      &AddCounter(registry, "camphormux_unexpected_runs_total",
                  "Runs that a host listed although they were not expected.");
  node_metrics.missing_ends =
      &AddCounter(registry, "camphormux_missing_ends_total",
                  "Ends of runs that a host forgot before they were read.");
  node_metrics.foreign_clocks = &AddCounter(
      registry, "camphormux_foreign_clocks_total",
      "Answers to starts with another clock than that of the host's "
      "incarnation.");
  node_metrics.store_rejections =
      &AddCounter(registry, "camphormux_store_rejections_total",
                  "Changes whose records the store does not accept.");
  node_metrics.open_jobs = &AddGauge(registry, "camphormux_open_jobs",
                                     "Jobs that are not final, at the holder.");
  node_metrics.jobs_without_policy = &AddGauge(
      registry, "camphormux_jobs_without_policy",
      "Jobs at the holder that wait until their queue is configured again.");
  node_metrics.account_load =
      &prometheus::BuildGauge()
           .Name("camphormux_account_load")
           .Help(
               "What client accounts have, are entitled to and wait for, at "
               "the holder.")
           .Register(registry);
  node_metrics.holds_ownership = &AddGauge(
      registry, "camphormux_holder", "1 if this node is the holder, else 0.");
  node_metrics.submit_seconds = &AddLatencyHistogram(
      registry, "camphormux_submit_seconds",
      "From a submission's arrival at this node to its answer.");
  node_metrics.store_seconds = &AddLatencyHistogram(
      registry, "camphormux_run_store_seconds",
      "From the decision to start a run until the start is stored.");
  node_metrics.start_seconds =
      &AddLatencyHistogram(registry, "camphormux_run_start_seconds",
                           "From an order to start to its answer.");
  node_metrics.takeover_seconds =
      &AddLatencyHistogram(registry, "camphormux_takeover_seconds",
                           "From becoming the holder to the first decisions.");
  return node_metrics;
}

}  // namespace camphormux::coordinator
