#include "camphormux/controller/step.hpp"

#include <algorithm>

#include "camphormux/controller/host_list.hpp"
#include "camphormux/controller/phases.hpp"
#include "camphormux/controller/plan.hpp"

namespace camphormux::controller {
namespace internal {

/// Remembers which calls were answered, and whether one proves that another
/// controller holds the zone.
void TakeAnswers(const StepInput& input, StepMemory& memory) {
  for (const CallAnswer& answer : input.seen.answers) {
    if (answer.outcome == CallOutcome::kStaleEpoch) {
      memory.refused_epoch = std::max(memory.refused_epoch, answer.call.epoch);
    }
    const auto sent = memory.calls.find(answer.call.host);
    if (answer.outcome == CallOutcome::kDone && sent != memory.calls.end() &&
        sent->second.call == answer.call) {
      sent->second.done = answer.at;
    }
  }
}

/// Forgets hosts that left the zone and calls of earlier epochs.
void Forget(const StepInput& input, StepMemory& memory) {
  const auto gone = [&](const core::HostId& id) {
    return !input.state.hosts.contains(id);
  };
  std::erase_if(memory.calls, [&](const auto& item) {
    return gone(item.first) || item.second.call.epoch != input.seen.lease;
  });
  const auto not_in = [&](state::HostPhase phase) {
    return [&input, phase](const auto& item) {
      const auto host = input.state.hosts.find(item.first);
      return host == input.state.hosts.end() || host->second.phase != phase;
    };
  };
  std::erase_if(memory.drain_seen, not_in(state::HostPhase::kDraining));
  std::erase_if(memory.drain_acknowledged, not_in(state::HostPhase::kDraining));
  std::erase_if(memory.emptied, [&](const core::HostId& id) {
    const auto host = input.state.hosts.find(id);
    return host == input.state.hosts.end() ||
           host->second.phase == state::HostPhase::kReleased ||
           host->second.phase == state::HostPhase::kAdmitted;
  });
  std::erase_if(memory.boot_before, not_in(state::HostPhase::kEmpty));
  std::erase_if(memory.restart_accepted, not_in(state::HostPhase::kEmpty));
}

/// Restarts the watch over gateways after a pause of this process.
void NoticeOwnPause(const StepInput& input, StepMemory& memory) {
  if (input.now - memory.last_step > kOwnPause) {
    memory.watching_since = input.now;
  }
  memory.last_step = input.now;
}

bool HoldsLease(const StepInput& input, const StepMemory& memory) {
  const auto lease = input.state.leases.find(input.zone);
  return input.seen.lease && lease != input.state.leases.end() &&
         lease->second.epoch == *input.seen.lease &&
         memory.refused_epoch < *input.seen.lease;
}

IdleReason WhyIdle(const StepInput& input, const StepMemory& memory) {
  if (!HoldsLease(input, memory)) {
    return IdleReason::kNoLease;
  }
  if (input.now - input.seen.log_read_at > kStaleLog) {
    return IdleReason::kStaleLog;
  }
  if (!input.state.text.parsed) {
    return IdleReason::kNoText;
  }
  if (!input.seen.listed) {
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
  internal::NoticeOwnPause(input, memory);
  internal::TakeAnswers(input, memory);
  internal::Forget(input, memory);
  result.idle = internal::WhyIdle(input, memory);
  if (result.idle != IdleReason::kNone) {
    return result;
  }
  result.missing = MissingHosts(input);
  if (IsDoubtful(input, result.missing)) {
    result.idle = IdleReason::kDoubtfulHostList;
    return result;
  }
  RegisterHosts(input, result.missing, result);
  for (const auto& [id, host] : input.state.hosts) {
    if (host.zone == input.zone) {
      AdvanceHost(input, host, memory, result);
    }
  }
  PlanZone(input, memory, result);
  return result;
}

}  // namespace camphormux::controller
