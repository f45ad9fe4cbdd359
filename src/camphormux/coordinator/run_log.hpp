#ifndef CAMPHORMUX_COORDINATOR_RUN_LOG_HPP_
#define CAMPHORMUX_COORDINATOR_RUN_LOG_HPP_

#include <string>

#include "camphormux/coordinator/node_metrics.hpp"
#include "camphormux/coordinator/ports.hpp"
#include "camphormux/scheduler/hosts.hpp"
#include "camphormux/scheduler/state.hpp"

namespace camphormux::coordinator {

/// @return Name of a task in log lines: job, occurrence, step and index.
[[nodiscard]] std::string DescribeTask(const scheduler::RunName& name);

/// @brief Logs and counts the runs that the scheduler treated as ended without
/// a report of their end, and the runs that hosts listed unexpectedly.
/// @param state The state; its lists of such runs are emptied.
/// @param token Fencing token of this holder.
/// @param node_metrics Receives the counts.
/// @param now Monotonic time.
void LogRunEvents(scheduler::State& state, core::Epoch token,
                  NodeMetrics& node_metrics, core::MonotonicTime now);

/// @brief Logs the first reports of hosts, and what reports show to have gone
/// unnoticed: ends that a host has forgotten, and ends of runs that were
/// presumed ended.
/// @param state The state; its lists of such events are emptied.
/// @param token Fencing token of this holder.
/// @param node_metrics Receives the counts.
/// @param now Monotonic time.
void LogReportEvents(scheduler::State& state, core::Epoch token,
                     NodeMetrics& node_metrics, core::MonotonicTime now);

/// @brief Logs what a renewal without an answer of its host carried: it may
/// have reached another incarnation, or may still do so.
/// @param call The renewal.
/// @param answer Its outcome.
/// @param duration Time since the call.
void LogUnansweredRenewal(const RenewCall& call, const RenewAnswer& answer,
                          core::Millis duration);

/// @brief Logs what a list of hosts has changed.
void LogListingChanges(const scheduler::ListingChanges& changes,
                       core::Epoch token);

}  // namespace camphormux::coordinator

#endif  // CAMPHORMUX_COORDINATOR_RUN_LOG_HPP_
