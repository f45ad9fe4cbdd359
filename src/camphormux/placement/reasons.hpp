#ifndef CAMPHORMUX_PLACEMENT_REASONS_HPP_
#define CAMPHORMUX_PLACEMENT_REASONS_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/placement/fwd.hpp"
#include "camphormux/placement/resources.hpp"

namespace camphormux::placement {

/// The job is not known, or it ended too long ago.
struct UnknownJob {};

/// The job can never run: no worker of its pool is large enough.
struct LargerThanAnyWorker {
  Resources declared;
  Resources largest;  ///< Largest amount of each resource on any worker.
  core::PoolName pool;
};

/// The job can never run: it alone exceeds the whole quota of its team.
struct ExceedsTeamQuota {
  Resources declared;
  Resources quota;
};

/// The job can never run: the operator text has no such team.
struct UnknownTeam {
  core::TeamName team;
};

/// The pool has no worker at present.
struct PoolEmpty {
  core::PoolName pool;
};

/// No worker of the pool has enough free resources.
struct WaitingForResources {
  Resources needed;
  Resources largest_free;  ///< Largest free amount of each resource.
};

/// The team's quota is used up and no quota can be borrowed.
struct WaitingForQuota {
  Resources needed;
  Resources used;
  Resources quota;
};

/// Tasks on a worker are being preempted for the job.
struct WaitingForPreemption {
  core::HostId worker;
};

/// The job failed on several workers and waits for its back-off time to end.
struct HeldBack {
  std::uint32_t failed_workers = 0;
  core::MonotonicTime until;
};

/// The job failed too often and is not retried.
struct GivenUp {
  std::uint32_t failed_workers = 0;
  std::uint32_t out_of_memory = 0;
};

/// The job is not repeatable and its only run did not finish.
struct MayNotRunTwice {
  core::HostId worker;
};

/// The job is not repeatable and may still run on a worker that does not
/// confirm its end.
struct EndUnconfirmed {
  core::HostId worker;
  core::Epoch epoch;
};

struct Running {
  core::HostId worker;
  core::Epoch epoch;
  bool throttled = false;
};

struct Finished {};
struct Cancelled {};

/// @brief Explanation of a job's phase, with the values behind it.
using Reason =
    std::variant<UnknownJob, LargerThanAnyWorker, ExceedsTeamQuota, UnknownTeam,
                 PoolEmpty, WaitingForResources, WaitingForQuota,
                 WaitingForPreemption, HeldBack, GivenUp, MayNotRunTwice,
                 EndUnconfirmed, Running, Finished, Cancelled>;

/// @brief Explains a job, for `explain job NAME`.
/// @param state The state.
/// @param job Name of the job.
/// @return The reason with its values.
[[nodiscard]] Reason Explain(const State& state, const core::JobId& job);

/// @brief Formats a reason as one line of text.
/// @param reason The reason.
/// @return The line, without a line end.
[[nodiscard]] std::string Describe(const Reason& reason);

}  // namespace camphormux::placement

#endif  // CAMPHORMUX_PLACEMENT_REASONS_HPP_
