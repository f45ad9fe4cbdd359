#include "camphormux/scheduler/stale_orders.hpp"

#include "camphormux/scheduler/runs.hpp"
#include "camphormux/scheduler/upkeep.hpp"

namespace camphormux::scheduler {
namespace internal {

bool WithdrawMachineOrder(State& state, const MachineId& id, const WaveId* wave,
                          core::MonotonicTime now) {
  const auto machine = state.machines.find(id);
  if (machine == state.machines.end() || machine->second.unanswered_since) {
    return false;
  }
  OnMachineAnswer(state, id, wave, MachineOutcome::kDeferred, now);
  return true;
}

}  // namespace internal

bool Withdraw(State& state, const Order& order, core::MonotonicTime now) {
  if (const auto* start = std::get_if<StartRun>(&order)) {
    WithdrawStart(state, start->run);
    return true;
  }
  if (const auto* move = std::get_if<MoveMachine>(&order)) {
    return internal::WithdrawMachineOrder(state, move->machine, nullptr, now);
  }
  if (const auto* upkeep = std::get_if<UpkeepMachine>(&order)) {
    return internal::WithdrawMachineOrder(state, upkeep->machine, &upkeep->wave,
                                          now);
  }
  return false;
}

}  // namespace camphormux::scheduler
