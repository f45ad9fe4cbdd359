#include "camphormux/gateway/app_metrics.hpp"

#include <cstddef>
#include <string>

#include "camphormux/telemetry/metrics.hpp"

namespace camphormux::gateway {
namespace internal {

prometheus::Gauge& Gauge(prometheus::Registry& registry,
                         const std::string& name, const std::string& help,
                         const prometheus::Labels& labels = {}) {
  return telemetry::AddGauge(registry, "camphormux_" + name, help, labels);
}

prometheus::Gauge* Members(prometheus::Registry& registry,
                           const std::string& health) {
  return &Gauge(registry, "membership_members",
                "Other processes by what this one believes of them.",
                {{"state", health}});
}

}  // namespace internal

AppMetrics::AppMetrics(prometheus::Registry& registry)
    : offset_(internal::Gauge(registry, "state_offset",
                              "First offset of the state stream that is not "
                              "applied.")),
      at_end_(internal::Gauge(registry, "state_at_end",
                              "1 if the state is that of the log's end.")),
      skipped_(internal::Gauge(registry, "state_skipped_records",
                               "Records of the state stream that were skipped "
                               "as malformed or in conflict.")),
      searches_(internal::Gauge(registry, "state_snapshot_searches",
                                "Searches for a snapshot after records were "
                                "lost.")),
      claims_waiting_(internal::Gauge(registry, "keys_claims_waiting",
                                      "Claims of keys without a decision.")),
      claims_running_(internal::Gauge(registry, "keys_claims_running",
                                      "Claimed keys whose request runs.")),
      keys_held_(internal::Gauge(registry, "keys_held",
                                 "Keys that are held, of all gateways.")),
      key_offset_(internal::Gauge(registry, "keys_offset",
                                  "First offset of the keys stream that was "
                                  "not read.")),
      key_records_malformed_(
          internal::Gauge(registry, "keys_malformed_records",
                          "Records of the keys stream that were skipped.")),
      members_{internal::Members(registry, "alive"),
               internal::Members(registry, "suspect"),
               internal::Members(registry, "dead")} {}

void AppMetrics::Set(const state::Follower& follower) {
  offset_.Set(static_cast<double>(follower.state.next.value));
  at_end_.Set(follower.at_end ? 1.0 : 0.0);
  skipped_.Set(static_cast<double>(follower.state.skipped_records));
  searches_.Set(static_cast<double>(follower.searches));
}

void AppMetrics::Set(const idempotency::Claims& claims) {
  claims_waiting_.Set(static_cast<double>(claims.waiting.size()));
  claims_running_.Set(static_cast<double>(claims.running.size()));
  keys_held_.Set(static_cast<double>(claims.fold.held.size()));
  key_offset_.Set(static_cast<double>(claims.fold.next.value));
  key_records_malformed_.Set(
      static_cast<double>(claims.fold.malformed_records));
}

void AppMetrics::Set(const membership::View& view) {
  std::array<std::size_t, 3> counts{};
  for (const auto& [id, member] : view.members) {
    ++counts.at(static_cast<std::size_t>(member.health));
  }
  for (std::size_t i = 0; i < counts.size(); ++i) {
    members_.at(i)->Set(static_cast<double>(counts.at(i)));
  }
}

}  // namespace camphormux::gateway
