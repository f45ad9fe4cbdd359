#ifndef CAMPHORMUX_TEST_DISPATCH_FAKE_ZONE_HPP_
#define CAMPHORMUX_TEST_DISPATCH_FAKE_ZONE_HPP_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "camphormux/dispatch/driver.hpp"

namespace camphormux::dispatch {

inline const core::ZoneName kZone{"a"};

/// A task on a fake worker.
struct FakeTask {
  placement::TaskRef task;
  placement::Resources limits;
  RunState state = RunState::kRunning;
  core::MonotonicTime lease_end;
};

/// Workers of a zone, the platform in front of them, and the jobs stream.
struct FakeZone {
  FakeZone();

  state::FleetState state;
  jobs::Fold fold;
  std::vector<core::JobId> changes;  ///< All, in order.
  core::MonotonicTime now{core::Millis{1000000}};
  core::Epoch fence;  ///< Highest epoch that the platform saw.
  std::map<core::HostId, std::map<std::uint64_t, FakeTask>> tasks;
  std::set<std::uint64_t> deleted;
  std::map<std::string, int> starts;  ///< Runs that began, by job.
  int answers_to_lose = 0;            ///< So many next answers are lost.
  std::size_t calls = 0;

  void AddHost(const std::string& id, const std::string& pool,
               const core::ZoneName& zone = kZone);
  void Append(const std::vector<jobs::Record>& records);
  void Submit(const std::string& id, bool repeatable, bool preemptible);

  /// Carries out a call.
  TaskAnswer HandleCall(const TaskCall& call);
  [[nodiscard]] HostTasks ListTasks(const core::HostId& host) const;

  /// Ends a job's run.
  void Finish(const std::string& job);
  [[nodiscard]] const FakeTask* TaskOf(const std::string& job) const;
  [[nodiscard]] const jobs::JobEntry& JobEntryOf(const std::string& job) const;

 private:
  std::uint64_t next_offset_ = 0;
};

/// A controller of the zone.
struct FakeHolder {
  core::Epoch epoch;
  Driver driver{};
  std::vector<TaskAnswer> answers{};
  std::vector<HostTasks> reports{};
  bool holds_lease = true;
  bool receives_usage = true;
  core::ZoneName zone = kZone;
  std::vector<core::ZoneName> cut_off{};
  std::ptrdiff_t changes_seen = 0;
};

/// Decides; what it wants is not carried out yet.
DriverOutput Decide(FakeZone& zone, FakeHolder& holder);

/// Carries out what a holder decided.
void Execute(FakeZone& zone, FakeHolder& holder, const DriverOutput& output);

/// Steps a holder for some time, every 200 ms.
void RunSteps(FakeZone& zone, FakeHolder& holder, core::Millis time);

}  // namespace camphormux::dispatch

#endif  // CAMPHORMUX_TEST_DISPATCH_FAKE_ZONE_HPP_
