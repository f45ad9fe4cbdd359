#include "bench/slopes/fleet.hpp"

#include <cstdio>
#include <cstdlib>

#include "camphormux/state/fold.hpp"
#include "camphormux/state/records.hpp"

namespace camphormux::bench {
namespace {

constexpr int kRegions = 4;
constexpr int kHostsPerRack = 4;

void ApplyOrExit(state::FleetState& state, const state::Record& record) {
  if (const auto reason = state::Apply(state, record, state.next)) {
    std::fprintf(stderr, "state record rejected: %s\n", reason->c_str());
    std::exit(1);
  }
}

void AddAdmittedHost(state::FleetState& state, int number, int pools,
                     core::WallTime last_maintenance) {
  const core::ZoneName zone = ZoneAt(number % kZones);
  const int in_zone = number / kZones;
  const core::HostId id{"host-" + std::to_string(100'000 + number)};
  ApplyOrExit(state, state::HostAdded{zone,
                                      {1},
                                      id,
                                      {zone.value + "-" +
                                       std::to_string(in_zone / kHostsPerRack)},
                                      {{64'000}, {262'144}, {2}},
                                      {"10.0.0.1", 8080}});
  ApplyOrExit(state, state::MaintenanceDone{zone, {1}, id, last_maintenance});
  state::Assign assignment;
  assignment.zone = zone;
  assignment.epoch = {1};
  assignment.host = id;
  assignment.phase = state::HostPhase::kAssigned;
  assignment.pool = core::PoolName{"pool-" + std::to_string(in_zone % pools)};
  assignment.generation = {1};
  ApplyOrExit(state, assignment);
  assignment.phase = state::HostPhase::kAdmitted;
  ApplyOrExit(state, assignment);
}

}  // namespace

std::string MakeOperatorText(int pools) {
  std::string text = "[deployment]\nname = slopes\nspare_pool = pool-0\n";
  for (int i = 0; i < kZones; ++i) {
    text += "[zone ";
    text += ZoneAt(i).value;
    text += "]\nregion = r";
    text += std::to_string(i % kRegions);
    text += "\n";
  }
  for (int i = 0; i < pools; ++i) {
    const std::string number = std::to_string(i);
    text += "[service service-";
    text += number;
    text += "]\npool = pool-";
    text += number;
    text += "\nmin_hosts = 1\nhost_availability = 0.5\n";
    if (i > 0) {
      text += "depends_on = service-";
      text += std::to_string(i - 1);
      text += ":0.1\n";
    }
  }
  return text;
}

core::ZoneName ZoneAt(int index) { return {"z" + std::to_string(index)}; }

state::FleetState MakeState(int hosts, int pools, core::WallTime now) {
  const core::Millis period = std::chrono::hours(21 * 24);
  state::FleetState state;
  ApplyOrExit(
      state, state::Publish{{"p"}, "slopes", {0}, MakeOperatorText(pools), {}});
  for (int i = 0; i < kZones; ++i) {
    ApplyOrExit(state, state::LeaseClaim{ZoneAt(i), {"controller"}, {1}});
  }
  for (int i = 0; i < hosts; ++i) {
    AddAdmittedHost(state, i, pools, now - period * (i + 1) / (hosts + 2));
  }
  return state;
}

}  // namespace camphormux::bench
