#ifndef CAMPHORMUX_SCHEDULER_UPKEEP_HPP_
#define CAMPHORMUX_SCHEDULER_UPKEEP_HPP_

#include "camphormux/scheduler/plan.hpp"
#include "camphormux/scheduler/state.hpp"

namespace camphormux::scheduler {

/// @brief Applies the cloud API's list of machines to the state.
/// @param state The state.
/// @param listings All machines.
/// @param asked When the list was requested.
/// @return Whether it shows a host that was taken to have ended, so that the
/// last list of hosts has to be applied again.
bool ApplyMachines(State& state, const std::vector<MachineListing>& listings,
                   core::MonotonicTime asked);

/// @brief Applies a stored machine order of a previous lease holder: a recent
/// one defers further orders for its machine.
/// @param state The state.
/// @param machine The machine.
/// @param age Time since the order by the wall clock, which may be off.
void LoadMachineOrder(State& state, const MachineId& machine, core::Millis age);

/// @brief Returns whether orders for a machine are allowed: no previous lease
/// holder ordered it recently.
[[nodiscard]] bool MayOrder(const State& state, const MachineId& machine,
                            core::MonotonicTime now);

/// @brief Adds a maintenance wave; a wave that is already known is left
/// unchanged.
void AddWave(State& state, WaveRequest request, core::MonotonicTime now);

enum class MachineOutcome {
  kDone,
  kBusy,      ///< The machine is not up, or is leaving.
  kFenced,    ///< A newer lease holder has ordered this machine.
  kRejected,  ///< No such machine, pool or wave.
  kNoAnswer,  ///< The order may have been executed.
  kDeferred,  ///< Rate limited or withdrawn; nothing was done.
};

/// @brief Handles the answer to a machine order.
void OnMachineAnswer(State& state, const MachineId& machine, const WaveId* wave,
                     MachineOutcome outcome, core::MonotonicTime now);

/// @brief Orders the upkeep (maintenance) of the machines of open waves:
/// machines with empty hosts first, and at most as many at a time as the wave
/// allows. The hosts that are next take no new runs, and permanent tasks are
/// evacuated from them within their budgets.
void PlanUpkeep(State& state, const PoolViews& views, core::MonotonicTime now);

/// @brief Evacuates permanent tasks from draining hosts and, within their
/// budgets, from hosts that are no longer listed but answer.
void EvacuateLeaving(State& state, const PoolViews& views,
                     core::MonotonicTime now);

/// @brief Returns whether the machines of a pool are powered off.
[[nodiscard]] bool IsStandby(const State& state, const core::PoolName& pool);

/// @brief Finds the machine on which a host runs.
/// @return The machine, or nullptr.
[[nodiscard]] Machine* FindMachine(State& state, const core::HostId& host);

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_UPKEEP_HPP_
