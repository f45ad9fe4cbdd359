#ifndef CAMPHORMUX_DISPATCH_EXPLAIN_HPP_
#define CAMPHORMUX_DISPATCH_EXPLAIN_HPP_

#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "camphormux/dispatch/driver.hpp"

namespace camphormux::dispatch {

/// @brief Jobs of the own zone by phase, and its workers.
struct JobCounts {
  std::size_t open = 0;  ///< Of all zones.
  std::size_t unclaimed = 0;
  std::size_t queued = 0;
  std::size_t running = 0;
  std::size_t held_back = 0;
  std::size_t impossible = 0;
  std::size_t unconfirmed = 0;  ///< Their runs' ends are not known.
  std::vector<core::HostId> quarantined;
};

/// @brief Counts jobs.
/// @param fold The jobs.
/// @param driver The driver; counts of the own zone are 0 unless it runs.
/// @return The counts.
[[nodiscard]] JobCounts CountJobs(const jobs::Fold& fold, const Driver& driver);

/// @brief Why a job is where it is, as labelled facts.
struct JobFacts {
  std::string state;   ///< One word.
  std::string reason;  ///< One line.
  std::vector<std::pair<std::string, std::string>> figures;
};

/// @brief Explains a job.
/// @param fold The jobs.
/// @param driver The driver; knows more of the jobs of its own zone.
/// @param zone The own zone.
/// @param job Its name.
/// @return The facts, or nothing for an unknown job.
[[nodiscard]] std::optional<JobFacts> ExplainJob(const jobs::Fold& fold,
                                                 const Driver& driver,
                                                 const core::ZoneName& zone,
                                                 const core::JobId& job);

}  // namespace camphormux::dispatch

#endif  // CAMPHORMUX_DISPATCH_EXPLAIN_HPP_
