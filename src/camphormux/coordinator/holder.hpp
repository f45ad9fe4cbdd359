#ifndef CAMPHORMUX_COORDINATOR_HOLDER_HPP_
#define CAMPHORMUX_COORDINATOR_HOLDER_HPP_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "camphormux/coordinator/account_report.hpp"
#include "camphormux/coordinator/host_links.hpp"
#include "camphormux/coordinator/node_metrics.hpp"
#include "camphormux/coordinator/ports.hpp"
#include "camphormux/coordinator/run_latency.hpp"
#include "camphormux/coordinator/store_writer.hpp"
#include "camphormux/scheduler/jobs.hpp"
#include "camphormux/scheduler/state.hpp"

namespace camphormux::coordinator {

enum class SubmitOutcome {
  kAccepted,
  kRefused,  ///< The job does not run unless it is submitted again.
  kNoQueue,
  kUnavailable,  ///< Nothing was done; the caller may retry.
  kUnknown,      ///< The job may be stored; submitting it again is safe.
};

struct SubmitAnswer {
  SubmitOutcome outcome = SubmitOutcome::kUnavailable;
  /// When the caller may retry. 0 from a holder that is unavailable for a
  /// reason that may not last.
  core::Millis retry_after{0};
  /// Set if refused.
  scheduler::RefusalReason reason = scheduler::RefusalReason::kNone;
};

enum class QueryOutcome {
  kKnown,
  kNone,         ///< There is no such job or queue.
  kUnavailable,  ///< No node can answer now.
};

struct StateAnswer {
  QueryOutcome outcome = QueryOutcome::kUnavailable;
  workload::JobState state = workload::JobState::kQueued;
};

struct CountAnswer {
  QueryOutcome outcome = QueryOutcome::kUnavailable;
  std::uint64_t count = 0;
};

/// @brief Leader of the nodes: the holder of the ownership, which makes all
/// scheduling decisions while its fencing token is the newest. Fences its
/// predecessor, loads the stored jobs, reads from the hosts which runs they
/// have, and then schedules. Use it on the loop's thread only.
class Holder : public std::enable_shared_from_this<Holder> {
 public:
  /// @param loop Event loop; outlives the holder.
  /// @param settings Settings of the scheduler.
  /// @param ports Access to the platform.
  /// @param token Fencing token; higher than those of all previous holders.
  /// @param node_metrics Metrics; outlive the holder.
  /// @param authority Tells how long the holder may rely on its ownership.
  /// @param on_superseded Called once if a newer holder is active.
  Holder(asio::io_context& loop, const scheduler::Settings& settings,
         Ports ports, core::Epoch token, NodeMetrics& node_metrics,
         Authority authority, std::function<void()> on_superseded);

  void Start(workload::Catalog catalog);
  /// @brief Sends no more orders; answers pending requests with an unknown
  /// outcome.
  void Stop();

  void Submit(workload::JobSpec spec, std::function<void(SubmitAnswer)> done);
  /// @param id The job.
  /// @param caller On whose behalf; a job that it may not access is not known.
  /// @param done Called once the end of the job is stored, with whether the job
  /// is known; empty if that is not certain.
  void Cancel(const core::JobId& id, const workload::Caller& caller,
              std::function<void(std::optional<bool> known)> done);
  /// @return State of a job. That there is no such job that the caller may
  /// access is only said while no other node can have taken over, which would
  /// know of it.
  [[nodiscard]] StateAnswer StateOf(const core::JobId& id,
                                    const workload::Caller& caller) const;
  /// @return Number of jobs of a queue of which no task has started, if no
  /// other node can have taken over long ago.
  [[nodiscard]] CountAnswer Pending(const workload::QueueName& queue) const;

  void OnCatalog(workload::Catalog catalog);
  void OnWave(const scheduler::WaveRequest& wave);
  void OnHosts(const std::vector<scheduler::HostListing>& hosts,
               core::MonotonicTime trusted_from);
  void OnHeartbeats(const std::vector<scheduler::Heartbeat>& heartbeats);

