#ifndef CAMPHORMUX_COORDINATOR_HOST_LINKS_HPP_
#define CAMPHORMUX_COORDINATOR_HOST_LINKS_HPP_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>

#include <asio/io_context.hpp>

#include "camphormux/coordinator/authority.hpp"
#include "camphormux/coordinator/host_clock.hpp"
#include "camphormux/coordinator/node_metrics.hpp"
#include "camphormux/coordinator/ports.hpp"
#include "camphormux/coordinator/run_latency.hpp"
#include "camphormux/coordinator/store_writer.hpp"
#include "camphormux/scheduler/state.hpp"

namespace camphormux::coordinator {

/// @brief Calls all hosts: renews their leases, reads their lists of runs and
/// sends orders, with a limited number of calls in flight to each host.
class HostLinks : public std::enable_shared_from_this<HostLinks> {
 public:
  struct Listener {
    /// The state changed in a way that may allow new decisions.
    std::function<void()> on_change;
    /// A host refused the token: it obeys a newer holder.
    std::function<void(const core::HostId&)> on_fenced;
  };

  /// @param port Calls to hosts.
  /// @param state The holder's state; outlives this object.
  /// @param node_metrics Metrics; outlive this object.
  /// @param run_latency Latencies of the stages of runs; outlives this object.
  /// @param authority Bounds the leases that are granted.
  /// @param listener Receives the results.
  HostLinks(HostPort port, scheduler::State& state, NodeMetrics& node_metrics,
            RunLatency& run_latency, Authority authority, Listener listener);

  /// @brief Sends the renewals that are due. A renewal that becomes due because
  /// of an event is sent when the event is handled.
  void RenewAllDue(core::MonotonicTime now);
  /// @brief Asks the hosts for their reports that have not reported yet.
  void RenewUnsynced(core::MonotonicTime now);
  /// @brief Queues an order for a host.
  void Send(const scheduler::StartRun& order);
  void Send(const scheduler::RepeatStart& order);
  void Send(const scheduler::StopRun& order);
  void Send(const scheduler::PaceRun& order);
  /// @brief Allows run ends of a host's incarnation up to this number to be
  /// acknowledged. Has no effect if the host has another incarnation by now.
  void Acknowledge(const core::HostId& host, StoredEnd end);
  void Close();

  /// @return Share of the listed hosts that reported recently.
  [[nodiscard]] double reachable_share(core::MonotonicTime now) const;

 private:
  /// A queued call to a host; `done` must be called when the call has ended.
  using Order = std::function<void(std::function<void()> done)>;

  struct Link {
    core::Incarnation incarnation;
    bool renewing = false;
    core::MonotonicTime sent;
    core::MonotonicTime retry_not_before;
    std::optional<ClockReading> clock;  ///< Of this incarnation.
    scheduler::EndNumber stored;        ///< Highest end that is stored.
    scheduler::EndNumber acknowledged;  ///< Highest end known as acknowledged.
    /// Calls without an answer may be carried out until then.
    core::MonotonicTime doubtful_until;
    /// The renewal in flight acknowledges ends to a host that is in doubt.
    bool holds_starts = false;
    std::uint32_t failures = 0;
    /// End of the lease of the last renewal that the host has answered.
    core::MonotonicTime renewed_until;
    std::deque<Order> queue;
    std::size_t calls_in_flight = 0;
  };

  [[nodiscard]] Link& LinkOf(const scheduler::Host& host);
  [[nodiscard]] HostTarget TargetOf(const scheduler::Host& host) const;
  /// @param longest Longest lease to grant.
  /// @return Latest lease end that may be granted now, on the host's clock;
  /// empty if none may be granted or the host's clock is not known.
  /// Also records in the state until when the host may run.
  [[nodiscard]] std::optional<std::int64_t> GrantLease(scheduler::Host& host,
                                                       const Link& link,
                                                       core::Millis longest,
                                                       core::MonotonicTime now);
  /// @return What an answer to a start says of the incarnation for which the
  /// start was meant.
  [[nodiscard]] scheduler::StartOutcome OutcomeOf(const StartAnswer& answer,
                                                  const HostTarget& target,
                                                  core::MonotonicTime asked,
                                                  core::MonotonicTime now);
  /// @return Whether stored ends may be acknowledged now. If a host holds up
  /// calls, a start may take effect on its next incarnation, and an
  /// acknowledgement that follows it there would make the host forget the end
  /// of that run. An unresponsive host gets none, as each one without an answer
  /// costs a token.
  [[nodiscard]] bool may_acknowledge(const scheduler::Host& host,
                                     const Link& link) const;
  /// @return Whether a report would allow an acknowledgement that waits.
  [[nodiscard]] bool is_report_due(const scheduler::Host& host,
                                   const Link& link,
                                   core::MonotonicTime now) const;
  /// @return Whether calls other than starts may be sent to a host.
  [[nodiscard]] static bool may_call(const scheduler::Host& host);
  /// @return Whether a host refused a call because it has seen a later one of
  /// this holder.
  [[nodiscard]] bool is_superseded(const HostTarget& target) const;
  void RenewIfDue(scheduler::Host& host, core::MonotonicTime now);
  void Renew(scheduler::Host& host, Link& link, core::MonotonicTime now);
  /// @param lease Lease that the renewal granted; 0 if it granted none.
  void OnRenewed(const RenewCall& call, core::MonotonicTime asked,
                 core::Millis lease, const RenewAnswer& answer);
  /// Sends a start and handles its answer; `done` is called afterwards.
  /// @return Whether it was sent; `done` is not called otherwise.
  bool CallStart(const scheduler::StartRun& order, std::function<void()> done);
  void OnAddressTaken(scheduler::Host& host, core::MonotonicTime now);
  void Enqueue(const core::HostId& host, Order order);
  void SendQueued(const core::HostId& host);
  /// Records a reading of a host's clock, unless the host has another
  /// incarnation than the call that returned the reading.
  void RecordClock(const core::HostId& host, core::Incarnation incarnation,
                   std::int64_t clock_ms);

  HostPort port_;
  scheduler::State& state_;
  NodeMetrics& node_metrics_;
  RunLatency& run_latency_;
  Authority authority_;
  Listener listener_;
  std::unordered_map<core::HostId, Link> links_;
  core::MonotonicTime next_renewal_check_;
  bool closed_ = false;
};

}  // namespace camphormux::coordinator

#endif  // CAMPHORMUX_COORDINATOR_HOST_LINKS_HPP_
