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
/// Sequence number of an ended run in a host's report; starts at 1 in each
/// incarnation of the host.
using EndNumber = core::Ordinal<struct EndNumberTag>;

/// @brief Identifies one attempt to run a task.
struct RunName {
  core::JobId job;
  workload::TaskPlace place;
  std::uint32_t attempt = 0;

  friend bool operator==(const RunName&, const RunName&) = default;
};

/// @brief An entry of the list of live hosts.
struct HostListing {
  core::HostId id;
  core::Incarnation incarnation;  ///< Identifies the current start of the host.
  core::Address address;
  core::PoolName pool;
  core::ZoneName zone;
  std::set<std::string> labels;
  core::RackName rack;
  placement::Resources capacity;
  bool draining = false;

  friend bool operator==(const HostListing&, const HostListing&) = default;
};

/// @brief An entry that an incarnation of a host has written to the list, also
/// if nothing but its clock has changed.
struct Heartbeat {
  core::HostId host;
  core::Incarnation incarnation;
  std::int64_t clock_ms = 0;  ///< The host's clock when it wrote the entry.
};

enum class MachineState { kUp, kMoving, kUpkeep, kDown };

/// @brief An entry of the cloud API's list of physical machines.
struct MachineListing {
  MachineId id;
  core::PoolName pool;
  MachineState state = MachineState::kUp;
  core::HostId host;  ///< Host that currently runs on it; may be empty.
  placement::Resources capacity;
};

/// @brief An operators' request to maintain a set of machines (a maintenance
/// wave).
struct WaveRequest {
  WaveId id;
  std::vector<MachineId> machines;
  core::Millis deadline{0};  ///< Relative to the publication of the request.
  std::uint32_t max_down = 1;
};

/// @brief How a run ended, as its host reports it. Only kFailed counts as a
/// failure of the task.
enum class EndKind { kDone, kFailed, kStopped, kLeaseExpired, kBroken, kAlone };

/// @brief A current run in a host's report.
struct ReportedRun {
  RunName name;
  std::string checkpoint;
  int percent = 0;  ///< Progress; for a permanent task, 100 once it serves.
  /// Tail latency in ms of a serving task, otherwise CPU use in millicores.
  std::int64_t load = 0;
};

/// @brief An ended run in a host's report.
struct ReportedEnd {
  EndNumber number;
  RunName name;
  EndKind kind = EndKind::kDone;
  std::string checkpoint;
};

/// @brief A host's report of its current and ended runs.
struct HostReport {
  core::HostId host;
  core::Incarnation incarnation;
  core::Epoch token;          ///< Fencing token of the request.
  core::MonotonicTime asked;  ///< When the request for the report was sent.
  std::vector<ReportedRun> running;
  std::vector<ReportedEnd> ended;
  /// Runs or ends are missing from the lists.
  bool is_partial = false;
};

/// @brief Outcome of an order to start a run.
enum class StartOutcome {
  kStarted,
  kNoCapacity,
  kStaleAttempt,
  kLeaseExpired,  ///< The order's lease had expired when it arrived.
  kFenced,        ///< The host has seen a newer lease holder.
  kNoTicket,
  kHostRestarted,  ///< The host has restarted since the order was made.
  kUnhealthy,      ///< The host is unhealthy and refused; nothing was done.
  kBadRequest,
  kNoAnswer,  ///< The order may have been executed or may still be.
  /// The host has seen a call of this lease holder with a higher token.
  kSuperseded,
};

// Orders: requests to hosts, to the cloud API and to the store that the owner
// of the state sends.

struct StartRun {
  RunId run;
  core::HostId host;
  RunName name;
  std::string checkpoint;
};

/// @brief Repeats a start order that got no answer, unchanged: the host
/// answers it as done if the run exists by then.
struct RepeatStart {
  RunId run;
  core::HostId host;
  RunName name;
  std::string checkpoint;
};

struct StopRun {
  core::HostId host;
  RunName name;
};

/// @brief Sets the pace of a best-effort run in percent of full speed.
struct PaceRun {
  core::HostId host;
  RunName name;
  int percent = 100;
};

/// @brief Moves a machine to another pool; its current host ends.
struct MoveMachine {
  MachineId machine;
  core::PoolName pool;
};

/// @brief Takes a machine down for the upkeep that a wave requests.
struct UpkeepMachine {
  MachineId machine;
  WaveId wave;
};

/// @brief Stores the state of a wave.
struct SaveWave {
  WaveId wave;
  bool complete = false;
};

using Order = std::variant<StartRun, RepeatStart, StopRun, PaceRun, MoveMachine,
                           UpkeepMachine, SaveWave>;

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_EVENTS_HPP_
