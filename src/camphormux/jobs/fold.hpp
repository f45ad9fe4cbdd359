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

/// Open jobs of all teams; further submissions are skipped by every reader.
inline constexpr std::size_t kMaxOpenJobs = 200'000;
/// Ended jobs that are remembered, however recent.
inline constexpr std::size_t kMaxEndedJobs = 20'000;
/// How long an ended job is remembered, by the log's clock. Its name may be
/// used again afterwards. Longer than a team retries a submission.
inline constexpr core::Millis kEndedJobRetention = std::chrono::minutes(15);

/// @brief Which zone runs a job.
struct Claim {
  core::ZoneName zone;
  core::LogOffset offset;  ///< Of the record that made it.
};

/// @brief A job as the log tells it.
struct JobEntry {
  Submit submit;
  core::LogOffset offset;  ///< Of the record that made it known.
  core::WallTime
      last_full_record;  ///< Log's time of the latest record that has it all.
  std::optional<Claim> claim;
  /// Epoch of the holder that was about to start it; only for jobs that may
  /// not be run twice.
  std::optional<core::Epoch> started;
  std::optional<EndKind> end;
  /// Whether its submission was read; if not, only its end is known.
  bool submission_read = true;
};

/// @brief A record without effect.
struct SkippedRecord {
  core::LogOffset offset;
  std::string reason;
};

/// @brief All jobs: a fold over the records of the jobs stream. Reads no clock;
/// every reader has the same state at the same offset.
struct Fold {
  core::LogOffset next;    ///< First offset that is not applied yet.
  core::WallTime log_now;  ///< Latest record time.
  std::unordered_map<core::JobId, JobEntry> jobs;
  std::set<core::JobId> unclaimed;  ///< Open jobs without a zone.
  std::map<core::ZoneName, std::set<core::JobId>> claimed;  ///< Open, by zone.
  std::map<core::ZoneName, core::Epoch> epochs;             ///< Highest seen.
  std::size_t open = 0;

  struct Ended {
    core::JobId job;
    core::WallTime time;
  };
  std::deque<Ended> ended;        ///< Oldest first.
  std::uint64_t malformed = 0;    ///< Records that did not parse.
  std::uint64_t conflicting = 0;  ///< Records that contradict earlier ones.
  std::uint64_t stale = 0;        ///< Of earlier holders, or late repeats.
};

/// @brief What a record brought.
struct Applied {
  std::vector<core::JobId> changed;
  std::vector<SkippedRecord> skipped;
};

/// @brief Applies one record of the jobs stream. Records below `next` are
/// ignored. A malformed record is skipped as a whole, a conflicting one alone.
/// @param fold The fold; updated.
/// @param record The record.
/// @return The jobs that changed and what was skipped.
[[nodiscard]] Applied Apply(Fold& fold, const log::StoredRecord& record);

/// @brief Finds a job.
/// @param fold The fold.
/// @param job Its name.
/// @return The entry, or null.
[[nodiscard]] const JobEntry* Find(const Fold& fold, const core::JobId& job);

/// @brief Tells whether a zone has the claim on an open job.
/// @param entry The job.
/// @param zone The zone.
/// @return Whether the zone shall run it.
[[nodiscard]] bool IsOpenIn(const JobEntry& entry, const core::ZoneName& zone);

}  // namespace camphormux::jobs

#endif  // CAMPHORMUX_JOBS_FOLD_HPP_
