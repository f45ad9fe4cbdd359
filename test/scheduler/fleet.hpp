#ifndef TEST_SCHEDULER_FLEET_HPP_
#define TEST_SCHEDULER_FLEET_HPP_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "camphormux/scheduler/jobs.hpp"
#include "camphormux/scheduler/state.hpp"

namespace camphormux::scheduler {

/// A scheduler and simulated hosts in simulated time. Orders are executed
/// immediately; a run takes as long as its task's estimate or `run_time`.
struct Fleet {
  struct Running {
    RunName name;
    core::HostId host;
    core::MonotonicTime end;
    EndKind kind = EndKind::kDone;
  };

  State state;
  core::MonotonicTime now{core::Millis(1'000'000)};
  core::WallTime wall{core::Millis(1'700'000'000'000)};
  std::vector<Running> running;
  std::map<core::HostId, std::vector<ReportedEnd>> ends;
  std::vector<Order> sent;  ///< All orders so far.
  std::vector<HostListing> listings;
  std::vector<MachineListing> machines;
  /// When moved machines are up again.
  std::map<MachineId, core::MonotonicTime> returns_at;
  std::set<core::HostId> unresponsive;
  bool send_starts = true;
  bool execute_starts = true;  ///< Otherwise, starts are sent without effect.
  bool execute_machine_orders = true;
  /// Machines return from upkeep with their next host after this time; 0:
  /// never.
  core::Millis upkeep_duration{0};
  core::Millis run_time{0};  ///< Zero: runs take their estimate.

  Fleet();
  void AddQueue(const std::string& name, const std::string& pool,
                double stretch = 2.0);
  void AddHosts(const std::string& pool, int count, std::int64_t cores = 64,
                const std::string& rack = "r1");
  void AddStandbyPool(const std::string& pool);
  void Publish();
  /// Submits a job and confirms that it is stored.
  AdmissionResult Submit(const workload::JobSpec& spec);
  /// Lets the hosts report, runs a planning pass and executes its orders.
  void Step();
  /// Advances the time in steps of 10 ms.
  void Advance(core::Millis span);
  void Report(const core::HostId& host);
  [[nodiscard]] std::size_t CountStarts(const std::string& job) const;

 private:
  void Execute(const Order& order);
  /// Ends the host of a machine; the next one follows at a time.
  void TakeDown(MachineListing& machine, core::MonotonicTime until);
  void EndRunsAndMoves();
};

workload::JobSpec MakeJob(std::uint64_t number, const std::string& queue,
                          std::uint32_t tasks, std::int64_t cores,
                          core::Millis estimate);

}  // namespace camphormux::scheduler

#endif  // TEST_SCHEDULER_FLEET_HPP_
