#include "camphormux/dispatch/driver.hpp"

#include <algorithm>

#include "camphormux/dispatch/step.hpp"

namespace camphormux::dispatch {
namespace internal {
namespace {

bool NeedsReport(const Driver& driver, const WantedTask& task,
                 std::uint64_t number) {
  if (task.ended) return false;
  const auto found = driver.placement.tasks_by_epoch.find({number});
  return found != driver.placement.tasks_by_epoch.end() &&
         driver.placement.tasks[found->second].abandoned;
}

/// Asks workers about tasks that are not heard of; the zone's report lists a
/// worker only while it has a task.
void AskWorkers(Context& at) {
  for (const auto& [number, task] : at.driver.tasks) {
    if (!NeedsReport(at.driver, task, number)) continue;
    const auto [asked, is_new] =
        at.driver.questions.try_emplace(task.worker, at.input.now);
    if (!is_new && at.input.now - asked->second < kRepeat) continue;
    asked->second = at.input.now;
    at.output.questions.push_back(task.worker);
  }
}

void Run(Context& at) {
  TakeReports(at);
  SyncQuotas(at);
  SyncWorkers(at);
  for (const core::JobId& job : at.input.changed) SyncJob(at, job);
  Feed(at, placement::Tick{});
  ClaimJobs(at);
  SendRecords(at);
  CarryJobs(at);
  SendCalls(at);
  AskWorkers(at);
}

}  // namespace
}  // namespace internal

DriverOutput Step(const DriverInput& input, Driver& driver) {
  DriverOutput output;
  internal::Context at{input, driver, output};
  internal::TakeAnswers(at);
  internal::AdvanceTakeover(at);
  if (driver.phase == DriverPhase::kRunning) internal::Run(at);
  return output;
}

bool IsFreeOfTasks(const Driver& driver, const core::HostId& host) {
  return driver.phase == DriverPhase::kRunning &&
         !driver.unlisted.contains(host) &&
         placement::HasNoTask(driver.placement, host) &&
         std::none_of(driver.tasks.begin(), driver.tasks.end(),
                      [&](const auto& item) {
                        return item.second.worker == host && !item.second.ended;
                      });
}

}  // namespace camphormux::dispatch
