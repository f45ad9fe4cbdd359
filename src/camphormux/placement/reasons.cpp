#include "camphormux/placement/reasons.hpp"

#include <cstdio>

#include "camphormux/placement/queue.hpp"
#include "camphormux/placement/quotas.hpp"
#include "camphormux/placement/sizes.hpp"
#include "camphormux/placement/tables.hpp"

namespace camphormux::placement {
namespace {

using internal::ClassOf;

Reason WhyQueued(const State& state, const JobClass& job_class) {
  const Pool& pool = state.pools[job_class.key.pool];
  if (pool.workers == 0) return PoolEmpty{pool.name};
  const Resources need = internal::ReservedSize(state, job_class);
  const Team& team = state.teams[job_class.team];
  if (internal::EvaluateQuota(state, job_class, need) ==
      internal::QuotaResult::kRefused) {
    return WaitingForQuota{
        need, job_class.non_preemptible ? team.non_preemptible : team.used,
        team.quota.value_or(Resources{})};
  }
  return WaitingForResources{need, MaxHeadroom(pool.headroom_tree).free};
}

Reason WhyActive(const State& state, const Task& task) {
  const bool throttled = task.yield == YieldStep::kThrottled;
  return Running{state.workers[task.worker].id, task.epoch, throttled};
}

Reason ReasonOf(const State& state, JobIndex index) {
  const Job& job = state.jobs[index];
  const JobClass& job_class = ClassOf(state, index);
  switch (job.phase) {
    case JobPhase::kQueued:
      return WhyQueued(state, job_class);
    case JobPhase::kAwaitingPreemption:
      return WaitingForPreemption{state.workers[job.reserved_worker].id};
    case JobPhase::kActive:
      return WhyActive(state, state.tasks[job.task]);
    case JobPhase::kUnconfirmed: {
      const Task& task = state.tasks[job.task];
      return EndUnconfirmed{state.workers[task.worker].id, task.epoch};
    }
    case JobPhase::kHeldBack:
      return HeldBack{static_cast<std::uint32_t>(job.failed_on.size()),
                      job.back_off_end};
    case JobPhase::kImpossible: {
      const auto reason = internal::WhyImpossible(state, job_class);
      return reason ? *reason : WhyQueued(state, job_class);
    }
    case JobPhase::kFinished:
      return Finished{};
    case JobPhase::kCancelled:
      return Cancelled{};
    case JobPhase::kGivenUp:
      return GivenUp{static_cast<std::uint32_t>(job.failed_on.size()),
                     job.out_of_memory};
    case JobPhase::kNotTwice:
      return MayNotRunTwice{};
  }
  return UnknownJob{};
}

std::string Text(const Resources& amount) {
  return std::to_string(amount.cores.value) + " millicores, " +
         std::to_string(amount.memory.value) + " MiB, " +
         std::to_string(amount.accelerators.value) + " accelerators";
}

/// Formats a reason; one overload for each type.
struct ReasonFormatter {
  std::string operator()(const UnknownJob&) { return "no such job"; }
  std::string operator()(const LargerThanAnyWorker& reason) {
    return "can never run: needs " + Text(reason.declared) +
           "; the workers of pool " + reason.pool.value + " have at most " +
           Text(reason.largest);
  }
  std::string operator()(const ExceedsTeamQuota& reason) {
    return "can never run: needs " + Text(reason.declared) +
           "; the whole quota of its team is " + Text(reason.quota);
  }
  std::string operator()(const UnknownTeam& reason) {
    return "can never run: the operator text has no team " + reason.team.value;
  }
  std::string operator()(const PoolEmpty& reason) {
    return "waits: pool " + reason.pool.value + " has no worker";
  }
  std::string operator()(const WaitingForResources& reason) {
    return "waits for room: needs " + Text(reason.needed) +
           "; free on one worker at most " + Text(reason.largest_free);
  }
  std::string operator()(const WaitingForQuota& reason) {
    return "waits for quota: needs " + Text(reason.needed) + "; in use " +
           Text(reason.used) + " of " + Text(reason.quota);
  }
  std::string operator()(const WaitingForPreemption& reason) {
    return "starts soon: tasks on " + reason.worker.value + " make room";
  }
  std::string operator()(const HeldBack& reason) {
    return "held back: failed on " + std::to_string(reason.failed_workers) +
           " workers";
  }
  std::string operator()(const GivenUp& reason) {
    return "given up: failed on " + std::to_string(reason.failed_workers) +
           " workers, ran out of memory " +
           std::to_string(reason.out_of_memory) + " times";
  }
  std::string operator()(const MayNotRunTwice& reason) {
    return "not run again: it may not run twice and its run did not finish" +
           (reason.worker.value.empty() ? "" : " on " + reason.worker.value);
  }
  std::string operator()(const EndUnconfirmed& reason) {
    return "waits for the confirmed end of run " +
           std::to_string(reason.epoch.value) + " on " + reason.worker.value;
  }
  std::string operator()(const Running& reason) {
    return "runs on " + reason.worker.value +
           (reason.throttled ? ", throttled" : "");
  }
  std::string operator()(const Finished&) { return "finished"; }
  std::string operator()(const Cancelled&) { return "cancelled"; }
};

}  // namespace

Reason Explain(const State& state, const core::JobId& job) {
  const auto found = state.jobs_by_id.find(job);
  if (found == state.jobs_by_id.end()) return UnknownJob{};
  return ReasonOf(state, found->second);
}

std::string Describe(const Reason& reason) {
  return std::visit(ReasonFormatter{}, reason);
}

}  // namespace camphormux::placement
