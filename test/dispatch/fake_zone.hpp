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

/// Fake of a zone's workers, the platform that manages them and the jobs
/// stream.
struct FakeZone {
  FakeZone();

  state::FleetState state;
  jobs::Fold fold;
  std::vector<core::JobId> changes;  ///< Changed jobs, in order of the log.
  core::MonotonicTime now{core::Millis{1000000}};
  core::Epoch fence;  ///< Highest epoch in a call to the platform.
  std::map<core::HostId, std::map<std::uint64_t, FakeTask>> tasks;
  std::set<std::uint64_t> deleted;
  std::map<std::string, int> starts;  ///< Tasks started, by job.
  int answers_to_lose = 0;            ///< Number of next answers that are lost.
  std::size_t calls = 0;

  void AddHost(const std::string& id, const std::string& pool,
               const core::ZoneName& zone = kZone);
  void Append(const std::vector<jobs::Record>& records);
  void Submit(const std::string& id, bool repeatable, bool preemptible);

  /// Carries out a call as the platform does and returns its answer.
  TaskAnswer HandleCall(const TaskCall& call);
  [[nodiscard]] HostTasks ListTasks(const core::HostId& host) const;

  /// Marks the job's tasks as done.
  void Finish(const std::string& job);
  [[nodiscard]] const FakeTask* TaskOf(const std::string& job) const;
  [[nodiscard]] const jobs::JobEntry& JobEntryOf(const std::string& job) const;

 private:
  std::uint64_t next_offset_ = 0;
};

/// A controller that may hold the zone's lease.
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

/// Steps a holder's driver without carrying out the output.
DriverOutput Decide(FakeZone& zone, FakeHolder& holder);

/// Carries out the output of a holder's step.
void Execute(FakeZone& zone, FakeHolder& holder, const DriverOutput& output);

/// Steps a holder every 200 ms for a given time and carries out the output.
void RunSteps(FakeZone& zone, FakeHolder& holder, core::Millis time);

}  // namespace camphormux::dispatch

#endif  // CAMPHORMUX_TEST_DISPATCH_FAKE_ZONE_HPP_
