#include "camphormux/dispatch/explain.hpp"

#include <tuple>

#include <fmt/format.h>

namespace camphormux::dispatch {
namespace internal {

using placement::JobPhase;

const char* PhaseName(JobPhase phase) {
  switch (phase) {
    case JobPhase::kQueued:
    case JobPhase::kAwaitingPreemption:
      return "queued";
    case JobPhase::kActive:
      return "running";
    case JobPhase::kUnconfirmed:
      return "unconfirmed";
    case JobPhase::kHeldBack:
      return "held back";
    case JobPhase::kImpossible:
      return "impossible";
    case JobPhase::kFinished:
      return "finished";
    case JobPhase::kCancelled:
      return "cancelled";
    case JobPhase::kGivenUp:
      return "given up";
    case JobPhase::kNotTwice:
      return "not run twice";
  }
  return "unknown";
}

std::pair<const char*, const char*> Describe(jobs::EndKind kind) {
  switch (kind) {
    case jobs::EndKind::kFinished:
      return {"finished", "finished"};
    case jobs::EndKind::kGivenUp:
      return {"given up", "failed too often"};
    case jobs::EndKind::kNotTwice:
      return {"not run twice",
              "may not be run twice and its run did not finish"};
    case jobs::EndKind::kLost:
      return {"lost",
              "may not be run twice and what became of its run is not known"};
    case jobs::EndKind::kCancelled:
      return {"cancelled", "cancelled by its team"};
  }
  return {"unknown", "unknown"};
}

std::string Text(const placement::Resources& amount) {
  return fmt::format("{} millicores, {} MiB, {} accelerators",
                     amount.cores.value, amount.memory.value,
                     amount.accelerators.value);
}

/// Adds facts from the placement, which the log does not contain.
void AddPlacement(const Driver& driver, const core::JobId& id,
                  JobFacts& facts) {
  const placement::State& placed = driver.placement;
  const auto found = placed.jobs_by_id.find(id);
  if (driver.phase != DriverPhase::kRunning ||
      found == placed.jobs_by_id.end()) {
    facts.state = "waiting";
    facts.reason = "the zone's lease holder has not placed it yet";
    return;
  }
  const placement::Job& job = placed.jobs[found->second];
  facts.state = PhaseName(job.phase);
  facts.reason = placement::Describe(placement::Explain(placed, id));
  facts.figures.emplace_back("failures", std::to_string(job.failures));
  facts.figures.emplace_back("failed_on_workers",
                             std::to_string(job.failed_on.size()));
  for (const auto& [number, task] : driver.tasks) {
    if (task.job == id && !task.ended) {
      facts.figures.emplace_back(
          "task", fmt::format("{} on {}", number, task.worker.value));
      facts.figures.emplace_back("limits", Text(task.limits));
    }
  }
}

}  // namespace internal

JobCounts CountJobs(const jobs::Fold& fold, const Driver& driver) {
  JobCounts counts;
  counts.open = fold.open;
  counts.unclaimed = fold.unclaimed.size();
  if (driver.phase != DriverPhase::kRunning) return counts;
  for (const placement::Job& job : driver.placement.jobs) {
    if (job.id.value.empty()) continue;
    using placement::JobPhase;
    counts.queued += job.phase == JobPhase::kQueued ||
                             job.phase == JobPhase::kAwaitingPreemption
                         ? 1
                         : 0;
    counts.running += job.phase == JobPhase::kActive ? 1 : 0;
    counts.held_back += job.phase == JobPhase::kHeldBack ? 1 : 0;
    counts.impossible += job.phase == JobPhase::kImpossible ? 1 : 0;
    counts.unconfirmed += job.phase == JobPhase::kUnconfirmed ? 1 : 0;
  }
  for (const placement::Worker& worker : driver.placement.workers) {
    if (worker.health.quarantined) counts.quarantined.push_back(worker.id);
  }
  return counts;
}

std::optional<JobFacts> ExplainJob(const jobs::Fold& fold, const Driver& driver,
                                   const core::ZoneName& zone,
                                   const core::JobId& job) {
  const jobs::JobEntry* entry = jobs::Find(fold, job);
  if (entry == nullptr) return std::nullopt;
  const placement::JobSpec& spec = entry->submit.spec;
  JobFacts facts;
  facts.figures = {{"team", spec.team.value},
                   {"pool", spec.pool.value},
                   {"declared", internal::Text(spec.declared)},
                   {"log_offset", std::to_string(entry->offset.value)}};
  if (entry->claim)
    facts.figures.emplace_back("zone", entry->claim->zone.value);
  if (entry->end) {
    std::tie(facts.state, facts.reason) = internal::Describe(*entry->end);
  } else if (!entry->claim) {
    facts.state = "unclaimed";
    facts.reason = "no zone has taken it yet";
  } else if (entry->claim->zone != zone) {
    facts.state = "taken";
    facts.reason = "zone " + entry->claim->zone.value +
                   " runs it; its lease holder tells more";
  } else {
    internal::AddPlacement(driver, job, facts);
  }
  return facts;
}

}  // namespace camphormux::dispatch
