#ifndef CAMPHORMUX_SCHEDULER_SHARES_HPP_
#define CAMPHORMUX_SCHEDULER_SHARES_HPP_

#include <map>
#include <vector>

#include "camphormux/scheduler/state.hpp"
#include "camphormux/scheduler/urgency.hpp"

namespace camphormux::scheduler {

/// @brief Demand of a client account for a pool.
struct AccountDemand {
  double weight = 1.0;
  double served = 0;   ///< Core seconds that were started for it lately.
  double waiting = 0;  ///< Core seconds of its tasks that have no run.
};

using AccountDemands = std::map<workload::AccountName, AccountDemand>;

/// @brief Divides a capacity among accounts by weighted max-min fairness: what
/// an account does not need is divided among the others by their weights.
/// @param demands Demand of each account.
/// @param capacity Core seconds to be divided.
/// @return Core seconds for each account; at most its demand.
[[nodiscard]] std::map<workload::AccountName, double> Entitlements(
    const AccountDemands& demands, double capacity);

/// @brief A job in the order in which its pool's jobs are placed.
struct RankedJob {
  Rank rank;
  Job* job = nullptr;
};

/// @brief Returns the core seconds of a job's tasks that are neither done nor
/// have a run.
[[nodiscard]] double WaitingWork(const Job& job);

/// @brief Computes the demand of each account for a pool. Permanent jobs do not
/// count.
/// @param state The state.
/// @param pool The pool.
/// @param jobs The pool's open jobs.
/// @param now The time.
[[nodiscard]] AccountDemands MeasureDemands(const State& state,
                                            const core::PoolName& pool,
                                            const std::vector<RankedJob>& jobs,
                                            core::MonotonicTime now);

/// @brief Puts the jobs behind all others that exceed what their account is
/// entitled to. It is made for accounts that send many times their usual: the
/// callers of the others are served as if the excess was not there, and room
/// that they do not need goes to the excess.
/// @param state The state; without client accounts nothing changes.
/// @param pool The pool.
/// @param capacity Cores of the pool.
/// @param now The time.
/// @param jobs The pool's open jobs in the order of their ranks.
void ApplyShares(const State& state, const core::PoolName& pool,
                 core::MilliCores capacity, core::MonotonicTime now,
                 std::vector<RankedJob>& jobs);

/// @brief Records that work is started for an account.
/// @param state The state.
/// @param job The job; has no effect if it has no account or is permanent.
/// @param step Step of the job whose task is started.
/// @param now The time.
void RecordServed(State& state, const Job& job, const workload::Step& step,
                  core::MonotonicTime now);

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

/// @brief Returns whether a job has a task or a gang that exceeds the cap of
/// its account even if nothing else runs.
[[nodiscard]] bool ExceedsCap(const State& state,
                              const workload::JobSpec& spec);

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_SHARES_HPP_
