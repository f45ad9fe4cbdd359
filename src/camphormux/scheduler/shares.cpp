#include "camphormux/scheduler/shares.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <limits>
#include <utility>

namespace camphormux::scheduler {
namespace internal {

/// Time over which served work is averaged: about as long as callers wait for a
/// job, so that an account is not charged for work that nobody waits for.
constexpr std::chrono::duration<double> kServedMemory{4.0};
/// Time for which free cores are divided: about the run time of a task.
constexpr std::chrono::duration<double> kTimeOfFreeCores{1.0};
/// What was served is forgotten when it is below a task's millisecond.
constexpr double kForgottenWork = 0.001;
constexpr double kMilliCoresPerCore = 1000.0;
constexpr double kMillisPerSecond = 1000.0;

double CoresOf(core::MilliCores cores) {
  return static_cast<double>(cores.value) / kMilliCoresPerCore;
}

/// Core seconds of a task. Those of tasks without an estimate are not 0, so
/// that they have a part in the division.
double WorkOf(core::MilliCores cores, core::Millis duration) {
  return CoresOf(cores) *
         static_cast<double>(std::max(core::Millis(1), duration).count()) /
         kMillisPerSecond;
}

/// Best-effort tasks only use idle cores and do not count.
double TaskWork(const workload::Step& step) {
  return step.best_effort ? 0.0 : WorkOf(step.size.cores, step.estimate);
}

double DemandOf(const AccountShare& share) {
  return share.served + share.waiting;
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

/// Adds what was served lately to the accounts' demands.
/// @return Core seconds that were served to all of them.
double AddServedWork(State& state, const core::PoolName& pool,
                     core::MonotonicTime now, PoolShares& shares) {
  double total = 0;
  const auto works = state.served_work.find(pool);
  if (works == state.served_work.end()) {
    return total;
  }
  std::erase_if(works->second, [&](const auto& entry) {
    return ServedAt(entry.second, now) < kForgottenWork;
  });
  for (const auto& [account, work] : works->second) {
    const double served = ServedAt(work, now);
    shares.accounts[account].served = served;
    total += served;
  }
  return total;
}

/// Limits the demand to what the account's cap permits; the others' shares are
/// not kept free for the rest.
void LimitToCap(const State& state, const workload::AccountName& account,
                AccountShare& share) {
  const auto found = state.catalog.accounts.find(account);
  if (found == state.catalog.accounts.end() ||
      found->second.cap.cores.value == 0) {
    return;
  }
  const double most = CoresOf(found->second.cap.cores) * kServedMemory.count();
  share.waiting = std::clamp(most - share.served, 0.0, share.waiting);
}

void Add(AccountLoad& sum, const AccountLoad& load) {
  sum.accounts += load.accounts;
  sum.running += load.running;
  sum.share.served += load.share.served;
  sum.share.waiting += load.share.waiting;
  sum.share.entitled += load.share.entitled;
  sum.refusals.above_cap += load.refusals.above_cap;
  sum.refusals.share_in_use += load.refusals.share_in_use;
  sum.refusals.no_time_left += load.refusals.no_time_left;
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

/// Returns what counts against the cap of an account.
placement::Resources UsedCap(const State& state,
                             const workload::AccountName& account) {
  return AmountOf(state.running_of_accounts, account) +
         AmountOf(state.open_copies_of_accounts, account);
}

}  // namespace internal

void Divide(PoolShares& shares, double capacity) {
  std::vector<AccountShare*> by_level;
  by_level.reserve(shares.accounts.size());
  double weights = 0;
  for (auto& [account, share] : shares.accounts) {
    by_level.push_back(&share);
    weights += share.weight;
  }
  std::sort(by_level.begin(), by_level.end(),
            [](const AccountShare* a, const AccountShare* b) {
              return internal::DemandOf(*a) * b->weight <
                     internal::DemandOf(*b) * a->weight;
            });
  double left = std::max(0.0, capacity);
  shares.level = std::numeric_limits<double>::infinity();
  for (AccountShare* share : by_level) {
    const double demand = internal::DemandOf(*share);
    const double part = left * share->weight / weights;
    if (demand > part && std::isinf(shares.level)) {
      shares.level = left / weights;
    }
    share->entitled = std::min(demand, part);
    left -= share->entitled;
    weights -= share->weight;
  }
}

double WaitingWork(const Job& job) {
  double work = 0;
  std::size_t first = 0;
  for (std::size_t s = 0; s < job.spec.steps.size(); ++s) {
    const workload::Step& step = job.spec.steps[s];
    const bool is_ready = job.open_in_step[s] > 0 &&
                          std::all_of(step.after.begin(), step.after.end(),
                                      [&](std::uint32_t before) {
                                        return job.open_in_step[before] == 0;
                                      });
    if (is_ready) {
      const auto begin = job.tasks.begin() + static_cast<std::ptrdiff_t>(first);
      const auto waiting =
          std::count_if(begin, begin + step.count, [](const Task& task) {
            return !task.progress.done && task.runs.empty();
          });
      work += static_cast<double>(waiting) * internal::TaskWork(step);
    }
    first += step.count;
  }
  return work;
}

void ApplyShares(State& state, const core::PoolName& pool,
                 core::MilliCores free_cores, core::MonotonicTime now,
                 std::vector<RankedJob>& jobs) {
  if (!state.catalog.needs_keys) {
    return;
  }
  PoolShares shares;
  std::vector<double> waiting(jobs.size());
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    if (internal::HasShare(*jobs[i].job)) {
      waiting[i] = WaitingWork(*jobs[i].job);
      shares.accounts[jobs[i].job->spec.account].waiting += waiting[i];
    }
  }
  const double served = internal::AddServedWork(state, pool, now, shares);
  if (shares.accounts.empty()) {
    return;
  }
  for (auto& [account, share] : shares.accounts) {
    internal::LimitToCap(state, account, share);
    share.weight = internal::WeightOf(state, account);
  }
  Divide(shares, served + internal::CoresOf(free_cores) *
                              internal::kTimeOfFreeCores.count());
  if (!std::isinf(shares.level)) {
    std::map<workload::AccountName, double> left;
    for (const auto& [account, share] : shares.accounts) {
      left[account] = share.weight * shares.level - share.served;
    }
    for (std::size_t i = 0; i < jobs.size(); ++i) {
      if (waiting[i] > 0) {
        double& amount = left[jobs[i].job->spec.account];
        jobs[i].rank.beyond_share = amount <= 0;
        amount -= waiting[i];
      }
    }
    std::stable_partition(
        jobs.begin(), jobs.end(),
        [](const RankedJob& ranked) { return !ranked.rank.beyond_share; });
  }
  state.shares[pool] = std::move(shares);
}

bool IsBeyondShare(const State& state, const Job& job,
                   core::MonotonicTime now) {
  const auto pool = state.shares.find(job.policy.pool);
  if (!internal::HasShare(job) || pool == state.shares.end()) {
    return false;
  }
  const auto account = pool->second.accounts.find(job.spec.account);
  if (account == pool->second.accounts.end()) {
    return false;
  }
  const auto works = state.served_work.find(job.policy.pool);
  double demand = account->second.waiting;
  if (works != state.served_work.end()) {
    const auto work = works->second.find(job.spec.account);
    demand += work == works->second.end()
                  ? 0.0
                  : internal::ServedAt(work->second, now);
  }
  return demand >= account->second.weight * pool->second.level;
}

void RecordWaiting(State& state, const Job& job) {
  const auto pool = state.shares.find(job.policy.pool);
  if (internal::HasShare(job) && pool != state.shares.end()) {
    AccountShare& share = pool->second.accounts[job.spec.account];
    share.weight = internal::WeightOf(state, job.spec.account);
    share.waiting += WaitingWork(job);
  }
}

void RecordRefusal(State& state, const workload::AccountName& account,
                   RefusalReason reason) {
  if (account.value.empty()) {
    return;
  }
  AccountRefusals& refusals = state.refusals[account];
  switch (reason) {
    case RefusalReason::kAboveCap:
      ++refusals.above_cap;
      return;
    case RefusalReason::kShareInUse:
      ++refusals.share_in_use;
      return;
    case RefusalReason::kNoTimeLeft:
      ++refusals.no_time_left;
      return;
    case RefusalReason::kNone:
    case RefusalReason::kIdInUse:
      return;
  }
}

void RecordServed(State& state, const Job& job, Run& run,
                  core::MonotonicTime now) {
  if (!state.catalog.needs_keys || !internal::HasShare(job)) {
    return;
  }
  run.recorded_work = internal::WorkOf(run.reserved.cores, run.estimate);
  ServedWork& served = state.served_work[job.policy.pool][job.spec.account];
  served.core_seconds = internal::ServedAt(served, now) + run.recorded_work;
  served.updated = now;
}

void RecordRunTime(State& state, const Job& job, const Run& run,
                   core::Millis run_time) {
  if (run.recorded_work <= 0) {
    return;
  }
  ServedWork& served = state.served_work[job.policy.pool][job.spec.account];
  const double work = internal::WorkOf(run.reserved.cores, run_time);
  served.core_seconds =
      std::max(0.0, served.core_seconds + work - run.recorded_work);
}

std::vector<AccountLoad> MeasureAccounts(const State& state,
                                         std::size_t limit) {
  std::map<workload::AccountName, AccountLoad> by_name;
  for (const auto& [pool, shares] : state.shares) {
    for (const auto& [account, share] : shares.accounts) {
      AccountLoad part;
      part.share = share;
      internal::Add(by_name[account], part);
    }
  }
  for (const auto& [account, running] : state.running_of_accounts) {
    by_name[account].running += running;
  }
  for (const auto& [account, copies] : state.open_copies_of_accounts) {
    by_name[account].running += copies;
  }
  for (const auto& [account, refusals] : state.refusals) {
    by_name[account].refusals = refusals;
  }
  std::vector<AccountLoad> loads;
  loads.reserve(by_name.size());
  for (auto& [account, load] : by_name) {
    load.account = account;
    load.accounts = 1;
    load.share.weight = internal::WeightOf(state, account);
    if (const auto* cap = internal::CapOf(state, account)) {
      load.cap = *cap;
    }
    loads.push_back(std::move(load));
  }
  std::stable_sort(loads.begin(), loads.end(),
                   [](const AccountLoad& a, const AccountLoad& b) {
                     return a.share.waiting > b.share.waiting;
                   });
  if (loads.size() > limit) {
    AccountLoad others;
    others.accounts = 0;
    for (std::size_t i = limit; i < loads.size(); ++i) {
      internal::Add(others, loads[i]);
    }
    loads.resize(limit);
    loads.push_back(std::move(others));
  }
  return loads;
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
  return cap == nullptr ? UINT32_MAX
                        : internal::TimesWithin(
                              *cap, internal::UsedCap(state, account), size);
}

bool IsAboveCap(const State& state, const workload::AccountName& account) {
  const placement::Resources* cap = internal::CapOf(state, account);
  if (cap == nullptr) {
    return false;
  }
  const placement::Resources used = internal::UsedCap(state, account);
  const auto is_above = [](auto used_amount, auto limit) {
    return limit.value > 0 && used_amount > limit;
  };
  return is_above(used.cores, cap->cores) ||
         is_above(used.memory, cap->memory) ||
         is_above(used.accelerators, cap->accelerators);
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
