#ifndef CAMPHORMUX_TEST_STATE_COMMANDS_HPP_
#define CAMPHORMUX_TEST_STATE_COMMANDS_HPP_

#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include <rapidcheck.h>

#include "camphormux/state/fleet_state.hpp"
#include "camphormux/state/records.hpp"
#include "fixtures.hpp"

namespace camphormux::state {

/// @brief A drawn command. It becomes a record relative to the state, so that
/// most records are valid or nearly so.
struct Command {
  int kind = 0;
  int zone = 0;
  int host = 0;
  int process = 0;
  int phase = 0;
  int deviation = 0;  ///< 0 to 4: valid; 5 to 9: one value is off.
};

inline std::ostream& operator<<(std::ostream& out, const Command& c) {
  return out << "{" << c.kind << "," << c.zone << "," << c.host << ","
             << c.process << "," << c.phase << "," << c.deviation << "}";
}

inline rc::Gen<std::vector<Command>> Commands(std::size_t count) {
  using rc::gen::inRange;
  auto command = rc::gen::build<Command>(
      rc::gen::set(&Command::kind, inRange(0, 16)),
      rc::gen::set(&Command::zone, inRange(0, 2)),
      rc::gen::set(&Command::host, inRange(0, 5)),
      rc::gen::set(&Command::process, inRange(0, 3)),
      rc::gen::set(&Command::phase, inRange(0, 5)),
      rc::gen::set(&Command::deviation, inRange(0, 10)));
  // Full size from the first run on; small sizes draw nearly equal commands.
  return rc::gen::resize(
      rc::kNominalSize,
      rc::gen::container<std::vector<Command>>(count, std::move(command)));
}

inline core::Epoch CurrentEpoch(const FleetState& state,
                                const core::ZoneName& zone) {
  const auto it = state.leases.find(zone);
  return it == state.leases.end() ? core::Epoch{} : it->second.epoch;
}

inline Record AssignRecord(const FleetState& state, const Command& c,
                           const core::ZoneName& zone, core::Epoch epoch) {
  const core::HostId id{"h" + std::to_string(c.host)};
  const auto it = state.hosts.find(id);
  const Host host = it == state.hosts.end() ? Host{} : it->second;
  const HostPhase next[] = {HostPhase::kAssigned, HostPhase::kAdmitted,
                            HostPhase::kDraining, HostPhase::kEmpty,
                            HostPhase::kReleased};
  Assign record;
  record.zone = zone;
  record.epoch = epoch;
  record.host = id;
  record.phase = c.deviation < 8 ? next[static_cast<int>(host.phase)]
                                 : static_cast<HostPhase>(c.phase);
  record.generation = host.generation;
  record.pool = host.pool;
  const bool returns =
      c.deviation < 8 && c.deviation % 4 == 3 &&
      (host.phase == HostPhase::kDraining || host.phase == HostPhase::kEmpty);
  if (returns) {
    record.phase = HostPhase::kAssigned;
    record.generation = core::Next(record.generation);
  } else if (record.phase == HostPhase::kAssigned) {
    record.generation = core::Next(record.generation);
    record.pool = core::PoolName{"p" + std::to_string(c.process)};
  } else if (record.phase == HostPhase::kReleased) {
    record.pool.reset();
  }
  record.drain_reason = static_cast<DrainReason>(c.phase % 4);
  if (c.deviation == 6) {
    record.generation = core::Next(record.generation);
  }
  return record;
}

/// @brief Makes the record of a command.
/// @param number Distinguishes texts and append ids.
inline Record ToRecord(const FleetState& state, const Command& c,
                       std::size_t number) {
  const core::ZoneName zone{c.zone == 0 ? "a" : "b"};
  const core::ProcessId process{"c" + std::to_string(c.process)};
  const core::HostId host{"h" + std::to_string(c.host)};
  core::Epoch epoch = CurrentEpoch(state, zone);
  if (c.deviation == 5 && epoch.value > 0) {
    --epoch.value;
  }
  const std::string name = std::to_string(number);
  switch (c.kind) {
    case 0: {
      const std::uint64_t base = state.text.revision.value;
      return WholeText("p" + (c.deviation == 7 ? "0" : name),
                       c.deviation == 6 ? base + 1 : base,
                       c.deviation == 8 ? "[broken" : ValidText(name));
    }
    case 1:
      return LeaseClaim{zone, process,
                        c.deviation == 9 ? epoch : core::Next(epoch)};
    case 2:
      if (c.phase == 0) {
        return LeaseRelease{zone, process, epoch};
      }
      return LeaseRenew{zone, process, epoch};
    case 3:
    case 4:
    case 5:
      return HostAdded{
          zone, epoch, host, {"r" + name}, {{c.phase}, {}, {}}, {"::1", 1}};
    case 6:
      return HostRemoved{zone, epoch, host};
    case 7:
      return MaintenanceDone{zone, epoch, host,
                             core::WallTime{core::Millis{
                                 static_cast<int>(number) - c.deviation * 9}}};
    case 8:
      return PresenceNotice{process,
                            ProcessRole::kController,
                            zone,
                            {"::1", 2},
                            {static_cast<std::uint64_t>(c.deviation)}};
    default:
      return AssignRecord(state, c, zone, epoch);
  }
}

}  // namespace camphormux::state

#endif  // CAMPHORMUX_TEST_STATE_COMMANDS_HPP_
