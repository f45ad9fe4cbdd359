#ifndef CAMPHORMUX_CONTROLLER_COLLECTOR_HPP_
#define CAMPHORMUX_CONTROLLER_COLLECTOR_HPP_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "camphormux/controller/observation.hpp"
#include "camphormux/controller/platform_client.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/state/fleet_state.hpp"

namespace camphormux::controller {

/// @brief Polls the platform for the host list and host reports, sends it
/// calls, and keeps the latest answers. A failed request is repeated when it is
/// next due.
class Collector {
 public:
  /// @param port Access to the platform.
  /// @param zone Zone whose hosts are polled.
  /// @param on_change Called when a call was answered or a report has changed,
  /// so that a control step can run at once.
  Collector(PlatformPort port, core::ZoneName zone,
            std::function<void()> on_change);
  ~Collector();
  Collector(const Collector&) = delete;
  Collector& operator=(const Collector&) = delete;

  /// @brief Sends the requests that are due. A controller without the lease
  /// sends none and drops its observations. When it gains the lease, it
  /// requests the host list at once, so that a takeover waits for only one more
  /// answer.
  /// @param state The shared state.
  /// @param decides Whether this process may make decisions for the zone.
  /// @param now The time.
  void Poll(const state::FleetState& state, bool decides,
            core::MonotonicTime now);

  /// @brief Sends calls to the platform. Their answers are added to
  /// `observed().answers`.
  /// @param calls The calls.
  void Send(const std::vector<PlatformCall>& calls);

  /// @return Whether a call to the platform is unanswered.
  [[nodiscard]] bool HasCallsInFlight() const { return pending_->calls > 0; }

  /// @return The observations. The owner sets lease, log time and gateways, and
  /// removes the answers that a step has processed.
  [[nodiscard]] Observations& observed() { return *observed_; }
  [[nodiscard]] const Observations& observed() const { return *observed_; }

 private:
  /// Unanswered requests. Shared with callbacks that may outlive the collector.
  struct Pending {
    bool list = false;
    std::set<core::HostId> reports;
    std::size_t calls = 0;
    /// Hosts whose call was answered after their last report; the next report
    /// shows the effect of the call.
    std::set<core::HostId> called_hosts;
    /// Empty after the collector is destroyed.
    std::function<void()> on_change;

    void NotifyChange() const {
      if (on_change) {
        on_change();
      }
    }
  };

  void Reset();
  void ClassifyHosts(const state::FleetState& state);
  void RequestList(core::MonotonicTime now);
  void RequestDueReports(const state::FleetState& state,
                         const std::vector<core::HostId>& hosts,
                         core::MonotonicTime now);
  void RequestReport(const core::HostId& host, core::MonotonicTime now);

  PlatformPort port_;
  core::ZoneName zone_;
  std::shared_ptr<Observations> observed_;
  std::shared_ptr<Pending> pending_;
  /// Host list that `observed_` was filled from. Shared with callbacks that may
  /// outlive the collector.
  std::shared_ptr<std::shared_ptr<const HostList>> latest_list_;
  core::MonotonicTime list_requested_at_;
  core::MonotonicTime stable_polled_at_;
  /// Hosts of the zone in a transitional or stable phase, as of
  /// `classified_mark_`.
  std::vector<core::HostId> transitioning_;
  std::vector<core::HostId> stable_;
  /// None without the lease.
  std::optional<state::FleetMark> classified_mark_;
  std::map<core::HostId, core::MonotonicTime> report_requested_at_;
};

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_COLLECTOR_HPP_
