#ifndef CAMPHORMUX_STATE_RECORDS_HPP_
#define CAMPHORMUX_STATE_RECORDS_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/core/units.hpp"
#include "camphormux/state/fleet_state.hpp"

namespace camphormux::state {

/// @brief Replaces a range of lines of the base text.
struct LineEdit {
  std::uint32_t first_line = 0;  ///< 0-based line of the base text.
  std::uint32_t removed_lines = 0;
  std::vector<std::string> added_lines;

  friend bool operator==(const LineEdit&, const LineEdit&) = default;
};

/// @brief A new operator text, whole or as edits of the base revision.
struct Publish {
  core::AppendId id;
  std::string author;
  core::Revision base;
  std::optional<std::string> source;  ///< The whole text, if not edits.
  std::vector<LineEdit> edits;        ///< In descending order of lines.

  friend bool operator==(const Publish&, const Publish&) = default;
};

/// @brief Claims a zone's controller lease; counts if the epoch is the current
/// one plus 1.
struct LeaseClaim {
  core::ZoneName zone;
  core::ProcessId holder;
  core::Epoch epoch;

  friend bool operator==(const LeaseClaim&, const LeaseClaim&) = default;
};

/// @brief Renews a zone's controller lease.
struct LeaseRenew {
  core::ZoneName zone;
  core::ProcessId holder;
  core::Epoch epoch;

  friend bool operator==(const LeaseRenew&, const LeaseRenew&) = default;
};

/// @brief Ends a zone's controller lease before its time: the holder decides
/// nothing more. The epoch stays in force until the next claim, so that records
/// of the holder that the release overtook count as before.
struct LeaseRelease {
  core::ZoneName zone;
  core::ProcessId holder;
  core::Epoch epoch;

  friend bool operator==(const LeaseRelease&, const LeaseRelease&) = default;
};

/// @brief Adds a host, or changes its shape or address.
struct HostAdded {
  core::ZoneName zone;
  core::Epoch epoch;
  core::HostId host;
  core::RackName rack;
  HostShape shape;
  core::Address address;

  friend bool operator==(const HostAdded&, const HostAdded&) = default;
};

/// @brief Removes a host that left the fleet.
struct HostRemoved {
  core::ZoneName zone;
  core::Epoch epoch;
  core::HostId host;

  friend bool operator==(const HostRemoved&, const HostRemoved&) = default;
};

/// @brief Moves a host to its next phase. The fold accepts only the
/// transitions released, assigned, admitted, draining, empty, released, and
/// back from draining or empty to assigned in the same pool. The way back needs
/// a new generation, so that a late drain call cannot hit the host again.
struct Assign {
  core::ZoneName zone;
  core::Epoch epoch;
  core::HostId host;
  HostPhase phase = HostPhase::kReleased;
  DrainReason drain_reason = DrainReason::kNone;
  std::optional<core::PoolName> pool;
  core::Generation generation;

  friend bool operator==(const Assign&, const Assign&) = default;
};

/// @brief Records that a host was maintained.
struct MaintenanceDone {
  core::ZoneName zone;
  core::Epoch epoch;
  core::HostId host;
  core::WallTime time;

  friend bool operator==(const MaintenanceDone&,
                         const MaintenanceDone&) = default;
};

/// @brief Announces a process.
struct PresenceNotice {
  core::ProcessId process;
  ProcessRole role = ProcessRole::kGateway;
  core::ZoneName zone;
  core::Address peer_address;
  core::Incarnation incarnation;

  friend bool operator==(const PresenceNotice&,
                         const PresenceNotice&) = default;
};

/// @brief A part of the encoded state at an offset.
struct SnapshotChunk {
  std::string snapshot;     ///< Identifier of the snapshot.
  core::LogOffset at;       ///< The snapshot's state has this `next`.
  std::uint32_t index = 0;  ///< 0-based.
  std::uint32_t count = 0;
  std::uint64_t digest = 0;  ///< Of the whole encoded state.
  std::string data;
  /// Whether records after `at` were lost by every process.
  bool recovery = false;

  friend bool operator==(const SnapshotChunk&, const SnapshotChunk&) = default;
};

using Record = std::variant<Publish, LeaseClaim, LeaseRenew, LeaseRelease,
                            HostAdded, HostRemoved, Assign, MaintenanceDone,
                            PresenceNotice, SnapshotChunk>;

}  // namespace camphormux::state

#endif  // CAMPHORMUX_STATE_RECORDS_HPP_
