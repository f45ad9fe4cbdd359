#include "camphormux/scheduler/shares.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>

namespace camphormux::scheduler {
namespace internal {

/// Time over which served work is averaged: about as long as callers wait for a
/// job, so that an account is not charged for work that nobody waits for.
constexpr std::chrono::duration<double> kServedMemory{4.0};
constexpr double kMilliCoresPerCore = 1000.0;
constexpr double kMillisPerSecond = 1000.0;

double TaskWork(const workload::Step& step) {
  return static_cast<double>(step.size.cores.value) / kMilliCoresPerCore *
         static_cast<double>(step.estimate.count()) / kMillisPerSecond;
}

double ServedAt(const ServedWork& served, core::MonotonicTime now) {
  const std::chrono::duration<double> age = now - served.updated;
  return served.core_seconds * std::exp(-std::max(0.0, age / kServedMemory));
}

double WeightOf(const State& state, const workload::AccountName& account) {
  const auto found = state.catalog.accounts.find(account);
  return found == state.catalog.accounts.end() ? workload::Account{}.weight
                                               : found->second.weight;
}

bool HasShare(const Job& job) {
  return !job.spec.account.value.empty() && !job.permanent &&
         job.spec.occurrences == 0;
}

/// Returns how often a part fits into what a cap leaves; 0 is no cap.
std::int64_t TimesWithin(std::int64_t cap, std::int64_t used,
                         std::int64_t part) {
  if (cap == 0 || part <= 0) {
    return UINT32_MAX;
  }
  return std::max<std::int64_t>(0, (cap - used) / part);
}

std::uint32_t TimesWithin(const placement::Resources& cap,
                          const placement::Resources& used,
                          const placement::Resources& size) {
  const std::int64_t times = std::min(
      {TimesWithin(cap.cores.value, used.cores.value, size.cores.value),
       TimesWithin(cap.memory.value, used.memory.value, size.memory.value),
       TimesWithin(cap.accelerators.value, used.accelerators.value,
                   size.accelerators.value),
       std::int64_t{UINT32_MAX}});
  return static_cast<std::uint32_t>(times);
}

const placement::Resources* CapOf(const State& state,
                                  const workload::AccountName& account) {
  const auto found = state.catalog.accounts.find(account);
  return found == state.catalog.accounts.end() ? nullptr : &found->second.cap;
}

placement::Resources AmountOf(
    const std::map<workload::AccountName, placement::Resources>& amounts,
    const workload::AccountName& account) {
  const auto found = amounts.find(account);
  return found == amounts.end() ? placement::Resources{} : found->second;
}

}  // namespace internal

std::map<workload::AccountName, double> Entitlements(
    const AccountDemands& demands, double capacity) {
  /// An account and the level at which its demand is met: demand by weight.
  struct Claim {
    double level = 0;
    double demand = 0;
    double weight = 0;
    const workload::AccountName* account = nullptr;
  };
  std::vector<Claim> claims;
  claims.reserve(demands.size());
  double weights = 0;
  for (const auto& [account, demand] : demands) {
    const double total = demand.served + demand.waiting;
    claims.push_back({total / demand.weight, total, demand.weight, &account});
    weights += demand.weight;
  }
  std::sort(claims.begin(), claims.end(), [](const Claim& a, const Claim& b) {
    return a.level != b.level ? a.level < b.level : *a.account < *b.account;
  });
  std::map<workload::AccountName, double> entitled;
  double left = std::max(0.0, capacity);
  for (const Claim& claim : claims) {
    const double part = std::min(claim.demand, left * claim.weight / weights);
    entitled[*claim.account] = part;
    left -= part;
    weights -= claim.weight;
  }
  return entitled;
}

double WaitingWork(const Job& job) {
  double work = 0;
  std::size_t first = 0;
  const std::uint32_t occurrences = std::max(1U, job.spec.occurrences);
  for (std::uint32_t k = 0; k < occurrences; ++k) {
    for (const workload::Step& step : job.spec.steps) {
      const auto waiting = std::count_if(
          job.tasks.begin() + static_cast<std::ptrdiff_t>(first),
          job.tasks.begin() + static_cast<std::ptrdiff_t>(first + step.count),
          [](const Task& task) {
            return !task.progress.done && task.runs.empty();
          });
      work += static_cast<double>(waiting) * internal::TaskWork(step);
      first += step.count;
    }
  }
  return work;
}

AccountDemands MeasureDemands(const State& state, const core::PoolName& pool,
                              const std::vector<RankedJob>& jobs,
                              core::MonotonicTime now) {
  AccountDemands demands;
  for (const RankedJob& ranked : jobs) {
    if (internal::HasShare(*ranked.job)) {
      demands[ranked.job->spec.account].waiting += WaitingWork(*ranked.job);
    }
  }
  const auto served = state.served_work.find(pool);
  for (auto& [account, demand] : demands) {
    demand.weight = internal::WeightOf(state, account);
  }
  if (served != state.served_work.end()) {
    for (const auto& [account, work] : served->second) {
      AccountDemand& demand = demands[account];
      demand.weight = internal::WeightOf(state, account);
      demand.served = internal::ServedAt(work, now);
    }
  }
  return demands;
}

void ApplyShares(const State& state, const core::PoolName& pool,
                 core::MilliCores capacity, core::MonotonicTime now,
                 std::vector<RankedJob>& jobs) {
  if (!state.catalog.needs_keys) {
    return;
  }
  const AccountDemands demands = MeasureDemands(state, pool, jobs, now);
  const double core_seconds = static_cast<double>(capacity.value) /
                              internal::kMilliCoresPerCore *
                              internal::kServedMemory.count();
  std::map<workload::AccountName, double> left =
      Entitlements(demands, core_seconds);
  for (auto& [account, amount] : left) {
    amount -= demands.at(account).served;
  }
  bool any_beyond = false;
  for (RankedJob& ranked : jobs) {
    if (!internal::HasShare(*ranked.job)) {
      continue;
    }
    const double waiting = WaitingWork(*ranked.job);
    double& amount = left[ranked.job->spec.account];
    ranked.rank.beyond_share = waiting > 0 && amount <= 0;
    any_beyond = any_beyond || ranked.rank.beyond_share;
    amount -= waiting;
  }
  if (any_beyond) {
    std::stable_partition(
        jobs.begin(), jobs.end(),
        [](const RankedJob& ranked) { return !ranked.rank.beyond_share; });
  }
}

void RecordServed(State& state, const Job& job, const workload::Step& step,
                  core::MonotonicTime now) {
  if (!state.catalog.needs_keys || !internal::HasShare(job)) {
    return;
  }
  ServedWork& served = state.served_work[job.policy.pool][job.spec.account];
  served.core_seconds =
      internal::ServedAt(served, now) + internal::TaskWork(step);
  served.updated = now;
}

void MeasureOpenCopies(State& state, core::MonotonicTime now) {
  state.open_copies_of_accounts.clear();
  if (!state.catalog.needs_keys) {
    return;
  }
  for (const auto& [id, host] : state.hosts) {
    for (const OpenCopy& copy : host.open_copies) {
      if (!copy.account.value.empty() && now < copy.until &&
          copy.refused_by != host.listing.incarnation) {
        state.open_copies_of_accounts[copy.account] += copy.size;
      }
    }
  }
}

std::uint32_t TasksWithinCap(const State& state,
                             const workload::AccountName& account,
                             const placement::Resources& size) {
  const placement::Resources* cap = internal::CapOf(state, account);
  if (cap == nullptr) {
    return UINT32_MAX;
  }
  return internal::TimesWithin(
      *cap,
      internal::AmountOf(state.running_of_accounts, account) +
          internal::AmountOf(state.open_copies_of_accounts, account),
      size);
}

bool ExceedsCap(const State& state, const workload::JobSpec& spec) {
  const placement::Resources* cap = internal::CapOf(state, spec.account);
  return cap != nullptr &&
         std::any_of(spec.steps.begin(), spec.steps.end(),
                     [&](const workload::Step& step) {
                       const std::uint32_t needed = step.gang ? step.count : 1;
                       return internal::TimesWithin(*cap, {}, step.size) <
                              needed;
                     });
}

}  // namespace camphormux::scheduler
