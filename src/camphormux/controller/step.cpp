#include "camphormux/controller/step.hpp"

#include <algorithm>

#include "camphormux/controller/host_list.hpp"
#include "camphormux/controller/phases.hpp"
#include "camphormux/controller/plan.hpp"

namespace camphormux::controller {
namespace internal {

/// Stores which calls were answered, and the highest epoch that was refused
/// because another controller holds the zone.
void ProcessAnswers(const StepInput& input, StepMemory& memory) {
  for (const CallAnswer& answer : input.observed.answers) {
    if (answer.outcome == CallOutcome::kStaleEpoch) {
      memory.highest_refused_epoch =
          std::max(memory.highest_refused_epoch, answer.call.epoch);
    }
    const auto sent = memory.calls.find(answer.call.host);
    if (answer.outcome == CallOutcome::kDone && sent != memory.calls.end() &&
        sent->second.call == answer.call) {
      sent->second.done = answer.at;
    }
  }
}

/// Removes entries of hosts that are gone or in another phase, and calls of
/// earlier epochs.
void PruneMemory(const StepInput& input, StepMemory& memory) {
  const auto gone = [&](const core::HostId& id) {
    return !input.state.hosts.contains(id);
  };
  std::erase_if(memory.calls, [&](const auto& item) {
    return gone(item.first) || item.second.call.epoch != input.observed.lease;
  });
  const auto not_in = [&](state::HostPhase phase) {
    return [&input, phase](const auto& item) {
      const auto host = input.state.hosts.find(item.first);
      return host == input.state.hosts.end() || host->second.phase != phase;
    };
  };
  std::erase_if(memory.drain_starts, not_in(state::HostPhase::kDraining));
  std::erase_if(memory.drain_acknowledged_at,
                not_in(state::HostPhase::kDraining));
  std::erase_if(memory.emptied, [&](const core::HostId& id) {
    const auto host = input.state.hosts.find(id);
    return host == input.state.hosts.end() ||
           host->second.phase == state::HostPhase::kReleased ||
           host->second.phase == state::HostPhase::kAdmitted;
  });
  std::erase_if(memory.boot_id_before_restart,
                not_in(state::HostPhase::kEmpty));
  std::erase_if(memory.restart_accepted_at, not_in(state::HostPhase::kEmpty));
}

/// Detects a pause of this process and restarts the time for which gateways
/// have been observed.
void DetectOwnPause(const StepInput& input, StepMemory& memory) {
  if (input.now - memory.last_step > kOwnPauseThreshold) {
    memory.uninterrupted_since = input.now;
  }
  memory.last_step = input.now;
}

bool HoldsLease(const StepInput& input, const StepMemory& memory) {
  const auto lease = input.state.leases.find(input.zone);
  return input.observed.lease && lease != input.state.leases.end() &&
         lease->second.epoch == *input.observed.lease &&
         memory.highest_refused_epoch < *input.observed.lease;
}

IdleReason FindIdleReason(const StepInput& input, const StepMemory& memory) {
  if (!HoldsLease(input, memory)) {
    return IdleReason::kNoLease;
  }
  if (input.now - input.observed.log_read_at > kMaxLogViewAge) {
    return IdleReason::kStaleLog;
  }
  if (!input.state.text.parsed) {
    return IdleReason::kNoText;
  }
  if (!input.observed.listed) {
    return IdleReason::kNoHostList;
  }
  return IdleReason::kNone;
}

}  // namespace internal

const char* Describe(IdleReason reason) {
  switch (reason) {
    case IdleReason::kNoLease:
      return "the zone's lease is not provably held";
    case IdleReason::kStaleLog:
      return "the view of the log is stale";
    case IdleReason::kNoText:
      return "no operator text is in force";
    case IdleReason::kNoHostList:
      return "the platform has not answered with a host list";
    case IdleReason::kDoubtfulHostList:
      return "the platform's host list dropped too many hosts at once";
    case IdleReason::kNone:
      break;
  }
  return "";
}

StepResult Step(const StepInput& input, StepMemory& memory) {
  StepResult result;
  internal::DetectOwnPause(input, memory);
  internal::ProcessAnswers(input, memory);
  internal::PruneMemory(input, memory);
  result.idle = internal::FindIdleReason(input, memory);
  if (result.idle != IdleReason::kNone) {
    return result;
  }
  result.missing = MissingHosts(input);
  if (IsListDoubtful(input, result.missing)) {
    result.idle = IdleReason::kDoubtfulHostList;
    return result;
  }
  ReconcileHosts(input, result.missing, result);
  for (const auto& [id, host] : input.state.hosts) {
    if (host.zone == input.zone) {
      AdvanceHost(input, host, memory, result);
    }
  }
  PlanZone(input, memory, result);
  return result;
}

}  // namespace camphormux::controller
