#include <algorithm>

#include "camphormux/dispatch/step.hpp"
#include "camphormux/text/operator_text.hpp"

namespace camphormux::dispatch::internal {
namespace {

using state::HostPhase;

placement::WorkerSpec SpecOf(const state::Host& host) {
  return {host.id,
          host.zone,
          host.rack,
          host.pool.value_or(core::PoolName{}),
          {host.shape.cores, host.shape.memory, host.shape.accelerators}};
}

void Remove(Context& context, const core::HostId& host) {
  std::erase_if(context.driver.tasks,
                [&](const auto& item) { return item.second.worker == host; });
  context.driver.workers.erase(host);
  context.driver.list_requests.erase(host);
  ApplyEvent(context, placement::WorkerRemoved{host});
}

bool HasTasks(const Context& context, const core::HostId& host) {
  return std::any_of(
      context.driver.tasks.begin(), context.driver.tasks.end(),
      [&](const auto& item) { return item.second.worker == host; });
}

/// Reports the begin of a drain to the placement, and its timeout.
void Drain(Context& context, const state::Host& host, WorkerView& view) {
  if (!view.drained) {
    view.drained = true;
    view.drain_timed_out = false;
    view.drained_at = context.input.now;
    ApplyEvent(context, placement::WorkerDrained{host.id});
  } else if (!view.drain_timed_out &&
             context.input.now - view.drained_at >= kDrainTimeout) {
    view.drain_timed_out = true;
    ApplyEvent(context, placement::WorkerDrainTimedOut{host.id});
  }
}

/// Reports changes of a known worker's host to the placement.
void SyncWorker(Context& context, const state::Host& host, WorkerView& view) {
  const bool lost = context.input.missing.contains(host.id);
  if (lost && !view.lost) ApplyEvent(context, placement::WorkerLost{host.id});
  const bool returned = view.lost && !lost;
  view.lost = lost;
  if (host.phase != HostPhase::kAdmitted) {
    if (returned)
      ApplyEvent(context, placement::WorkerReturned{host.id, false});
    if (returned) view.drained = false;
    Drain(context, host, view);
    return;
  }
  if (host.pool && view.pool != *host.pool) {
    view.pool = *host.pool;
    ApplyEvent(context, placement::PoolChanged{host.id, view.pool});
  }
  if (returned || (view.drained && !lost)) {
    view.drained = false;
    ApplyEvent(context, placement::WorkerReturned{host.id, false});
  }
}

}  // namespace

void AddWorker(Context& context, const state::Host& host) {
  const auto [view, is_new] = context.driver.workers.try_emplace(host.id);
  if (!is_new) return;
  view->second.pool = host.pool.value_or(core::PoolName{});
  ApplyEvent(context, placement::WorkerAdded{SpecOf(host)});
}

void SyncWorkers(Context& context) {
  const auto& hosts = context.input.state.hosts;
  std::vector<core::HostId> gone;
  for (const auto& [id, view] : context.driver.workers) {
    const auto host = hosts.find(id);
    const bool is_gone =
        host == hosts.end() || host->second.zone != context.input.zone;
    const bool is_released =
        !is_gone && host->second.phase == HostPhase::kReleased;
    if (is_gone || (is_released && !HasTasks(context, id))) gone.push_back(id);
  }
  for (const core::HostId& id : gone) Remove(context, id);
  for (const auto& [id, host] : hosts) {
    if (host.zone != context.input.zone) continue;
    const auto known = context.driver.workers.find(id);
    if (known != context.driver.workers.end()) {
      SyncWorker(context, host, known->second);
    } else if (host.phase == HostPhase::kAdmitted &&
               !context.input.missing.contains(id) &&
               !context.driver.unlisted.contains(id)) {
      AddWorker(context, host);
    }
  }
}

void SyncQuotas(Context& context) {
  const state::AcceptedText& text = context.input.state.text;
  if (!text.parsed || text.revision == context.driver.revision) return;
  context.driver.revision = text.revision;
  for (const auto& [name, quota] : context.driver.quotas) {
    if (!text.parsed->teams.contains(name)) {
      ApplyEvent(context, placement::QuotaSet{name, placement::Resources{}});
    }
  }
  std::map<core::TeamName, placement::Resources> quotas;
  for (const auto& [name, team] : text.parsed->teams) {
    const placement::Resources quota{team.cores, team.memory,
                                     team.accelerators};
    quotas[name] = quota;
    const auto known = context.driver.quotas.find(name);
    if (known == context.driver.quotas.end() || known->second != quota) {
      ApplyEvent(context, placement::QuotaSet{name, quota});
    }
  }
  context.driver.quotas = std::move(quotas);
}

}  // namespace camphormux::dispatch::internal
