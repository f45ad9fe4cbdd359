#ifndef CAMPHORMUX_SCHEDULER_SHARES_HPP_
#define CAMPHORMUX_SCHEDULER_SHARES_HPP_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "camphormux/scheduler/jobs.hpp"
#include "camphormux/scheduler/state.hpp"
#include "camphormux/scheduler/urgency.hpp"

namespace camphormux::scheduler {

/// @brief A job in the order in which its pool's jobs are placed.
struct RankedJob {
  Rank rank;
  Job* job = nullptr;
};

/// @brief Divides a capacity among accounts by weighted max-min fairness: what
/// an account does not need is divided among the others by their weights. Sets
/// what each is entitled to, at most its demand, and the level.
/// @param shares Weight and demand of each account.
/// @param capacity Core seconds to be divided.
void Divide(PoolShares& shares, double capacity);

/// @brief Returns the core seconds of a job's ready tasks that have no run.
[[nodiscard]] double WaitingWork(const Job& job);

/// @brief Puts the jobs behind all others that exceed what their account is
/// entitled to. It is made for accounts that send many times their usual: the
/// callers of the others are served as if the excess was not there, and room
/// that they do not need goes to the excess. What is divided is the work that
/// was started for accounts lately and the free cores: what the pool can really
/// do, whatever else runs there, however wrong estimates are and however well
/// tasks fit on hosts.
/// @param state The state; without client accounts nothing changes. Its shares
/// of the pool are set.
/// @param pool The pool.
/// @param free_cores Cores of the pool that are free for any task.
/// @param now The time.
/// @param jobs The pool's open jobs in the order of their ranks.
void ApplyShares(State& state, const core::PoolName& pool,
                 core::MilliCores free_cores, core::MonotonicTime now,
                 std::vector<RankedJob>& jobs);

/// @brief Returns whether a new job would bring its account beyond its share of
/// a pool that has no room for all. Does not say whether the job would end in
/// time: an account that is alone can be beyond its share of a busy pool.
/// @param state The state; its shares are those of the last planning pass.
/// @param job The job.
/// @param now The time.
[[nodiscard]] bool IsBeyondShare(const State& state, const Job& job,
                                 core::MonotonicTime now);

/// @brief Counts the work of an accepted job as waiting until the next planning
/// pass does.
void RecordWaiting(State& state, const Job& job);

/// @brief Counts a refused submission.
void RecordRefusal(State& state, const workload::AccountName& account,
                   RefusalReason reason);

/// @brief Records that a run is started or adopted for an account.
/// @param state The state.
/// @param job The job; has no effect if it has no account or is permanent.
/// @param run Its run; what was recorded is set.
/// @param now The time.
void RecordServed(State& state, const Job& job, Run& run,
                  core::MonotonicTime now);

/// @brief Corrects what was recorded for a run by the time that it took.
void RecordRunTime(State& state, const Job& job, const Run& run,
                   core::Millis run_time);

/// @brief What a client account has and waits for.
struct AccountLoad {
  workload::AccountName account;  ///< Empty for the sum of others.
  std::size_t accounts = 1;       ///< Accounts that are summed.
  placement::Resources running;   ///< What counts against the cap.
  placement::Resources cap;       ///< 0: unlimited.
  /// Sums over pools; the weight is that of each pool.
  AccountShare share;
  AccountRefusals refusals;
};

/// @brief Measures the client accounts that have work or were refused.
/// @param state The state.
/// @param limit Accounts that are listed on their own: those with most waiting
/// work.
/// @return Their loads and, as the last one, the sum of the others if there are
/// any.
[[nodiscard]] std::vector<AccountLoad> MeasureAccounts(const State& state,
                                                       std::size_t limit);

/// @brief Sums, for each account, the copies of starts that may still take
/// effect although their run was removed.
void MeasureOpenCopies(State& state, core::MonotonicTime now);

/// @brief Returns how often tasks of a size may be started within the cap of an
/// account.
/// @param state The state; its runs and open copies count.
/// @param account The account; empty if the job has none.
/// @param size Size of each task.
/// @return Number of tasks; UINT32_MAX if the cap does not limit them.
[[nodiscard]] std::uint32_t TasksWithinCap(const State& state,
                                           const workload::AccountName& account,
                                           const placement::Resources& size);

/// @brief Returns whether what counts against the cap of an account exceeds it,
/// as the cap was lowered.
[[nodiscard]] bool IsAboveCap(const State& state,
                              const workload::AccountName& account);

/// @brief Returns whether a job has a task or a gang that exceeds the cap of
/// its account even if nothing else runs.
[[nodiscard]] bool ExceedsCap(const State& state,
                              const workload::JobSpec& spec);

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_SHARES_HPP_
