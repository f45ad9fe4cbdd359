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

/// @brief Asks the platform about hosts and sends it calls; keeps what it
/// answered. Questions that fail are asked again at their next turn.
class Collector {
 public:
  /// @param port Access to the platform.
  /// @param zone Zone whose hosts are asked for.
  /// @param on_change Called when a call was answered or a report shows a
  /// change, so that a step may find something to do.
  Collector(PlatformPort port, core::ZoneName zone,
            std::function<void()> on_change);
  ~Collector();
  Collector(const Collector&) = delete;
  Collector& operator=(const Collector&) = delete;

  /// @brief Starts the questions that are due. A controller that must not
  /// decide asks nothing and forgets what it saw; when it may decide, it asks
  /// for the host list at once, so that a takeover waits for one answer more.
  /// @param state The shared state.
  /// @param decides Whether this process may decide for the zone.
  /// @param now The time.
  void Poll(const state::FleetState& state, bool decides,
            core::MonotonicTime now);

  /// @brief Sends calls; their answers appear in `seen().answers`.
  /// @param calls The calls.
  void Send(const std::vector<PlatformCall>& calls);

  /// @return Whether a call is on its way to the platform.
  [[nodiscard]] bool HasCallsInFlight() const { return pending_->calls > 0; }

  /// @return What was observed; the owner adds lease, log and gateways and
  /// removes answers that a step has taken.
  [[nodiscard]] Observations& observed() { return *observed_; }
  [[nodiscard]] const Observations& observed() const { return *observed_; }

 private:
  /// Questions without an answer; shared with callbacks that may outlive the
  /// collector.
  struct Pending {
    bool list = false;
    std::set<core::HostId> reports;
    std::size_t calls = 0;
    /// Hosts that took a call since their last report, which shows its effect.
    std::set<core::HostId> called_hosts;
    std::function<void()> on_change;  ///< Empty once the collector is gone.

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
  /// The list in `observed_`; shared with callbacks like it.
  std::shared_ptr<std::shared_ptr<const HostList>> latest_list_;
  core::MonotonicTime list_requested_at_;
  core::MonotonicTime stable_polled_at_;
  /// The zone's hosts by whether they are on their way, as of
  /// `classified_mark_`.
  std::vector<core::HostId> transitioning_;
  std::vector<core::HostId> stable_;
  std::optional<state::FleetMark>
      classified_mark_;  ///< None without the lease.
  std::map<core::HostId, core::MonotonicTime> report_requested_at_;
};

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_COLLECTOR_HPP_
