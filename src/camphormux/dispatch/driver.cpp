#include "camphormux/dispatch/driver.hpp"

#include <algorithm>

#include "camphormux/dispatch/step.hpp"

namespace camphormux::dispatch {
namespace internal {
namespace {

/// Returns whether the placement has given up waiting for a task's end, so its
/// worker must be asked.
bool AwaitsReport(const Driver& driver, const DesiredTask& task,
                  std::uint64_t number) {
  if (task.ended) return false;
  const auto found = driver.placement.tasks_by_epoch.find({number});
  return found != driver.placement.tasks_by_epoch.end() &&
         driver.placement.tasks[found->second].abandoned;
}

/// Requests the task lists of workers with abandoned tasks. The zone's usage
/// report does not suffice, as it lists a worker only while it has a task.
void RequestMissingReports(Context& context) {
  for (const auto& [number, task] : context.driver.tasks) {
    if (!AwaitsReport(context.driver, task, number)) continue;
    const auto [requested_at, is_new] =
        context.driver.list_requests.try_emplace(task.worker,
                                                 context.input.now);
    if (!is_new && context.input.now - requested_at->second < kRetryInterval)
      continue;
    requested_at->second = context.input.now;
    context.output.list_requests.push_back(task.worker);
  }
}

void Run(Context& context) {
  HandleReports(context);
  SyncQuotas(context);
  SyncWorkers(context);
  for (const core::JobId& job : context.input.changed) SyncJob(context, job);
  ApplyEvent(context, placement::Tick{});
  ClaimJobs(context);
  SendRecords(context);
  RepeatOpenJobs(context);
  SendCalls(context);
  RequestMissingReports(context);
}

}  // namespace
}  // namespace internal

DriverOutput Step(const DriverInput& input, Driver& driver) {
  DriverOutput output;
  internal::Context context{input, driver, output};
  internal::HandleAnswers(context);
  internal::AdvanceTakeover(context);
  if (driver.phase == DriverPhase::kRunning) internal::Run(context);
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
