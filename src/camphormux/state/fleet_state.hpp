#ifndef CAMPHORMUX_STATE_FLEET_STATE_HPP_
#define CAMPHORMUX_STATE_FLEET_STATE_HPP_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/core/units.hpp"
#include "camphormux/text/operator_text.hpp"

namespace camphormux::state {

/// @brief Steps of a host's way into and out of a pool. Gateways send requests
/// to admitted hosts only.
enum class HostPhase {
  kReleased,  ///< In no pool.
  kAssigned,  ///< Has a pool; the platform may not have it in force yet.
  kAdmitted,  ///< Serves its pool.
  kDraining,  ///< Still in its pool; gets no new request.
  kEmpty,     ///< Still in its pool; has no request left.
};

/// @brief Why a host is drained.
enum class DrainReason { kNone, kMove, kMaintenance, kQuarantine };

enum class ProcessRole { kGateway, kController };

/// @brief Size of a host.
struct HostShape {
  core::MilliCores cores;
  core::Mebibytes memory;
  core::Accelerators accelerators;

  friend bool operator==(const HostShape&, const HostShape&) = default;
};

/// @brief A host and its assignment.
struct Host {
  core::HostId id;
  core::ZoneName zone;
  core::RackName rack;
  HostShape shape;
  core::Address address;  ///< Of its endpoint.
  HostPhase phase = HostPhase::kReleased;
  DrainReason drain_reason = DrainReason::kNone;
  std::optional<core::PoolName> pool;  ///< None only when released.
  core::Generation generation;         ///< Grows with each assignment.
  core::LogOffset phase_offset;        ///< Record that set the phase.

  friend bool operator==(const Host&, const Host&) = default;
};

/// @brief The controller lease of a zone.
struct ZoneLease {
  core::ProcessId holder;
  core::Epoch epoch;
  core::LogOffset last_renewal;
  bool released = false;  ///< The holder gave it up; others may claim at once.

  friend bool operator==(const ZoneLease&, const ZoneLease&) = default;
};

/// @brief A host that left the fleet. Its generation is kept, so that a host
/// that returns never gets a generation that it had before.
struct RemovedHost {
  core::Generation generation;
  core::LogOffset offset;

  friend bool operator==(const RemovedHost&, const RemovedHost&) = default;
};

/// @brief When a host was last maintained.
struct MaintenanceRecord {
  core::WallTime last_done;

  friend bool operator==(const MaintenanceRecord&,
                         const MaintenanceRecord&) = default;
};

/// @brief A process that announced itself.
struct Presence {
  core::ProcessId process;
  ProcessRole role = ProcessRole::kGateway;
  core::ZoneName zone;
  core::Address peer_address;
  core::Incarnation incarnation;
  core::LogOffset offset;

  friend bool operator==(const Presence&, const Presence&) = default;
};

/// @brief The operator text in force.
struct AcceptedText {
  core::Revision revision;
  std::string author;
  std::string source;
  std::shared_ptr<const text::OperatorText> parsed;
};

/// @brief What became of a publish record.
struct PublishOutcome {
  core::AppendId id;
  core::LogOffset offset;
  std::string author;
  core::Revision base;
  /// Revision that the text got; none if it was rejected.
  std::optional<core::Revision> accepted;
  std::string reason;  ///< Why it was rejected.

  friend bool operator==(const PublishOutcome&,
                         const PublishOutcome&) = default;
};

/// @brief All shared state: a fold over the records of the state stream.
struct FleetState {
  core::LogOffset next;  ///< First offset that is not applied yet.
  AcceptedText text;     ///< Revision 0 until a text is accepted.
  std::map<core::HostId, Host> hosts;
  std::map<core::HostId, RemovedHost> removed_hosts;  ///< The latest ones.
  std::map<core::ZoneName, ZoneLease> leases;
  std::map<core::HostId, MaintenanceRecord> maintenance;
  std::map<core::ProcessId, Presence> presence;
  std::deque<PublishOutcome> outcomes;  ///< The latest ones, oldest first.
  std::uint64_t skipped_records = 0;
  /// Generations of hosts that the state does not know begin above this; 0 but
  /// after a bootstrap, which does not know the generations before it.
  std::uint64_t numbering_floor = 0;
};

}  // namespace camphormux::state

#endif  // CAMPHORMUX_STATE_FLEET_STATE_HPP_
