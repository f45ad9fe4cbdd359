#ifndef TEST_COORDINATOR_RESTARTABLE_HOSTS_HPP_
#define TEST_COORDINATOR_RESTARTABLE_HOSTS_HPP_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <asio/io_context.hpp>

#include "camphormux/coordinator/ports.hpp"

namespace camphormux::coordinator {

/// Fake hosts that restart under their ids. A call names the id and not the
/// incarnation, so that the next incarnation carries out calls that were held
/// up. Hosts keep the highest fencing token, run tasks under a lease on a slow
/// clock of their own, and forget acknowledged ends.
class RestartableHosts {
 public:
  /// One execution of a run.
  struct Execution {
    scheduler::RunName name;
    core::HostId host;
    core::Incarnation incarnation;
    core::MonotonicTime start;
    std::optional<core::MonotonicTime> end;
    bool done = false;
    bool acknowledged = false;
  };

  /// @param loop Event loop; outlives the hosts.
  /// @param run_time Duration of all runs.
  RestartableHosts(asio::io_context& loop, core::Millis run_time)
      : loop_(loop), run_time_(run_time) {}

  void Add(const core::HostId& id);
  /// @brief Starts the next incarnation of a host, which knows nothing of the
  /// previous one.
  void Restart(const core::HostId& id);
  /// @brief Cuts a host off: it gets no calls, and its answers are lost.
  void SetCutOff(const core::HostId& id, bool cut_off);
  /// @brief Selects the calls that are held up on their way and get no answer.
  void HoldCalls(std::function<bool(const RenewCall&)> renewals, bool starts);
  /// @brief Carries out the renewals, or the starts, that were held up.
  void DeliverHeldRenewals();
  void DeliverHeldStarts();

  [[nodiscard]] HostPort MakePort();
  [[nodiscard]] std::vector<scheduler::HostListing> Listings() const;
  /// @return What the host's present incarnation would write to the list.
  [[nodiscard]] scheduler::Heartbeat HeartbeatOf(const core::HostId& id) const;
  [[nodiscard]] std::size_t held_renewals() const {
    return held_renewals_.size();
  }
  [[nodiscard]] std::size_t held_starts() const { return held_starts_.size(); }
  [[nodiscard]] const std::vector<Execution>& executions() const {
    return executions_;
  }
  [[nodiscard]] std::vector<Execution> ExecutionsOf(
      const core::JobId& job) const;
  /// @return Whether two executions of a task overlap.
  [[nodiscard]] bool HasOverlap() const;
  /// @return Whether a task was started again after an execution of it had
  /// ended as done and that end had been acknowledged.
  [[nodiscard]] bool HasStartAfterAcknowledgedEnd() const;

 private:
  struct FakeHost {
    core::Incarnation incarnation{1};
    core::Epoch highest_token;
    std::int64_t clock_offset = 0;
    core::MonotonicTime lease_end;
    /// Runs and their positions in `executions_`.
    std::map<std::string, std::size_t> running;
    std::vector<std::pair<scheduler::ReportedEnd, std::size_t>> ended;
    std::uint64_t last_end = 0;
    /// Highest attempt of each task that has ended here.
    std::map<std::string, std::uint32_t> ended_attempts;
    std::function<void()> waiting;  ///< Answers a renewal that waits.
    bool is_cut_off = false;
  };

  void RunAfter(core::Millis delay, std::function<void()> action);
  [[nodiscard]] std::int64_t ClockOf(const FakeHost& host) const;
  /// @return Whether the host carries out a call with this token.
  static bool AcceptToken(FakeHost& host, core::Epoch token);
  void ExtendLease(FakeHost& host, std::int64_t deadline_ms);
  void CheckLease(const core::HostId& id);
  void End(const core::HostId& id, const std::string& key,
           scheduler::EndKind kind);
  [[nodiscard]] RenewAnswer Report(const FakeHost& host) const;
  StartAnswer Start(const StartCall& call);
  RenewAnswer Renew(const RenewCall& call);
  CallOutcome Stop(const HostTarget& target, const scheduler::RunName& name);
  /// Calls back after the way back from the host, unless the host restarts, is
  /// cut off or holds the answer; then there is no answer.
  template <typename Answer>
  void Respond(const core::HostId& id, core::Incarnation incarnation,
               const std::function<void(Answer)>& done,
               std::function<Answer()> answer);

  asio::io_context& loop_;
  core::Millis run_time_;
  std::map<core::HostId, FakeHost> hosts_;
  std::vector<Execution> executions_;
  std::function<bool(const RenewCall&)> hold_renewals_;
  bool hold_starts_ = false;
  std::vector<RenewCall> held_renewals_;
  std::vector<StartCall> held_starts_;
};

}  // namespace camphormux::coordinator

#endif  // TEST_COORDINATOR_RESTARTABLE_HOSTS_HPP_
