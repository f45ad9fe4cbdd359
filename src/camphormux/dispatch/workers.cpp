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

void Remove(Context& at, const core::HostId& host) {
  std::erase_if(at.driver.tasks,
                [&](const auto& item) { return item.second.worker == host; });
  at.driver.workers.erase(host);
  at.driver.questions.erase(host);
  Feed(at, placement::WorkerRemoved{host});
}

bool HasTasks(const Context& at, const core::HostId& host) {
  return std::any_of(
      at.driver.tasks.begin(), at.driver.tasks.end(),
      [&](const auto& item) { return item.second.worker == host; });
}

void Drain(Context& at, const state::Host& host, WorkerView& view) {
  if (!view.drained) {
    view.drained = true;
    view.vacated = false;
    view.drained_at = at.input.now;
    Feed(at, placement::WorkerDrained{host.id});
  } else if (!view.vacated && at.input.now - view.drained_at >= kYieldLimit) {
    view.vacated = true;
    Feed(at, placement::WorkerDrainTimedOut{host.id});
  }
}

/// Brings one known worker in line with its host.
void SyncWorker(Context& at, const state::Host& host, WorkerView& view) {
  const bool lost = at.input.missing.contains(host.id);
  if (lost && !view.lost) Feed(at, placement::WorkerLost{host.id});
  const bool returned = view.lost && !lost;
  view.lost = lost;
  if (host.phase != HostPhase::kAdmitted) {
    if (returned) Feed(at, placement::WorkerReturned{host.id, false});
    if (returned) view.drained = false;
    Drain(at, host, view);
    return;
  }
  if (host.pool && view.pool != *host.pool) {
    view.pool = *host.pool;
    Feed(at, placement::PoolChanged{host.id, view.pool});
  }
  if (returned || (view.drained && !lost)) {
    view.drained = false;
    Feed(at, placement::WorkerReturned{host.id, false});
  }
}

}  // namespace

void AddWorker(Context& at, const state::Host& host) {
  const auto [view, is_new] = at.driver.workers.try_emplace(host.id);
  if (!is_new) return;
  view->second.pool = host.pool.value_or(core::PoolName{});
  Feed(at, placement::WorkerAdded{SpecOf(host)});
}

void SyncWorkers(Context& at) {
  const auto& hosts = at.input.state.hosts;
  std::vector<core::HostId> gone;
  for (const auto& [id, view] : at.driver.workers) {
    const auto host = hosts.find(id);
    const bool is_gone =
        host == hosts.end() || host->second.zone != at.input.zone;
    const bool is_released =
        !is_gone && host->second.phase == HostPhase::kReleased;
    if (is_gone || (is_released && !HasTasks(at, id))) gone.push_back(id);
  }
  for (const core::HostId& id : gone) Remove(at, id);
  for (const auto& [id, host] : hosts) {
    if (host.zone != at.input.zone) continue;
    const auto known = at.driver.workers.find(id);
    if (known != at.driver.workers.end()) {
      SyncWorker(at, host, known->second);
    } else if (host.phase == HostPhase::kAdmitted &&
               !at.input.missing.contains(id) &&
               !at.driver.unlisted.contains(id)) {
      AddWorker(at, host);
    }
  }
}

void SyncQuotas(Context& at) {
  const state::AcceptedText& text = at.input.state.text;
  if (!text.parsed || text.revision == at.driver.revision) return;
  at.driver.revision = text.revision;
  for (const auto& [name, quota] : at.driver.quotas) {
    if (!text.parsed->teams.contains(name)) {
      Feed(at, placement::QuotaSet{name, placement::Resources{}});
    }
  }
  std::map<core::TeamName, placement::Resources> quotas;
  for (const auto& [name, team] : text.parsed->teams) {
    const placement::Resources quota{team.cores, team.memory,
                                     team.accelerators};
    quotas[name] = quota;
    const auto known = at.driver.quotas.find(name);
    if (known == at.driver.quotas.end() || known->second != quota) {
      Feed(at, placement::QuotaSet{name, quota});
    }
  }
  at.driver.quotas = std::move(quotas);
}

}  // namespace camphormux::dispatch::internal
