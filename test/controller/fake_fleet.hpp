#ifndef CAMPHORMUX_TEST_CONTROLLER_FAKE_FLEET_HPP_
#define CAMPHORMUX_TEST_CONTROLLER_FAKE_FLEET_HPP_

#include <map>
#include <string>
#include <vector>

#include "camphormux/controller/step.hpp"

namespace camphormux::controller {

inline const core::ZoneName kZone{"a"};

/// @brief A log in memory.
struct FakeLog {
  std::vector<std::string> records;

  void Append(const std::vector<state::Record>& batch);
  /// Applies up to `limit` more records to a reader's state.
  void Read(state::FleetState& state, std::size_t limit) const;
};

/// @brief A host as the platform knows it.
struct FakeHost {
  core::PoolName pool;
  core::Generation generation;
  bool draining = false;
  int active = 0;
  int boots = 0;
  std::string last_maintenance;
  bool listed = true;
};

/// @brief The platform's hosts of one zone.
struct FakePlatform {
  std::map<core::HostId, FakeHost> hosts;
  core::Epoch epoch;
  int reboots = 0;

  /// Applies a call as the platform's contract specifies.
  CallOutcome Handle(const PlatformCall& call);
  void Observe(Observations& observed, core::MonotonicTime now) const;
};

/// @brief A controller without I/O. Reading, deciding and sending are separate,
/// so that a test can pause between them.
struct FakeController {
  core::ProcessId id;
  state::FleetState state;
  Observations observed;
  StepMemory memory;

  /// Claims the lease with the epoch after the last one it knows.
  void Claim(FakeLog& log);
  /// Takes the lease from its own state, however old that is.
  void UseLeaseFromState();
  StepResult Decide(core::MonotonicTime now);
};

/// @brief A platform with `count` hosts "h0", "h1", ... in one zone.
FakePlatform MakePlatform(int count);

/// @brief The first operator text, with services web and spare.
/// @param min_hosts Minimum number of hosts of service web.
std::string MakeOperatorText(int min_hosts);

/// @brief Makes the record that publishes an operator text.
state::Publish MakePublish(const std::string& id, core::Revision base,
                           const std::string& source);

/// @brief Runs one step: reads the log, observes the platform, decides, appends
/// and sends, without any loss.
void RunStep(FakeController& controller, FakeLog& log, FakePlatform& platform,
             core::MonotonicTime now);

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_TEST_CONTROLLER_FAKE_FLEET_HPP_