  [[nodiscard]] bool is_ready() const { return loaded_; }
  [[nodiscard]] core::Epoch token() const { return token_; }
  [[nodiscard]] double reachable_share() const;

 private:
  void Fence();
  void Load();
  void OnLoaded(const std::vector<StoreRecord>& records);
  /// Applies the last list of hosts.
  void ApplyHosts();
  void LoadWave(const StoreRecord& record);
  void LoadMachineOrder(const StoreRecord& record);
  void LoadToken(const StoreRecord& record);
  void RaiseTokenIfNeeded();
  void OnTokenStored(core::Epoch token);
  void LoadJobs(const std::vector<StoreRecord>& records,
                core::MonotonicTime now, core::WallTime wall);
  void SchedulePlan();
  void Plan();
  void Tick();
  void LogLoads(core::MonotonicTime now);
  void StoreRunTimes(core::MonotonicTime now);
  void Dispatch();
  /// Sends an order that had to be stored first, unless storing it took too
  /// long.
  /// @return Whether the order was sent.
  bool SendStored(const StoredOrder& stored);
  void Send(const scheduler::MoveMachine& order);
  void Send(const scheduler::UpkeepMachine& order);
  void Send(const scheduler::SaveWave& order);
  void OnMachineAnswer(const scheduler::MachineId& machine,
                       const scheduler::WaveId* wave,
                       scheduler::MachineOutcome outcome);
  void RunAfter(core::Millis delay, std::function<void(Holder&)> action);
  void PollMachines(core::MonotonicTime now);
  void OnSubmitted(const core::JobId& id, SubmitOutcome outcome);
  void OnDropped(const core::JobId& id, SubmitOutcome outcome);
  void AnswerCancels();
  void StepDown(const std::string& reason);

  /// Planning passes since the last log line.
  struct PlanPasses {
    std::size_t count = 0;
    core::Millis total{0};
    core::Millis longest{0};
  };

  /// A cancellation whose effect is not stored yet.
  struct PendingCancel {
    workload::Caller caller;
    std::function<void(std::optional<bool> known)> done;
  };

  asio::io_context& loop_;
  asio::steady_timer plan_timer_;
  asio::steady_timer tick_timer_;
  asio::steady_timer load_timer_;
  Ports ports_;
  core::Epoch token_;
  NodeMetrics& node_metrics_;
  AccountReport account_report_;
  Authority authority_;
  std::function<void()> on_superseded_;
  scheduler::State state_;
  std::shared_ptr<StoreWriter> store_writer_;
  std::shared_ptr<HostLinks> links_;
  std::multimap<core::JobId, std::function<void(SubmitAnswer)>>
      pending_submits_;
  std::multimap<core::JobId, PendingCancel> pending_cancels_;
  std::vector<scheduler::WaveRequest> waves_before_load_;
  core::MonotonicTime takeover_start_;
  core::MonotonicTime next_plan_;
  core::MonotonicTime next_tick_;
  PlanPasses plan_passes_;
  RunLatency run_latency_;
  core::MonotonicTime last_machine_poll_;
  core::MonotonicTime last_load_report_;
  std::uint64_t reported_rejections_ = 0;
  core::MonotonicTime last_run_times_;  ///< When run times were last stored.
  std::uint64_t stored_run_times_ = 0;  ///< Runs learned from until then.
  bool polling_machines_ = false;
  bool plan_scheduled_ = false;
  bool storing_token_ = false;
  bool hosts_known_ = false;
  /// The last list of hosts, and until when missing entries are not trusted.
  std::vector<scheduler::HostListing> hosts_;
  core::MonotonicTime hosts_trusted_from_;
  bool loaded_ = false;
  bool stopped_ = false;
};

}  // namespace camphormux::coordinator

#endif  // CAMPHORMUX_COORDINATOR_HOLDER_HPP_
