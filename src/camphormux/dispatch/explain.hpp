#ifndef CAMPHORMUX_DISPATCH_EXPLAIN_HPP_
#define CAMPHORMUX_DISPATCH_EXPLAIN_HPP_

#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "camphormux/dispatch/driver.hpp"

namespace camphormux::dispatch {

/// @brief Job counts by phase and the quarantined workers of a zone. Except for
/// `open` and `unclaimed`, only jobs of the controller's zone are counted.
struct JobCounts {
  std::size_t open = 0;       ///< Open jobs of all zones.
  std::size_t unclaimed = 0;  ///< Of all zones.
  std::size_t queued = 0;
  std::size_t running = 0;
  std::size_t held_back = 0;
  std::size_t impossible = 0;
  std::size_t unconfirmed = 0;  ///< It is not known whether their runs ended.
  std::vector<core::HostId> quarantined;
};

/// @brief Counts jobs.
/// @param fold The jobs.
/// @param driver The driver; counts of its zone are 0 outside `kRunning`.
/// @return The counts.
[[nodiscard]] JobCounts CountJobs(const jobs::Fold& fold, const Driver& driver);

/// @brief State of a job, with the reason and further facts.
struct JobFacts {
  std::string state;   ///< Name of the state.
  std::string reason;  ///< Reason for the state, one line.
  std::vector<std::pair<std::string, std::string>> figures;
};

/// @brief Explains a job.
/// @param fold The jobs.
/// @param driver The driver; adds details to jobs of its zone.
/// @param zone The controller's zone.
/// @param job The job's ID.
/// @return The facts, or nothing for an unknown job.
[[nodiscard]] std::optional<JobFacts> ExplainJob(const jobs::Fold& fold,
                                                 const Driver& driver,
                                                 const core::ZoneName& zone,
                                                 const core::JobId& job);

}  // namespace camphormux::dispatch

#endif  // CAMPHORMUX_DISPATCH_EXPLAIN_HPP_
