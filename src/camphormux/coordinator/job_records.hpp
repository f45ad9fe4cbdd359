#ifndef CAMPHORMUX_COORDINATOR_JOB_RECORDS_HPP_
#define CAMPHORMUX_COORDINATOR_JOB_RECORDS_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "camphormux/coordinator/ports.hpp"
#include "camphormux/scheduler/state.hpp"
#include "camphormux/workload/model.hpp"

namespace camphormux::coordinator {

/// Key prefixes in the store: jobs as submitted and their progress. The
/// progress of a large job is split: its tasks are in several records, whose
/// keys name the job and the first task, and the job itself is below another
/// prefix. Versions that know nothing of split jobs find no job there, and so
/// do not start its tasks from the beginning.
inline constexpr std::string_view kSpecKeyPrefix = "j/";
inline constexpr std::string_view kProgressKeyPrefix = "p/";
inline constexpr std::string_view kSplitSpecKeyPrefix = "k/";
inline constexpr std::string_view kTasksKeyPrefix = "t/";

/// Maximum size of the value of a record, in bytes; below the store's limit of
/// 256 KiB.
inline constexpr std::size_t kMaxRecordBytes = std::size_t{192} << 10;

/// @brief Stored records of a group of consecutive tasks.
struct StoredTasks {
  /// Fingerprint of the stored tasks; 0 if it is not known what is stored.
  std::uint64_t fingerprint = 0;
  /// First task of each record.
  std::set<std::uint32_t> records;
};

/// @brief Records in which a job's progress is stored.
struct StoredProgress {
  bool is_split = false;
  /// The job is stored as a split one, and nowhere else.
  bool is_split_job_stored = false;
  /// Groups of tasks of a split job, by their first task.
  std::map<std::uint32_t, StoredTasks> groups;
};

/// @brief Collects the records by which the stored progress of a job differs
/// from its present one.
/// @param state The scheduler's state.
/// @param job The job; its policy is marked as saved if it is among the
/// records.
/// @param stored What is stored; updated as if the records were stored.
/// @param max_bytes Size of records, in bytes, after which no more are added.
/// @param records Receives the records, which must be stored together.
/// @return Whether all records were collected. If not, the rest is collected by
/// a later call, and nothing that relies on the progress may happen before that
/// is stored.
[[nodiscard]] bool CollectJobRecords(const scheduler::State& state,
                                     scheduler::Job& job,
                                     StoredProgress& stored,
                                     std::size_t max_bytes,
                                     std::vector<StoreRecord>& records);

/// @brief Marks all records of a job as unknown, after some were not stored.
void InvalidateStoredProgress(StoredProgress& stored);

/// @return Size of the keys and values of records, in bytes.
[[nodiscard]] std::size_t TotalBytes(const std::vector<StoreRecord>& records);

/// @brief Encodes the record of a job that was submitted.
[[nodiscard]] StoreRecord SubmissionRecord(const scheduler::Job& job);

/// @brief Encodes the records of a job that was cancelled before it was known.
/// A submission whose outcome is unknown may have been stored before.
[[nodiscard]] std::vector<StoreRecord> TombstoneRecords(
    const core::JobId& id, core::WallTime cancelled,
    const workload::Caller& caller);

/// @brief A job as read from its records.
struct LoadedJob {
  std::optional<workload::StoredJob> job;
  std::optional<workload::Progress> progress;
  StoredProgress stored;
};

/// @brief All jobs in the store.
struct LoadedJobs {
  std::map<core::JobId, LoadedJob> jobs;
  /// Keys of records that belong to no job any more.
  std::vector<std::string> obsolete;
  /// Keys of records that cannot be read.
  std::vector<std::string> malformed;
};

/// @brief Reads the records of jobs; ignores records of other kinds.
/// @param records All records in the store.
/// @param now Taken as the time of acceptance of jobs for which none is stored.
[[nodiscard]] LoadedJobs LoadJobRecords(const std::vector<StoreRecord>& records,
                                        core::WallTime now);

}  // namespace camphormux::coordinator

#endif  // CAMPHORMUX_COORDINATOR_JOB_RECORDS_HPP_
