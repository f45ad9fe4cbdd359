#ifndef CAMPHORMUX_SCHEDULER_RUN_TIMES_HPP_
#define CAMPHORMUX_SCHEDULER_RUN_TIMES_HPP_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "camphormux/core/time.hpp"
#include "camphormux/workload/model.hpp"

namespace camphormux::scheduler {

/// Maximum number of kinds of work whose run times are learned; the one that
/// was seen longest ago makes room for a new one.
inline constexpr std::size_t kMaxRunTimeKinds = 256;

/// @brief Kind of work whose run times are alike: tasks of one image in one
/// queue.
struct RunTimeKind {
  workload::QueueName queue;
  std::string image;

  friend auto operator<=>(const RunTimeKind&, const RunTimeKind&) = default;
};

/// @brief Moments of the logarithms of estimated (x) and real (y) run times in
/// milliseconds, in which older runs count exponentially less.
struct RunTimeModel {
  double runs = 0;
  double x = 0;
  double y = 0;
  double xx = 0;
  double xy = 0;
  double yy = 0;
  std::uint64_t last_run = 0;  ///< Position among all learned runs.
  /// Sums of the absolute logarithmic errors of the estimate and of what was
  /// expected, with the same weights.
  double estimate_error = 0;
  double expected_error = 0;

  friend bool operator==(const RunTimeModel&, const RunTimeModel&) = default;
};

/// @brief What was learned from finished runs.
struct RunTimes {
  std::map<RunTimeKind, RunTimeModel> models;
  std::uint64_t runs = 0;

  friend bool operator==(const RunTimes&, const RunTimes&) = default;
};

/// @brief A run that has ended as done.
struct FinishedRun {
  RunTimeKind kind;
  core::Millis estimate{0};  ///< 0: none came with the job.
  core::Millis took{0};
};

/// @brief Learns from a finished run.
/// @param run_times What was learned so far.
/// @param run The run. Only whole runs may be passed: from the start of the
/// task, on the rack of its data, of a single task.
void Learn(RunTimes& run_times, const FinishedRun& run);

/// @brief Returns the expected mean run time of a task.
///
/// The estimate that came with the job is corrected by what such estimates were
/// worth before: with each run the expectation moves from the estimate to the
/// regression of real on estimated run times. It differs from the estimate by a
/// factor of eight at most.
/// @param run_times What was learned.
/// @param kind Kind of the task.
/// @param estimate Estimate that came with the job; 0: none.
/// @return The expected run time; the estimate if nothing was learned.
[[nodiscard]] core::Millis ExpectedRunTime(const RunTimes& run_times,
                                           const RunTimeKind& kind,
                                           core::Millis estimate);

/// @brief How far run times of a kind were from the estimate and from what was
/// expected: mean absolute logarithm of the ratio. Older runs count less.
struct RunTimeError {
  RunTimeKind kind;
  double runs = 0;
  double estimate = 0;
  double expected = 0;
};

/// @brief Returns the errors of the kinds that were seen last.
/// @param run_times What was learned.
/// @param limit Maximum number of kinds.
[[nodiscard]] std::vector<RunTimeError> RunTimeErrors(const RunTimes& run_times,
                                                      std::size_t limit);

/// @brief Encodes what was learned, to be stored.
[[nodiscard]] std::string EncodeRunTimes(const RunTimes& run_times);

/// @brief Decodes what was stored; returns nothing learned if it is malformed.
[[nodiscard]] RunTimes DecodeRunTimes(std::string_view data);

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_RUN_TIMES_HPP_
