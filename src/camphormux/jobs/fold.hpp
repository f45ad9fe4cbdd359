#ifndef CAMPHORMUX_JOBS_FOLD_HPP_
#define CAMPHORMUX_JOBS_FOLD_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/jobs/records.hpp"
#include "camphormux/log/log_port.hpp"

namespace camphormux::jobs {

/// Limit of open jobs over all teams; every reader skips further submissions.
inline constexpr std::size_t kMaxOpenJobs = 200'000;
/// Limit of ended jobs that are kept; the oldest are dropped first, however
/// recently they ended.
inline constexpr std::size_t kMaxEndedJobs = 20'000;
/// Retention period of an ended job, by the log's clock. It exceeds the time
/// for which a team retries a submission, as the name may be reused afterwards.
inline constexpr core::Millis kEndedJobRetention = std::chrono::minutes(15);

/// @brief Assigns a job to the zone that runs it.
struct Claim {
  core::ZoneName zone;
  core::LogOffset offset;  ///< Offset of the record that made the claim.
};

/// @brief State of a job as derived from the log.
struct JobEntry {
  Submit submit;
  core::LogOffset offset;  ///< Offset of the first record that describes it.
  /// Log time of the latest record that holds the whole submission.
  core::WallTime last_full_record_time;
  std::optional<Claim> claim;
  /// Epoch of the lease holder that announced the start; only for jobs that are
  /// not repeatable.
  std::optional<core::Epoch> started;
  std::optional<EndKind> end;
  /// False if only the end of the job was read, and not its submission.
  bool submission_read = true;
};

/// @brief A record that was rejected and had no effect.
struct SkippedRecord {
  core::LogOffset offset;
  std::string reason;
};

/// @brief State of all jobs, computed by applying the records of the jobs
/// stream in order. It reads no clock, so that all readers have the same state
/// at the same offset.
struct Fold {
  core::LogOffset next;    ///< Offset of the next record to apply.
  core::WallTime log_now;  ///< Highest record time so far.
  std::unordered_map<core::JobId, JobEntry> jobs;
  std::set<core::JobId> unclaimed;  ///< Open jobs without a claim.
  /// Open jobs by the zone that claimed them.
  std::map<core::ZoneName, std::set<core::JobId>> claimed;
  std::map<core::ZoneName, core::Epoch> epochs;  ///< Highest one by zone.
  std::size_t open = 0;                          ///< Number of open jobs.

  struct Ended {
    core::JobId job;
    core::WallTime time;
  };
  std::deque<Ended> ended;        ///< Oldest first.
  std::uint64_t malformed = 0;    ///< Log records that could not be decoded.
  std::uint64_t conflicting = 0;  ///< Records that contradict earlier ones.
  /// Records of earlier lease holders, and late or repeated records.
  std::uint64_t stale = 0;
};

/// @brief Result of applying a log record.
struct Applied {
  std::vector<core::JobId> changed;
  std::vector<SkippedRecord> skipped;
};

/// @brief Applies one record of the jobs stream. Records below `next` are
/// ignored. A log record that is malformed is skipped as a whole; of one that
/// holds a conflicting entry only that entry is skipped.
/// @param fold The state of all jobs; updated.
/// @param record The record.
/// @return The jobs that changed and what was skipped.
[[nodiscard]] Applied Apply(Fold& fold, const log::StoredRecord& record);

/// @brief Finds a job.
/// @param fold The state of all jobs.
/// @param job The job's name.
/// @return The entry, or null if the job is unknown.
[[nodiscard]] const JobEntry* Find(const Fold& fold, const core::JobId& job);

/// @brief Tells whether a job is open and claimed by a zone.
/// @param entry The job.
/// @param zone The zone.
/// @return Whether the zone is responsible for running it.
[[nodiscard]] bool IsOpenIn(const JobEntry& entry, const core::ZoneName& zone);

}  // namespace camphormux::jobs

#endif  // CAMPHORMUX_JOBS_FOLD_HPP_
