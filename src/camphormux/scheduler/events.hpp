#ifndef CAMPHORMUX_SCHEDULER_EVENTS_HPP_
#define CAMPHORMUX_SCHEDULER_EVENTS_HPP_

#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/core/units.hpp"
#include "camphormux/placement/resources.hpp"
#include "camphormux/workload/model.hpp"

namespace camphormux::scheduler {

using RunId = core::Ordinal<struct RunTag>;
using MachineId = core::Name<struct MachineTag>;
using WaveId = core::Ordinal<struct WaveTag>;
/// Number of an end in a host's list; starts at 1 in each life of the host.
using EndNumber = core::Ordinal<struct EndNumberTag>;

/// @brief Names a start of a task.
struct RunName {
  core::JobId job;
  workload::TaskPlace place;
  std::uint32_t attempt = 0;

  friend bool operator==(const RunName&, const RunName&) = default;
};

/// @brief A host as the list of live hosts shows it.
struct HostListing {
  core::HostId id;
  core::Incarnation incarnation;  ///< Start of this life.
  core::Address address;
  core::PoolName pool;
  core::ZoneName zone;
  std::set<std::string> labels;
  core::RackName rack;
  placement::Resources capacity;
  bool draining = false;

  friend bool operator==(const HostListing&, const HostListing&) = default;
};

enum class MachineState { kUp, kMoving, kUpkeep, kDown };

/// @brief A physical machine as the cloud's list shows it.
struct MachineListing {
  MachineId id;
  core::PoolName pool;
  MachineState state = MachineState::kUp;
  core::HostId host;  ///< Its present life; may be empty.
  placement::Resources capacity;
};

/// @brief A request of the operators to have machines maintained.
struct WaveRequest {
  WaveId id;
  std::vector<MachineId> machines;
  core::Millis deadline{0};  ///< Since the request was published.
  std::uint32_t max_down = 1;
};

enum class EndKind { kDone, kFailed, kStopped, kLeaseExpired, kBroken, kAlone };

/// @brief A run that a host lists as present.
struct ReportedRun {
  RunName name;
  std::string checkpoint;
  int percent = 0;        ///< Progress; of a permanent task 100 if at work.
  std::int64_t load = 0;  ///< Tail latency in ms if it serves, else millicores.
};

/// @brief A run that a host lists as ended.
struct ReportedEnd {
  EndNumber number;
  RunName name;
  EndKind kind = EndKind::kDone;
  std::string checkpoint;
};

/// @brief What a host says of itself.
struct HostReport {
  core::HostId host;
  core::Incarnation incarnation;
  core::MonotonicTime asked;  ///< When the question was sent.
  std::vector<ReportedRun> running;
  std::vector<ReportedEnd> ended;
};

/// @brief What became of an order to start a run.
enum class StartOutcome {
  kStarted,
  kNoCapacity,
  kStaleAttempt,
  kLeaseExpired,  ///< Its lease was over when it arrived.
  kFenced,        ///< The host obeys a newer holder.
  kNoTicket,
  kHostRestarted,  ///< The host has restarted.
  kUnhealthy,      ///< The host refused and did nothing.
  kBadRequest,
  kNoAnswer,  ///< May have been carried out, or may be later.
};

// Orders: what the owner of the state has to send.

struct StartRun {
  RunId run;
  core::HostId host;
  RunName name;
  std::string checkpoint;
};

struct StopRun {
  core::HostId host;
  RunName name;
};

struct PaceRun {
  core::HostId host;
  RunName name;
  int percent = 100;
};

struct MoveMachine {
  MachineId machine;
  core::PoolName pool;
};

struct UpkeepMachine {
  MachineId machine;
  WaveId wave;
};

struct SaveWave {
  WaveId wave;
  bool complete = false;
};

using Order = std::variant<StartRun, StopRun, PaceRun, MoveMachine,
                           UpkeepMachine, SaveWave>;

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_EVENTS_HPP_
