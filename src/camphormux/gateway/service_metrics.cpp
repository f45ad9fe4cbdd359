#include "camphormux/gateway/service_metrics.hpp"

#include <string>
#include <utility>

#include "camphormux/telemetry/metrics.hpp"

namespace camphormux::gateway {
namespace internal {

ServiceMetrics Register(prometheus::Registry& registry,
                        const std::string& service) {
  const prometheus::Labels labels{{"service", service}};
  const auto counter = [&](const std::string& name, const std::string& help) {
    return &telemetry::AddCounter(
        registry, "camphormux_gateway_" + name + "_total", help, labels);
  };
  const auto gauge = [&](const std::string& name, const std::string& help) {
    return &telemetry::AddGauge(registry, "camphormux_gateway_" + name, help,
                                labels);
  };
  const auto histogram = [&](const std::string& name, const std::string& help) {
    return &telemetry::AddLatencyHistogram(
        registry, "camphormux_gateway_" + name + "_seconds", help, labels);
  };
  return {
      counter("requests", "Requests that arrived."),
      counter("answered", "Requests with outcome answered."),
      counter("not_run", "Requests with outcome not-run."),
      counter("unknown", "Requests with outcome unknown."),
      counter("shed", "Requests that the queue did not admit or keep."),
      counter("attempts", "Requests sent to endpoints, retries included."),
      counter("retries", "Attempts after the first one."),
      counter("refused", "Attempts that an endpoint refused to run."),
      counter("dropped_answers",
              "Late, truncated or foreign answers that were not passed on."),
      counter("truncated_streams",
              "Answers that were cut after their head was passed on."),
      gauge("queued_requests", "Requests that wait for an endpoint."),
      gauge("running_requests", "Requests at an endpoint."),
      histogram("request", "From arrival to the end of the response."),
      histogram("queue_wait", "From admission to the start of an attempt."),
  };
}

}  // namespace internal

MetricsStore::MetricsStore(std::shared_ptr<prometheus::Registry> registry)
    : registry_(std::move(registry)) {}

ServiceMetrics& MetricsStore::ForService(const core::ServiceName& service) {
  const std::lock_guard lock(mutex_);
  const auto found = services_.find(service);
  if (found != services_.end()) {
    return found->second;
  }
  return services_
      .emplace(service, internal::Register(*registry_, service.value))
      .first->second;
}

std::map<core::ServiceName, ServiceMetrics> MetricsStore::All() const {
  const std::lock_guard lock(mutex_);
  return services_;
}

}  // namespace camphormux::gateway
