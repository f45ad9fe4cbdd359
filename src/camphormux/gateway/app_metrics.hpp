#ifndef CAMPHORMUX_GATEWAY_APP_METRICS_HPP_
#define CAMPHORMUX_GATEWAY_APP_METRICS_HPP_

#include <array>

#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include "camphormux/idempotency/claims.hpp"
#include "camphormux/membership/view.hpp"
#include "camphormux/state/follower.hpp"

namespace camphormux::gateway {

/// @brief Metrics of the components on the control thread; updated once per
/// report period.
class AppMetrics {
 public:
  explicit AppMetrics(prometheus::Registry& registry);

  void Set(const state::Follower& follower);
  void Set(const idempotency::Claims& claims);
  void Set(const membership::View& view);

 private:
  prometheus::Gauge& offset_;
  prometheus::Gauge& at_end_;
  prometheus::Gauge& skipped_;
  prometheus::Gauge& searches_;
  prometheus::Gauge& claims_waiting_;
  prometheus::Gauge& claims_running_;
  prometheus::Gauge& keys_held_;
  prometheus::Gauge& key_offset_;
  prometheus::Gauge& key_records_malformed_;
  /// Indexed by membership::Health.
  std::array<prometheus::Gauge*, 3> members_;
};

}  // namespace camphormux::gateway

#endif  // CAMPHORMUX_GATEWAY_APP_METRICS_HPP_
