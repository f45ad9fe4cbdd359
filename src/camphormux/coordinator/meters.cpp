#include "camphormux/coordinator/meters.hpp"

#include "camphormux/telemetry/metrics.hpp"

namespace camphormux::coordinator {

Meters MakeMeters(prometheus::Registry& registry) {
  using telemetry::AddCounter;
  using telemetry::AddGauge;
  using telemetry::AddLatencyHistogram;
  Meters meters;
  meters.accepted = &AddCounter(registry, "camphormux_jobs_accepted_total",
                                "Jobs that this node told callers are stored.");
  meters.refused =
      &AddCounter(registry, "camphormux_jobs_refused_total",
                  "Jobs refused because their queue is too far behind.");
  meters.unavailable =
      &AddCounter(registry, "camphormux_requests_unavailable_total",
                  "Requests refused because no node could decide about them.");
  meters.unanswered =
      &AddCounter(registry, "camphormux_requests_unanswered_total",
                  "Submissions whose fate was not known at their deadline.");
  meters.renewals = &AddCounter(registry, "camphormux_host_renewals_total",
                                "Renewals of leases and questions to hosts.");
  meters.host_calls_direct =
      &AddCounter(registry, "camphormux_host_calls_total",
                  "Calls to hosts by this node as the holder, by their way.",
                  {{"way", "direct"}});
  meters.host_calls_shared =
      &AddCounter(registry, "camphormux_host_calls_total",
                  "Calls to hosts by this node as the holder, by their way.",
                  {{"way", "other node"}});
  meters.agent_failures = &AddCounter(
      registry, "camphormux_host_call_node_failures_total",
      "Times that a node failed which calls hosts for this holder.");
  meters.takeovers = &AddCounter(registry, "camphormux_takeovers_total",
                                 "Times that this node became the holder.");
  meters.machine_orders =
      &AddCounter(registry, "camphormux_machine_orders_total",
                  "Moves and upkeeps ordered by this node.");
  meters.open_jobs = &AddGauge(registry, "camphormux_open_jobs",
                               "Jobs that are not final, at the holder.");
  meters.holds_ownership = &AddGauge(registry, "camphormux_holder",
                                     "1 if this node is the holder, else 0.");
  meters.submit_seconds = &AddLatencyHistogram(
      registry, "camphormux_submit_seconds",
      "From a submission's arrival at this node to its answer.");
  meters.store_seconds = &AddLatencyHistogram(
      registry, "camphormux_run_store_seconds",
      "From the decision to start a run until the start is stored.");
  meters.start_seconds =
      &AddLatencyHistogram(registry, "camphormux_run_start_seconds",
                           "From an order to start to its answer.");
  meters.takeover_seconds =
      &AddLatencyHistogram(registry, "camphormux_takeover_seconds",
                           "From becoming the holder to the first decisions.");
  return meters;
}

}  // namespace camphormux::coordinator
