#ifndef CAMPHORMUX_SCHEDULER_UPKEEP_HPP_
#define CAMPHORMUX_SCHEDULER_UPKEEP_HPP_

#include "camphormux/scheduler/plan.hpp"
#include "camphormux/scheduler/state.hpp"

namespace camphormux::scheduler {

/// @brief Takes the cloud's list of machines into account.
/// @param state The state.
/// @param listings All machines.
/// @param asked When the list was asked for.
void ApplyMachines(State& state, const std::vector<MachineListing>& listings,
                   core::MonotonicTime asked);

/// @brief Takes a stored order of an earlier holder into account.
/// @param state The state.
/// @param machine The machine.
/// @param age Time since the order by the wall clock, which may be off.
void LoadMachineOrder(State& state, const MachineId& machine, core::Millis age);

/// @brief Tells whether a machine may be ordered: no earlier holder did so
/// lately.
[[nodiscard]] bool MayOrder(const State& state, const MachineId& machine,
                            core::MonotonicTime now);

/// @brief Adds a request to maintain machines; a known one is left as it is.
void AddWave(State& state, WaveRequest request, core::MonotonicTime now);

enum class MachineOutcome {
  kDone,
  kBusy,      ///< Not up, or leaving.
  kFenced,    ///< A newer holder has ordered this machine.
  kRejected,  ///< No such machine, pool or wave.
  kNoAnswer,  ///< May have been carried out.
  kDeferred,  ///< Too many calls; nothing was done.
};

/// @brief Takes the answer to a machine order into account.
void OnMachineAnswer(State& state, const MachineId& machine, const WaveId* wave,
                     MachineOutcome outcome, core::MonotonicTime now);

/// @brief Orders the upkeep of machines of open waves: empty hosts first, at
/// most as many at once as the wave allows. Hosts that are next take no new
/// runs, and permanent tasks leave them within their budgets.
void PlanUpkeep(State& state, const PoolViews& views, core::MonotonicTime now);

/// @brief Moves permanent tasks away from hosts that are leaving.
void EvacuateDraining(State& state, const PoolViews& views);

/// @brief Tells whether the machines of a pool are powered off.
[[nodiscard]] bool IsStandby(const State& state, const core::PoolName& pool);

/// @brief Finds the machine of a host.
/// @return The machine, or nullptr.
[[nodiscard]] Machine* FindMachine(State& state, const core::HostId& host);

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_UPKEEP_HPP_
