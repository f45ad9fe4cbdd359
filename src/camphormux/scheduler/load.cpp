#include "camphormux/scheduler/load.hpp"

#include "camphormux/scheduler/arrivals.hpp"
#include "camphormux/scheduler/urgency.hpp"

namespace camphormux::scheduler {

PoolLoads MeasureLoads(const State& state, core::MonotonicTime now) {
  PoolLoads loads;
  for (const auto& [pool, policy] : state.catalog.pools) {
    loads[pool].arrival_rate = CurrentArrivalRate(state, pool, now);
  }
  for (const auto& [pool, waiting] : state.waiting) {
    loads[pool].waiting = waiting;
  }
  for (const auto& [id, host] : state.hosts) {
    if (!host.listed || host.reserved) {
      continue;
    }
    PoolLoad& load = loads[host.listing.pool];
    ++load.hosts;
    load.idle_hosts += host.runs.empty() ? 1U : 0U;
    load.capacity += host.listing.capacity.cores;
    for (const RunId id_of_run : host.runs) {
      const Run& run = state.runs.at(id_of_run);
      (run.permanent ? load.permanent : load.urgent) += run.reserved.cores;
    }
  }
  for (const auto& [id, job] : state.jobs) {
    if (job.policy.objective.count() == 0 || workload::IsFinal(job.state)) {
      continue;
    }
    PoolLoad& load = loads[job.policy.pool];
    ++load.open_jobs;
    load.late_jobs += now > job.submitted + job.policy.objective ? 1U : 0U;
  }
  return loads;
}

void RecordStart(State& state, const Job& job, core::MonotonicTime now) {
  if (job.policy.objective.count() == 0) {
    return;
  }
  PoolWork& work = state.work[job.policy.pool];
  ++(UrgencyOf(job, now) == Urgency::kOnTime ? work.started_in_time
                                             : work.started_late);
}

void RecordCompletion(State& state, const Job& job, core::MonotonicTime now) {
  if (job.policy.objective.count() == 0) {
    return;
  }
  PoolWork& work = state.work[job.policy.pool];
  const core::Millis took = now - job.submitted;
  if (took <= job.policy.objective) {
    work.done_in_time += job.core_seconds;
  } else if (took <= job.policy.objective * kLateFactor) {
    work.done_late += job.core_seconds;
  } else {
    work.done_worthless += job.core_seconds;
  }
}

}  // namespace camphormux::scheduler
